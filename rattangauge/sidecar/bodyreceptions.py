"""Calls that have a slot of the upstream and wait for their bodies.

An upstream that leaves takes calls for a while after its announcement. A body
may come later than that, since bodies come one after the other at the rate of
the network link; its call must then not reach the upstream any more.
"""

from collections.abc import Iterator
import contextlib
import math

import anyio

from rattangauge.generated import settings as generated
from rattangauge.sidecar import receivebudget

# Time before the end of the drain after which no call is sent any more.
MARGIN_S = 0.25


class BodyReceptions:
    """The bodies that are awaited, in the order in which they come."""

    def __init__(self, instance: generated.Instance) -> None:
        """Creates the state without bodies.

        Args:
            instance: Settings of the instance, with the rate of its link and
                the time for which a leaving upstream takes calls.
        """
        self._bytes_per_s = math.inf
        if instance.link_mbps:
            self._bytes_per_s = (
                instance.link_mbps * receivebudget.BYTES_PER_S_PER_MBPS
            )
        self._drain_s = max(0.0, instance.drain_s - MARGIN_S)
        # When the upstream ceases to take calls, on the clock of anyio.
        self._end_at = math.inf
        # Sizes of the bodies by the scopes of their calls.
        self._sizes: dict[anyio.CancelScope, int] = {}

    @contextlib.contextmanager
    def track(self, size: int) -> Iterator[None]:
        """Runs the reception of a body, which may be cancelled.

        The context ends early and without an error if it is cancelled.

        Args:
            size: Size of the body, in bytes.
        """
        with anyio.CancelScope(deadline=self._end_at) as scope:
            self._sizes[scope] = size
            try:
                yield
            finally:
                del self._sizes[scope]

    def cancel(self) -> None:
        """Cancels all receptions, since another upstream takes the place."""
        self._end_at = math.inf
        for scope in list(self._sizes):
            scope.cancel()

    def drain(self) -> None:
        """Cancels the receptions that end too late for a leaving upstream.

        Those that are known to are cancelled at once, so that their callers
        can turn elsewhere; the others when the time is over.
        """
        self._end_at = anyio.current_time() + self._drain_s
        awaited_bytes = 0
        for scope, size in list(self._sizes.items()):
            scope.deadline = self._end_at
            awaited_bytes += size
            if awaited_bytes > self._bytes_per_s * self._drain_s:
                scope.cancel()
