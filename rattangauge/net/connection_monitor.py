"""Checks the connections between daemons for lost and idle ones."""

from collections.abc import Callable
import heapq
import itertools
import time
from typing import Protocol

import anyio

from rattangauge import futures
from rattangauge import metrics
from rattangauge import supervision
from rattangauge.generated import messages

# Checks of a connection that is in use within the setting ``silence_s``.
CHECKS_PER_SILENCE = 8
# Upper bound for the pings of idle connections that a daemon sends per second.
# In a large fleet the exchanges between peers use most connections more often.
IDLE_PINGS_PER_S = 5.0

_LOOP = supervision.Loop("connection monitor")


# Records a message that was sent and its size in bytes.
RecordSent = Callable[[messages.Message, int], None]


class MonitoredConnection(Protocol):
    """Operations of a connection that the monitor uses."""

    @property
    def is_quiet(self) -> bool:
        """Whether no answer of the other end is awaited."""

    @property
    def stream_count(self) -> int:
        """Number of streams in use."""

    @property
    def has_unsent(self) -> bool:
        """Whether bytes wait in this process, or may still be written."""

    @property
    def is_lost(self) -> bool:
        """Whether the transport has reported the end of the connection."""

    def next_check_at(self) -> float:
        """Returns when a quiet connection must be checked, a monotonic time."""

    def check(self, now: float, was_paused: bool) -> None:
        """Sends a ping if one is due, and ends a lost or idle connection."""

    def close(self) -> None:
        """Aborts the connection."""

    def end(self) -> None:
        """Ends the connection after what was sent."""

    def abort(self) -> None:
        """Aborts the transport of a connection that has ended."""


class ConnectionMonitor:
    """Checks the connections of one daemon for lost and idle ones.

    Attributes:
        silence_s: Seconds after which a connection on which no expected byte
            arrives counts as lost.
        record_sent: Called with each message that is sent and its size in
            bytes.
        tasks: Tasks that handle the streams opened by other daemons.
    """

    def __init__(
        self,
        silence_s: float,
        record: supervision.Record = supervision.log_failure,
        record_sent: RecordSent = metrics.observe_sent,
    ) -> None:
        """Creates a monitor without connections.

        Args:
            silence_s: See the class.
            record: Records unexpected errors of the checks.
            record_sent: See the class.
        """
        self.silence_s = silence_s
        self.record_sent = record_sent
        self._record = record
        self.tasks = futures.Tasks()
        self._connections: set[MonitoredConnection] = set()
        # Connections that each check looks at.
        self._active: set[MonitoredConnection] = set()
        # The other ones, with the time of their next check: a daemon of a large
        # fleet has hundreds of connections that are idle most of the time.
        self._quiet: list[tuple[float, int, MonitoredConnection]] = []
        self._quiet_connections: set[MonitoredConnection] = set()
        self._entry_numbers = itertools.count()

    @property
    def connections(self) -> list[MonitoredConnection]:
        """The connections that have not ended."""
        return list(self._connections)

    @property
    def check_period_s(self) -> float:
        """Time between two checks of a connection that is in use."""
        return self.silence_s / CHECKS_PER_SILENCE

    @property
    def idle_period_s(self) -> float:
        """Time between two pings of an idle connection, in seconds.

        It grows with the number of connections and so limits the pings to
        ``IDLE_PINGS_PER_S``.
        """
        return max(self.silence_s, len(self._connections) / IDLE_PINGS_PER_S)

    def add(self, connection: MonitoredConnection) -> None:
        """Adds a new connection."""
        self._connections.add(connection)
        self._active.add(connection)

    def activate(self, connection: MonitoredConnection) -> None:
        """Makes each check look at a connection that is in use again."""
        if connection in self._connections:
            self._active.add(connection)

    def discard(self, connection: MonitoredConnection) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)
        self._active.discard(connection)

    def check_all(self, now: float, was_paused: bool) -> None:
        """Checks the connections that are due; see ``check`` of these."""
        self._activate_due(now)
        for connection in list(self._active):
            try:
                self._check(connection, now, was_paused)
            except Exception as error:  # one connection must not end all others
                self._close_failed(connection, error)

    def _check(
        self, connection: MonitoredConnection, now: float, was_paused: bool
    ) -> None:
        connection.check(now, was_paused)
        if connection.is_quiet and connection in self._active:
            self._active.discard(connection)
            self._schedule(connection)

    def _close_failed(
        self, connection: MonitoredConnection, error: Exception
    ) -> None:
        """Closes a connection that cannot be checked.

        Otherwise nothing would end the calls on it if it goes silent.
        """
        supervision.report(self._record, _LOOP, error)
        self._close(connection)
        self.discard(connection)
        self._quiet_connections.discard(connection)

    def _close(self, connection: MonitoredConnection) -> None:
        supervision.guard(self._record, _LOOP, connection.close)()

    def _schedule(self, connection: MonitoredConnection) -> None:
        """Schedules the next check of a connection that became quiet."""
        if connection in self._quiet_connections:
            return
        self._quiet_connections.add(connection)
        entry = (
            connection.next_check_at(),
            next(self._entry_numbers),
            connection,
        )
        heapq.heappush(self._quiet, entry)

    def _activate_due(self, now: float) -> None:
        """Activates the quiet connections whose check is due.

        A connection that was in use in the meantime is due later.
        """
        while self._quiet and self._quiet[0][0] <= now:
            _due_at, _number, connection = heapq.heappop(self._quiet)
            self._quiet_connections.discard(connection)
            if connection not in self._connections:
                continue
            try:
                is_due = connection.next_check_at() <= now
                if not is_due:
                    self._schedule(connection)
            except Exception as error:  # as in ``check_all``
                self._close_failed(connection, error)
                continue
            if is_due:
                self._active.add(connection)

    async def run(self) -> None:
        """Checks all connections until cancelled, then closes them."""
        try:
            await supervision.run(self._record, _LOOP, self._check_repeatedly)
        finally:
            self.tasks.cancel()
            for connection in self.connections:
                self._close(connection)

    async def _check_repeatedly(self) -> None:
        period_s = self.check_period_s
        while True:
            sleep_began = time.monotonic()
            await anyio.sleep(period_s)
            now = time.monotonic()
            was_paused = now - sleep_began > 2 * period_s
            self.check_all(now, was_paused)
