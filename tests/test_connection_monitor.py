"""Checks of the connections between daemons."""

import pytest

from rattangauge.net import connection_monitor

IDLE_CONNECTIONS = 400


class CheckedConnection:
    """Counts its checks; it is due for one after a period."""

    def __init__(self, period_s):
        """Creates a quiet connection."""
        self.checked_at = []
        self.is_quiet = True
        self._period_s = period_s

    def next_check_at(self):
        """Returns the time of the next check."""
        return max(self.checked_at, default=0.0) + self._period_s

    def check(self, now, _was_paused):
        """Counts a check."""
        self.checked_at.append(now)

    def close(self):
        """Does nothing."""


@pytest.fixture
def monitor():
    """A monitor of many quiet connections."""
    monitor = connection_monitor.ConnectionMonitor(1.0)
    for _ in range(IDLE_CONNECTIONS):
        monitor.add(CheckedConnection(20.0))
    return monitor


def run(monitor, seconds, start=0.0):
    """Lets a monitor check its connections for a time, in seconds."""
    steps = int(seconds / monitor.check_period_s)
    for step in range(steps):
        monitor.check_all(start + step * monitor.check_period_s, False)


def test_quiet_connections_are_checked_only_when_they_are_due(monitor):
    """Guards against checks whose number grows with the fleet."""
    connections = list(monitor._connections)
    run(monitor, 60.0)
    for connection in connections:
        gaps = [
            later - earlier
            for earlier, later in zip(
                connection.checked_at, connection.checked_at[1:], strict=False
            )
        ]
        assert len(connection.checked_at) <= 4
        assert all(20.0 <= gap <= 20.0 + 0.125 for gap in gaps)


def test_a_connection_in_use_is_checked_each_time(monitor):
    """Guards against a silent connection that is noticed late."""
    connection = CheckedConnection(20.0)
    monitor.add(connection)
    run(monitor, 2.0)
    connection.is_quiet = False
    monitor.activate(connection)
    before = len(connection.checked_at)
    run(monitor, 2.0, 2.0)
    assert len(connection.checked_at) == before + 16


def test_an_ended_connection_is_never_checked_again(monitor):
    """Guards against a connection that the monitor keeps for ever."""
    connection = CheckedConnection(0.5)
    monitor.add(connection)
    run(monitor, 2.0)
    before = len(connection.checked_at)
    assert before
    monitor.discard(connection)
    monitor.activate(connection)
    run(monitor, 5.0, 2.0)
    assert len(connection.checked_at) == before
    assert connection not in monitor._quiet_connections
