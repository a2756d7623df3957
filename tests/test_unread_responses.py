"""Responses that callers do not read (FAULT: a daemon out of memory)."""

import anyio
import pytest

from rattangauge import receivememory
from rattangauge.http import callerconnection
from rattangauge.http import messages
from tests import servers

# Memory of the smallest machines of the platform.
MEMORY_BYTES = 200 * 1024 * 1024
LIMIT_BYTES = receivememory.partial_limit(MEMORY_BYTES)
BODY_BYTES = 8_000_000
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
SLOW_REQUEST = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture(params=[True, False])
def anyio_backend(request):
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


async def large(request):
    """Answers with a large body, and with none on the slow path."""
    if request.target == "/slow":
        await anyio.sleep(1.0)
        return messages.Response(200)
    return messages.Response(200, (), b"x" * BODY_BYTES)


async def read_answer(stream):
    """Reads a whole large answer."""
    received = 0
    while received < BODY_BYTES:
        received += len(await stream.receive())


@pytest.mark.parametrize("ahead", [1, 16])
async def test_unread_answers_are_bounded_beside_callers_that_read(ahead):
    """Guards against callers that use up the memory by not reading."""
    memory = receivememory.ReceiveMemory(MEMORY_BYTES)
    cuts = []
    async with servers.serving(large, memory=memory, cuts=cuts) as (
        server,
        port,
    ):
        streams = [await anyio.connect_tcp("127.0.0.1", port) for _ in "x" * 20]
        reader = await anyio.connect_tcp("127.0.0.1", port)
        for stream in streams:
            await stream.send(REQUEST * ahead)
            await reader.send(REQUEST)
            with anyio.fail_after(2):
                await read_answer(reader)
            unread = sum(c.unread_bytes for c in server._connections)
            assert unread <= LIMIT_BYTES
        assert cuts
        assert all("nobody reads" in cut.reason for cut in cuts)
        for stream in (*streams, reader):
            await stream.aclose()


async def test_answers_behind_a_slow_one_are_bounded():
    """Guards against answers that wait for an earlier one of their caller."""
    memory = receivememory.ReceiveMemory(MEMORY_BYTES)
    cuts = []
    async with servers.serving(large, memory=memory, cuts=cuts) as (
        server,
        port,
    ):
        stream = await anyio.connect_tcp("127.0.0.1", port)
        await stream.send(SLOW_REQUEST + REQUEST * 15)
        await anyio.sleep(0.3)
        assert sum(c.unread_bytes for c in server._connections) <= LIMIT_BYTES
        assert [cut.running for cut in cuts] == [16]
        await stream.aclose()


async def test_small_answers_that_nobody_reads_wait_in_few_bytes():
    """Guards against many connections that each hold a little."""

    async def answer(_request):
        return messages.Response(200, (), b"x" * 2000)

    async with servers.serving(answer) as (server, port):
        stream = await anyio.connect_tcp("127.0.0.1", port)
        with anyio.move_on_after(1.0):
            while True:
                await stream.send(REQUEST)
        connection = next(iter(server._connections))
        most = callerconnection.SEND_BUFFER_BYTES + 17 * 2100
        assert 0 < connection.unread_bytes <= most
        await stream.aclose()
