"""Estimates from a request's deadline how long its caller has waited before.

A caller that was refused repeats the call with less time left to its deadline.
The target latency counts from its first attempt, so the time that it has
already waited must be known. It is estimated as the difference between the
usual timeout of the route and the time that is left.
"""

# The usual timeout is a high quantile of the times left when requests arrive:
# repeated calls have less time left. It is not the maximum, because a few
# callers may set a much longer timeout than the others.
QUANTILE = 0.8
# Step of the estimate as a share of its value.
STEP_SHARE = 0.01
# Largest number of routes with an estimate. A route beyond it clears all
# estimates, since operators may add and remove routes at any time.
MAX_ROUTES = 4096
# A call is a repeated one if more than this share of the usual timeout has
# elapsed.
RETURNED_SHARE = 0.05


class ElapsedTimeEstimator:
    """Estimates of the usual timeout of first attempts, by route."""

    def __init__(self) -> None:
        """Starts without an estimate for any route."""
        self._timeouts_ms: dict[str, float] = {}

    def elapsed_ms(self, route: str, left_ms: int) -> int:
        """Returns how long the caller of a request has waited before it.

        The request also updates the estimate of the route.

        Args:
            route: Name of the route.
            left_ms: Time from the request to its deadline, in milliseconds.

        Returns:
            Time in milliseconds; 0 if at least the usual timeout is left.

        >>> deadlines = ElapsedTimeEstimator()
        >>> deadlines.elapsed_ms("r", 500), deadlines.elapsed_ms("r", 400)
        (0, 99)
        """
        timeout_ms = self._timeouts_ms.get(route, float(left_ms))
        if (
            route not in self._timeouts_ms
            and len(self._timeouts_ms) >= MAX_ROUTES
        ):
            self._timeouts_ms.clear()
        # Steps up and down of these sizes cancel out at the quantile.
        step_ms = STEP_SHARE * timeout_ms
        step_factor = QUANTILE if left_ms > timeout_ms else QUANTILE - 1.0
        self._timeouts_ms[route] = timeout_ms + step_ms * step_factor
        return max(0, round(timeout_ms - left_ms))

    def has_returned(self, route: str, elapsed_ms: int) -> bool:
        """Tells whether a request is taken for a repeated one.

        Args:
            route: Name of the route.
            elapsed_ms: Result of ``elapsed_ms`` for the request.
        """
        return elapsed_ms > RETURNED_SHARE * self._timeouts_ms.get(route, 0.0)
