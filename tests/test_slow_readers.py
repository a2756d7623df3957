"""Callers that read their responses slowly (LOST)."""

import socket

import anyio
import pytest

from rattangauge.http import callerconnection
from rattangauge.http import messages
from tests import servers

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
BODY_BYTES = 24_000_000
RECEIVE_BUFFER_BYTES = 65_536
PIECE_BYTES = 131_072


@pytest.fixture(params=[True, False])
def anyio_backend(request):
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


async def large(_request):
    """Answers with a large body."""
    return messages.Response(200, (), b"x" * BODY_BYTES)


async def read_slowly(port):
    """Reads a large answer with pauses; returns how many bytes arrived."""
    received = 0
    with socket.socket() as raw:
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        raw.connect(("127.0.0.1", port))
        raw.setblocking(False)
        raw.send(REQUEST)
        with anyio.move_on_after(8):
            while received < BODY_BYTES:
                await anyio.wait_readable(raw)
                try:
                    data = raw.recv(PIECE_BYTES)
                except ConnectionResetError:
                    break
                if not data:
                    break
                received += len(data)
                await anyio.sleep(0.01)
    return received


async def test_a_steady_slow_reader_gets_its_whole_answer(monkeypatch):
    """Guards against answers that are cut while their caller reads them."""
    monkeypatch.setattr(callerconnection, "SEND_TIMEOUT_S", 0.5)
    cuts = []
    async with servers.serving(large, cuts=cuts) as (_server, port):
        assert await read_slowly(port) >= BODY_BYTES
    assert not cuts


async def test_a_caller_that_stops_reading_is_cut_and_recorded(monkeypatch):
    """Guards against a cut without an event, and against none at all."""
    monkeypatch.setattr(callerconnection, "SEND_TIMEOUT_S", 0.2)
    cuts = []
    async with servers.serving(large, cuts=cuts) as (server, port):
        stream = await anyio.connect_tcp("127.0.0.1", port)
        await stream.send(REQUEST)
        await anyio.sleep(0.8)
        assert [cut.reason for cut in cuts] == [
            "the caller does not read its response"
        ]
        assert server.open_connections == 0
        await stream.aclose()
