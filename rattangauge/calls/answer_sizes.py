"""Estimates the size of the answers of each route."""

# Weight of a new measurement in the moving average of a route.
SIZE_WEIGHT = 0.1
# Largest number of routes with an estimate. A route beyond it clears all
# estimates, since operators may add and remove routes at any time.
MAX_ROUTES = 4096


class AnswerSizes:
    """Moving average of the sizes of answers, by route."""

    def __init__(self) -> None:
        """Starts without an estimate for any route."""
        self._mean_bytes: dict[str, float] = {}

    def add(self, route: str, size: int) -> None:
        """Adds the size of an answer, in bytes."""
        before = self._mean_bytes.get(route)
        if before is None:
            if len(self._mean_bytes) >= MAX_ROUTES:
                self._mean_bytes.clear()
            before = float(size)
        self._mean_bytes[route] = before + SIZE_WEIGHT * (size - before)

    def expected(self, route: str, default: int = 0) -> int:
        """Returns the expected size of an answer, in bytes.

        Args:
            route: Name of the route.
            default: Result if no answer of the route was seen.

        >>> sizes = AnswerSizes()
        >>> sizes.add("r", 500)
        >>> sizes.expected("r"), sizes.expected("s", 300)
        (500, 300)
        """
        return int(self._mean_bytes.get(route, default))
