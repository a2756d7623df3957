"""Estimates how long a caller has waited before a request, from its deadline.

Answers the returns after a refusal: the target latency counts from the first
attempt of a caller, and the time that a request brings shrinks with each one.
"""

# The usual time is a high quantile of the times that requests bring: a few
# callers are more patient than the others, and those that came back have less.
QUANTILE = 0.8
STEP_SHARE = 0.01
# Routes whose times are kept; operators may remove routes at any time.
MAX_ROUTES = 4096
# A caller that has used this share of the usual time has come back.
RETURNED_SHARE = 0.05


class Deadlines:
    """Usual time of the first attempts, by route."""

    def __init__(self) -> None:
        """Creates estimates without any history."""
        self._usual_ms: dict[str, float] = {}

    def elapsed_ms(self, route: str, left_ms: int) -> int:
        """Returns for how long the caller of a request has waited before.

        Args:
            route: Route of the request.
            left_ms: Time that the request brings, in milliseconds.

        >>> deadlines = Deadlines()
        >>> deadlines.elapsed_ms("r", 500), deadlines.elapsed_ms("r", 400)
        (0, 99)
        """
        usual_ms = self._usual_ms.get(route, float(left_ms))
        if route not in self._usual_ms and len(self._usual_ms) >= MAX_ROUTES:
            self._usual_ms.clear()
        step_ms = STEP_SHARE * usual_ms
        share = QUANTILE if left_ms > usual_ms else QUANTILE - 1.0
        self._usual_ms[route] = usual_ms + step_ms * share
        return max(0, round(usual_ms - left_ms))

    def has_returned(self, route: str, elapsed_ms: int) -> bool:
        """Tells whether a caller that waited before has come back."""
        return elapsed_ms > RETURNED_SHARE * self._usual_ms.get(route, 0.0)
