"""Classifies routes as having long or short calls, by observed durations.

Long calls are limited to a part of an upstream's slots, so that short calls do
not wait behind them.
"""

from typing import NamedTuple

# A call is long if it takes at least this time or has at least this body size.
LONG_S = 1.0
LONG_BYTES = 1_000_000

# A route becomes long when its share of long calls reaches the upper bound, and
# short when it falls to the lower one. The gap prevents repeated changes.
LONG_FROM_SHARE = 0.6
SHORT_FROM_SHARE = 0.3
# Weight of a new call in the moving average of the share.
SHARE_WEIGHT = 0.2


class _RouteState(NamedTuple):
    """Share of long calls of a route, and the class that follows from it."""

    share: float = 0.0
    is_long: bool = False


class RouteClassifier:
    """Classes of routes; a route is short until it had enough long calls."""

    def __init__(self) -> None:
        """Creates a classifier for which every route is short."""
        self._routes: dict[str, _RouteState] = {}

    def keep(self, names: set[str]) -> None:
        """Removes the state of all routes but the named ones."""
        for name in self._routes.keys() - names:
            del self._routes[name]

    def is_long(self, name: str, body_bytes: int) -> bool:
        """Tells whether a call counts as long.

        Args:
            name: Name of the route.
            body_bytes: Size of the body as declared by the caller.
        """
        if body_bytes >= LONG_BYTES:
            return True
        route = self._routes.get(name)
        return route is not None and route.is_long

    def observe(self, name: str, seconds: float, body_bytes: int) -> None:
        """Updates the class of a route with a call that has ended.

        A call with a large body is ignored. Its size alone makes it long, so it
        says nothing about the calls of the route with small bodies.

        Args:
            name: Name of the route.
            seconds: Duration of the call.
            body_bytes: Size of the body.
        """
        if body_bytes >= LONG_BYTES:
            return
        route = self._routes.get(name, _RouteState())
        share = route.share + SHARE_WEIGHT * ((seconds >= LONG_S) - route.share)
        is_long = route.is_long
        if share >= LONG_FROM_SHARE:
            is_long = True
        elif share <= SHORT_FROM_SHARE:
            is_long = False
        self._routes[name] = _RouteState(share, is_long)
