"""Shares the calls of a route among services by weight.

Smooth weighted round robin: each service gets its share in every window, also
in short ones, and calls of one service do not come in a row.
"""

from rattangauge.config import routes

# Routes whose state is kept; operators may remove routes at any time.
MAX_ROUTES = 4096


class Split:
    """Turns of the services of all routes that are split."""

    def __init__(self) -> None:
        """Creates a split without any history."""
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: str, shares: tuple[routes.Share, ...]) -> str:
        """Returns the service that takes the next call of a route.

        Args:
            route: Name of the route.
            shares: Its services; at least one weight is above 0.

        >>> shares = (routes.Share("a", 2), routes.Share("b", 1))
        >>> split = Split()
        >>> [split.choose("r", shares) for _ in range(6)]
        ['a', 'b', 'a', 'a', 'b', 'a']
        """
        before = self._credits.get(route, {})
        total = sum(share.weight for share in shares)
        credit = {
            share.service: before.get(share.service, 0.0) + share.weight
            for share in shares
            if share.weight
        }
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= total
        if route not in self._credits and len(self._credits) >= MAX_ROUTES:
            self._credits.clear()
        self._credits[route] = credit
        return chosen
