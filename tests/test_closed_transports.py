"""Writes to connections that have ended before uvloop reports their end.

uvloop raises ``RuntimeError: the handler is closed`` for writes after the end
of a connection. It reports the end one iteration of the event loop later, or
never if the task that opens the connection is cancelled at the last moment.
Such an error must not end the daemon.
"""

import asyncio
import time
import types

import anyio
import pytest

from rattangauge import errors
from rattangauge import receivememory
from rattangauge import util
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.http import callerconnection
from rattangauge.http import client as client_module
from rattangauge.http import messages as http_messages
from rattangauge.http import parsing
from rattangauge.http import server as server_module
from rattangauge.net import connection_monitor
from rattangauge.net import connection_pool
from rattangauge.net import connections as connections_module
from tests import peers

pytestmark = pytest.mark.anyio

SILENCE_S = 1.0


class EndedTransport:
    """A transport of uvloop whose connection has ended."""

    def is_closing(self):
        """Reports the end of the connection."""
        return True

    def write(self, _data):
        """Raises the error that uvloop raises."""
        raise RuntimeError("the handler is closed")

    write_eof = write

    def get_write_buffer_size(self):
        """Returns the size of an empty send buffer."""
        return 0

    def set_write_buffer_limits(self, _high):
        """Sets the size of the send buffer."""

    def can_write_eof(self):
        """Supports a close in one direction."""
        return True

    def get_extra_info(self, _name):
        """Returns no information."""
        return

    def close(self):
        """Does nothing, as the connection has ended."""

    abort = close


class UnreportedTransport(EndedTransport):
    """A transport of uvloop that never reports the end of its connection."""

    def is_closing(self):
        """Reports an open connection."""
        return False


def open_connection():
    monitor = connection_monitor.ConnectionMonitor(SILENCE_S)
    connection = connections_module.Connection(monitor)
    connection.connection_made(EndedTransport())
    return connection


def test_a_check_does_not_ping_on_an_ended_connection():
    """Guards against an error in the periodic check of connections."""
    connection = open_connection()
    connection.check(time.monotonic() + 20 * SILENCE_S, False)
    assert not connection.is_open


@pytest.mark.parametrize("is_made_first", [True, False])
def test_a_connection_whose_set_up_was_cancelled_is_not_checked(is_made_first):
    """Guards against an error for a connection opened after its timeout.

    uvloop closes it without a report, before or after ``connection_made``.
    """
    monitor = connection_monitor.ConnectionMonitor(SILENCE_S)
    connection = connections_module.Connection(monitor)
    if is_made_first:
        connection.connection_made(UnreportedTransport())
        connection.abandon()
    else:
        connection.abandon()
        connection.connection_made(UnreportedTransport())
    assert not connection.is_open
    monitor.check_all(time.monotonic() + 20 * SILENCE_S, False)


async def test_a_set_up_that_takes_too_long_leaves_no_connection(monkeypatch):
    """Guards against pings on a connection opened after its timeout."""
    loop = asyncio.get_running_loop()
    made = []

    async def create_connection(factory, *_address, **_options):
        made.append(factory())
        made[0].connection_made(UnreportedTransport())
        await anyio.sleep_forever()

    monkeypatch.setattr(loop, "create_connection", create_connection)
    async with anyio.create_task_group() as tasks:
        settings = peers.settings(connect_timeout_s=0.05)
        pool = connection_pool.Links(settings, tasks)
        with pytest.raises(errors.CodedError):
            await pool.shared("127.0.0.1:1", connection_pool.SMALL_BODIES)
        is_open = made[0].is_open
        tasks.cancel_scope.cancel()
    assert not is_open


def test_a_message_on_an_ended_connection_is_a_coded_error():
    """Guards against a call that fails without a reason and an outcome."""
    connection = open_connection()
    with pytest.raises(errors.CodedError) as caught:
        connection.post(None, messages.LinkPing(1))
    assert caught.value.code == errorcodes.LINK_CLOSED
    with pytest.raises(errors.CodedError):
        connection.open_stream()


async def test_a_request_is_not_sent_on_an_ended_connection(monkeypatch):
    """Guards against a call whose caller is cut off without an answer."""
    client = client_module.Client(
        util.Address("127.0.0.1", 1),
        b"request-id",
        receivememory.ReceiveMemory(),
    )

    async def create_connection(factory, *_address):
        protocol = factory()
        protocol.connection_made(EndedTransport())
        return None, protocol

    loop = types.SimpleNamespace(create_connection=create_connection)
    monkeypatch.setattr(client_module.asyncio, "get_running_loop", lambda: loop)
    request = http_messages.Request("GET", "/", (), b"")
    with pytest.raises(client_module.NotSentError):
        await client.exchange(request)


async def test_a_refusal_on_an_ended_connection_is_not_sent():
    """Guards against an error in the timer that refuses a late request."""

    async def handle(_request):
        raise AssertionError("there is no request")

    server = server_module.Server(handle)
    connection = callerconnection.Connection(server)  # no public way to a timer
    connection.connection_made(EndedTransport())
    connection._reject(parsing.MessageError(408, "late"))
