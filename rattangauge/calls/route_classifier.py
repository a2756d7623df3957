"""Learns which routes have long calls, from observed durations and sizes."""

from typing import NamedTuple

# A call that takes longer or moves more than this is a long one.
LONG_S = 1.0
LONG_BYTES = 1_000_000

# A route is long from the upper share of long calls on, short from the lower.
BECOMES_LONG = 0.6
BECOMES_SHORT = 0.3
WEIGHT = 0.2


class _Route(NamedTuple):
    share: float = 0.0
    is_long: bool = False


class Learner:
    """Shares of long calls by route."""

    def __init__(self) -> None:
        """Creates a learner that takes every route for a short one."""
        self._routes: dict[str, _Route] = {}

    def keep(self, names: set[str]) -> None:
        """Forgets all routes but the named ones."""
        for name in self._routes.keys() - names:
            del self._routes[name]

    def is_long(self, name: str, body_bytes: int) -> bool:
        """Tells whether a call counts as long.

        Args:
            name: Name of the route.
            body_bytes: Size of the body that the caller declares.
        """
        if body_bytes >= LONG_BYTES:
            return True
        route = self._routes.get(name)
        return route is not None and route.is_long

    def observe(self, name: str, seconds: float, body_bytes: int) -> None:
        """Takes the duration and the bytes of body of a call that ended.

        A large call says nothing of the route's small ones: its size alone
        makes it long.
        """
        if body_bytes >= LONG_BYTES:
            return
        route = self._routes.get(name, _Route())
        share = route.share + WEIGHT * ((seconds >= LONG_S) - route.share)
        is_long = route.is_long
        if share >= BECOMES_LONG:
            is_long = True
        elif share <= BECOMES_SHORT:
            is_long = False
        self._routes[name] = _Route(share, is_long)
