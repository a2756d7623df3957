"""Counts the answers of the upstream beside the daemon during a roll-out."""

from collections.abc import Awaitable
import time

from rattangauge.calls import duration_histogram
from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.membership import heartbeats

# Routes that are counted by name; all further ones are counted together.
MAX_ROUTES = 64
OTHER_ROUTES = "other"
# Status of an upstream whose time limit has passed. The time that it took
# tells more than this status: the caller may have left too little time.
GATEWAY_TIMEOUT_STATUS = 504


class _RouteCounts:
    """Counts of one route."""

    def __init__(self) -> None:
        self.count = 0
        self.failures = 0
        self.held = [0] * duration_histogram.CLASSES


class AnswerCounts:
    """Answers by route since the order; nothing is counted without one."""

    def __init__(self) -> None:
        """Creates counts that count nothing until ``begin``."""
        self._order: tuple[str, int] | None = None
        self._routes: dict[str, _RouteCounts] = {}

    @property
    def is_counting(self) -> bool:
        """Whether there is a roll-out of the upstream's service."""
        return self._order is not None

    def begin(self, target: str, created: int) -> None:
        """Begins to count for an order, unless this has begun already."""
        if self._order != (target, created):
            self._order = target, created
            self._routes.clear()

    def end(self) -> None:
        """Ceases to count."""
        self._order = None
        self._routes.clear()

    async def measure(
        self,
        route: str,
        upstream: heartbeats.Upstream,
        exchanged: Awaitable[messages.AnswerOpen],
    ) -> messages.AnswerOpen:
        """Waits for the answer of the upstream and counts it.

        Args:
            route: Route of the call.
            upstream: The upstream. While it is still slow after its start, its
                times do not count.
            exchanged: The exchange with the upstream.

        Raises:
            exchange.CallFailed: There was no whole answer.
        """
        if not self.is_counting:
            return await exchanged
        began = time.monotonic()
        is_cold = heartbeats.is_cold(upstream, began)
        try:
            answer = await exchanged
        except exchange.CallFailed as failure:
            if failure.outcome == messages.Outcome.UNKNOWN:
                is_failure = failure.code != errorcodes.CALL_DEADLINE
                held_s = time.monotonic() - began
                self._record(route, is_failure, is_cold, held_s)
            raise
        is_failure = (
            answer.status >= exchange.MIN_SERVER_ERROR_STATUS
            and answer.status != GATEWAY_TIMEOUT_STATUS
        )
        self._record(route, is_failure, is_cold, time.monotonic() - began)
        return answer

    def _record(
        self, route: str, is_failure: bool, is_cold: bool, held_s: float
    ) -> None:
        if not self.is_counting:
            return
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        counts = self._routes.setdefault(route, _RouteCounts())
        counts.count += 1
        counts.failures += is_failure
        if not is_cold and not is_failure:
            counts.held[duration_histogram.class_of(held_s)] += 1

    def report(self) -> tuple[messages.RouteAnswers, ...]:
        """Returns the counts."""
        return tuple(
            messages.RouteAnswers(
                route, counts.count, counts.failures, tuple(counts.held)
            )
            for route, counts in self._routes.items()
        )
