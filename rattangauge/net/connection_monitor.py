"""Checks the connections between daemons for lost and idle ones."""

import heapq
import itertools
import time
from typing import Protocol

import anyio

from rattangauge import futures

# Checks of a connection that is in use within the setting ``silence_s``.
CHECKS_PER_SILENCE = 8
# Upper bound for the pings of idle connections that a daemon sends per second.
# In a large fleet the exchanges between peers use most connections more often.
IDLE_PINGS_PER_S = 5.0


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
        tasks: Tasks that handle the streams opened by other daemons.
    """

    def __init__(self, silence_s: float) -> None:
        """Creates a monitor without connections."""
        self.silence_s = silence_s
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
            connection.check(now, was_paused)
            if connection.is_quiet and connection in self._active:
                self._active.discard(connection)
                self._schedule(connection)

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
            if connection.next_check_at() > now:
                self._schedule(connection)
            else:
                self._active.add(connection)

    async def run(self) -> None:
        """Checks all connections until cancelled, then closes them."""
        period_s = self.check_period_s
        try:
            while True:
                sleep_began = time.monotonic()
                await anyio.sleep(period_s)
                now = time.monotonic()
                was_paused = now - sleep_began > 2 * period_s
                self.check_all(now, was_paused)
        finally:
            for connection in self.connections:
                connection.close()
            self.tasks.cancel()
