"""Callers that wait for 100 Continue before they send a body."""

import anyio
import pytest

from rattangauge.http import messages
from tests import servers

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
EXPECTING = (
    b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
    b"Expect: 100-continue\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LARGE_BYTES = 24_000_000


@pytest.fixture(params=[True, False])
def anyio_backend(request):
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


async def echo(request):
    """Answers with the method and the size of the body, after some time."""
    await anyio.sleep(0.1)
    text = f"{request.method} {len(request.body)}"
    return messages.Response(200, (), text.encode())


async def large(request):
    """Answers a GET request with a large body."""
    body = b"x" * (LARGE_BYTES if request.method == "GET" else 4)
    return messages.Response(200, (), body)


async def receive_until(stream, end):
    """Receives until the data ends with some bytes."""
    data = b""
    with anyio.fail_after(3):
        while not data.endswith(end):
            data = data[-200:] + await stream.receive()
    return data


async def test_a_caller_that_waits_for_100_continue_is_told_to_go_on():
    """Guards against a caller that waits for 100 Continue in vain."""
    async with servers.serving(echo) as (_server, port):
        stream = await anyio.connect_tcp("127.0.0.1", port)
        for _ in range(2):
            await stream.send(EXPECTING)
            assert await receive_until(stream, CONTINUE) == CONTINUE
            await stream.send(b"abc")
            assert b"200 OK" in await receive_until(stream, b"POST 3")
        await stream.aclose()


async def test_a_request_ahead_of_an_expecting_one_gets_its_answer_first():
    """Guards against 100 Continue in place of an earlier answer."""
    async with servers.serving(echo) as (_server, port):
        stream = await anyio.connect_tcp("127.0.0.1", port)
        await stream.send(REQUEST + EXPECTING)
        data = await receive_until(stream, CONTINUE)
        assert data.endswith(b"GET 0" + CONTINUE)
        await stream.send(b"abc")
        assert b"200 OK" in await receive_until(stream, b"POST 3")
        await stream.aclose()


async def test_an_expecting_request_behind_a_large_answer_is_continued():
    """Guards against a caller that waits until its body is overdue."""
    async with servers.serving(large) as (_server, port):
        stream = await anyio.connect_tcp("127.0.0.1", port)
        await stream.send(REQUEST)
        await anyio.sleep(0.3)
        await stream.send(EXPECTING)
        await anyio.sleep(0.3)
        await receive_until(stream, CONTINUE)
        await stream.send(b"abc")
        assert b"200 OK" in await receive_until(stream, b"xxxx")
        await stream.aclose()


async def test_an_expecting_request_in_one_piece_with_a_body_is_continued():
    """Guards against one 100 Continue that counts for two requests."""
    async with servers.serving(echo) as (_server, port):
        stream = await anyio.connect_tcp("127.0.0.1", port)
        await stream.send(EXPECTING)
        await receive_until(stream, CONTINUE)
        await stream.send(b"abc" + EXPECTING)
        assert b"POST 3" in await receive_until(stream, CONTINUE)
        await stream.send(b"abc")
        await receive_until(stream, b"POST 3")
        await stream.aclose()
