"""Distributes the calls of a route among services by weight.

It uses smooth weighted round robin: each service gets its share also of a
small number of calls, and its calls are spread evenly among those of the other
services.
"""

from rattangauge.config import routes

# Largest number of routes with a state. A route beyond it clears all states,
# since operators may add and remove routes at any time.
MAX_ROUTES = 4096


class TrafficSplit:
    """State of the weighted round robin of all routes with several services."""

    def __init__(self) -> None:
        """Starts without the state of any route."""
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: str, shares: tuple[routes.Share, ...]) -> str:
        """Returns the service that takes the next call of a route.

        Args:
            route: Name of the route.
            shares: Services of the route with their weights, at least one of
                which is above 0.

        >>> shares = (routes.Share("a", 2), routes.Share("b", 1))
        >>> split = TrafficSplit()
        >>> [split.choose("r", shares) for _ in range(6)]
        ['a', 'b', 'a', 'a', 'b', 'a']
        """
        previous = self._credits.get(route, {})
        total_weight = sum(share.weight for share in shares)
        credit = {
            share.service: previous.get(share.service, 0.0) + share.weight
            for share in shares
            if share.weight
        }
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= total_weight
        if route not in self._credits and len(self._credits) >= MAX_ROUTES:
            self._credits.clear()
        self._credits[route] = credit
        return chosen
