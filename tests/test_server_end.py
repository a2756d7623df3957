"""What callers of an HTTP server get while it ends (LOST)."""

import contextlib
import socket
import subprocess
import sys
import time

import anyio
import anyio.lowlevel
import pytest

from rattangauge.http import callerconnection
from rattangauge.http import messages
from rattangauge.http import server as server_module
from tests import servers

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
# Time that the server has to end; longer than any test.
LIMIT_S = 4.0


@pytest.fixture(params=[True, False])
def anyio_backend(request):
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


@contextlib.asynccontextmanager
async def serving(handler, cuts=None):
    """Yields a server that accepts connections, and its port."""
    async with servers.serving(handler, cuts=cuts) as (server, port):
        await anyio.sleep(0.05)
        yield server, port


async def answer(_request):
    """Answers at once."""
    return messages.Response(200, (), b"served")


async def slow(_request):
    """Answers after some time."""
    await anyio.sleep(0.5)
    return messages.Response(200, (), b"served")


def connected(port):
    """Returns a connection that the event loop has had no time to accept."""
    raw = socket.create_connection(("127.0.0.1", port))
    raw.setblocking(False)
    return raw


async def read_all(raw):
    """Reads until the end of a connection, which must not be a reset."""
    data = b""
    with anyio.fail_after(3):
        while True:
            await anyio.wait_readable(raw)
            piece = raw.recv(65_536)
            if not piece:
                raw.close()
                return data
            data += piece


@pytest.mark.parametrize("turns", [0, 1, 2, 5])
async def test_connections_that_wait_in_the_kernel_are_answered(turns):
    """Guards against connections that the close of the port resets."""
    async with serving(answer) as (server, port):
        server.close_connections()
        raws = [connected(port) for _ in range(50)]
        for raw in raws:
            raw.send(REQUEST)
        for _ in range(turns):
            await anyio.lowlevel.checkpoint()
        await server.end(time.monotonic() + LIMIT_S)
        with pytest.raises(ConnectionRefusedError):
            connected(port)
        for raw in raws:
            data = (await read_all(raw)).lower()
            assert data.startswith(b"http/1.1 200 ")
            assert b"connection: close" in data
        assert server.open_connections == 0


# Opens connections without pause until the port is closed; prints the number of
# those without an answer.
CALLER = """
import socket
import sys

unanswered = 0
while True:
    try:
        raw = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
    except OSError:
        break
    try:
        raw.sendall(b"GET / HTTP/1.0\\r\\nHost: a\\r\\n\\r\\n")
        unanswered += not raw.recv(1000).startswith(b"HTTP/1.1 200")
    except OSError:
        unanswered += 1
    raw.close()
print(unanswered)
"""


def start_caller(port):
    """Starts a process that opens connections to a port."""
    return subprocess.Popen(
        [sys.executable, "-c", CALLER, str(port)], stdout=subprocess.PIPE
    )


async def test_connections_are_answered_until_the_port_is_closed():
    """Guards against connections between the last accept and the close."""
    for _ in range(10):
        async with serving(answer) as (server, port):
            callers = [start_caller(port) for _ in range(4)]
            await anyio.sleep(0.3)
            await server.end(time.monotonic() + LIMIT_S)
            outputs = [caller.communicate(timeout=5)[0] for caller in callers]
        assert [int(output) for output in outputs] == [0] * 4


async def test_a_new_connection_has_time_for_its_first_request():
    """Guards against a request that crosses the close of a new connection."""
    async with (
        serving(answer) as (server, port),
        anyio.create_task_group() as t,
    ):
        raw = connected(port)
        t.start_soon(server.end, time.monotonic() + LIMIT_S)
        await anyio.sleep(callerconnection.FIRST_REQUEST_S / 2)
        raw.send(REQUEST)
        assert (await read_all(raw)).startswith(b"HTTP/1.1 200 ")


async def test_a_request_that_runs_is_answered_by_a_server_that_ends():
    """Guards against requests that are cut before the end of the time."""
    cuts = []
    async with serving(slow, cuts) as (server, port):
        raw = connected(port)
        raw.send(REQUEST)
        await anyio.sleep(0.05)
        await server.end(time.monotonic() + LIMIT_S)
        assert (await read_all(raw)).startswith(b"HTTP/1.1 200 ")
    assert not cuts


async def test_the_end_of_the_time_cuts_what_is_left():
    """Guards against a server that outlives its time."""
    cuts = []
    async with serving(slow, cuts) as (server, port):
        raw = connected(port)
        raw.send(REQUEST)
        await anyio.sleep(0.05)
        began = time.monotonic()
        await server.end(began + 0.2)
        assert 0.2 <= time.monotonic() - began < 0.35
    assert [cut.running for cut in cuts] == [1]
    raw.close()


async def test_idle_connections_delay_the_end_little():
    """Guards against stops that last longer than they need."""
    async with serving(answer) as (server, port):
        raws = [connected(port) for _ in range(5)]
        for raw in raws:
            raw.send(REQUEST)
        await anyio.sleep(callerconnection.FIRST_REQUEST_S + 0.1)
        began = time.monotonic()
        await server.end(began + LIMIT_S)
        assert time.monotonic() - began < server_module.CROSSING_S + 0.1
        assert server.open_connections == 0
        for raw in raws:
            data = (await read_all(raw)).lower()
            assert b"connection: close" not in data
    async with serving(answer) as (server, _port):
        began = time.monotonic()
        await server.end(began + LIMIT_S)
        assert time.monotonic() - began < 0.05


async def test_a_request_that_has_arrived_unread_is_answered(monkeypatch):
    """Guards against a close in the turn in which a request arrives."""
    async with serving(answer) as (server, port):
        raw = connected(port)
        raw.send(REQUEST)
        await anyio.sleep(callerconnection.FIRST_REQUEST_S + 0.1)
        assert raw.recv(1000).startswith(b"HTTP/1.1 200 ")

        async def send():
            raw.send(REQUEST)

        monkeypatch.setattr(server._acceptor, "stop", send)
        await server.end(time.monotonic() + LIMIT_S)
        assert (await read_all(raw)).startswith(b"HTTP/1.1 200 ")


async def test_a_request_that_crosses_the_close_is_recorded():
    """Guards against an end without an answer that leaves no line."""
    cuts = []
    async with serving(answer, cuts) as (server, port):
        raw = connected(port)
        raw.send(REQUEST)
        await anyio.sleep(callerconnection.FIRST_REQUEST_S + 0.1)
        assert raw.recv(1000).startswith(b"HTTP/1.1 200 ")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.end, time.monotonic() + LIMIT_S)
            await anyio.wait_readable(raw)
            raw.send(REQUEST)
            assert raw.recv(1000) == b""
    (cut,) = cuts
    assert "crossed" in cut.reason
    raw.close()
