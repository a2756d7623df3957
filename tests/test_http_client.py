"""HTTP client with upstreams that send scripted bytes."""

import contextlib
import os
import socket
import struct
import time

import anyio
import pytest

from rattangauge import receivememory
from rattangauge import util
from rattangauge.http import client as client_module
from rattangauge.http import messages

# Memory of the smallest machines of the platform.
MEMORY_BYTES = 200 * 1024 * 1024
OWN = b"Request-Id: own\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 2\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 2\r\n\r\nno"


@pytest.fixture(params=[True, False])
def anyio_backend(request):
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


def request(body=b"", method="GET"):
    headers = [(b"host", b"a"), (b"request-id", b"own")]
    if body:
        headers.append((b"content-length", b"%d" % len(body)))
    return messages.Request(method, "/", tuple(headers), body)


def reset(stream):
    """Makes the next close of a connection a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@contextlib.asynccontextmanager
async def scripted(script):
    """Yields a client of a scripted upstream and its accepted connections."""
    accepted = []

    async def serve(stream):
        accepted.append(stream)
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                await script(stream, len(accepted))

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    client = client_module.Client(
        util.Address("127.0.0.1", port),
        b"request-id",
        receivememory.ReceiveMemory(MEMORY_BYTES),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield client, accepted
        tasks.cancel_scope.cancel()


async def answer_each(stream, _number, data=OK):
    while True:
        await stream.receive()
        await stream.send(data)


async def test_a_connection_serves_many_requests():
    """Guards against a new connection for each request."""
    async with scripted(answer_each) as (client, accepted):
        for _ in range(5):
            response = await client.exchange(request())
            assert response.body == b"ok"
        assert len(accepted) == 1


@pytest.mark.parametrize("field", ["method", "target"])
async def test_a_request_that_cannot_be_encoded_is_not_sent(field):
    """Guards against a connection that such a request of a peer leaves open."""
    async with scripted(answer_each) as (client, accepted):
        odd = request()._replace(**{field: "/\u0161"})
        for _ in range(3):
            with pytest.raises(client_module.NotSentError):
                await client.exchange(odd)
        assert not accepted
        assert (await client.exchange(request())).body == b"ok"


async def test_a_response_to_another_request_is_skipped():
    """Guards against a caller that receives another caller's answer."""

    async def script(stream, _number):
        await stream.receive()
        await stream.send(OTHER + OK)
        await anyio.sleep(1)

    async with scripted(script) as (client, _accepted):
        assert (await client.exchange(request())).body == b"ok"


REFUSAL_LINES = b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\n" + REFUSAL_LINES


@pytest.mark.parametrize("repeated", [REFUSAL, b"HTTP/1.1 421 No\r\n\r\n"])
async def test_a_refusal_that_names_no_request_is_no_answer_to_a_later_one(
    repeated,
):
    """Guards against "not run" for a request that the upstream runs."""

    async def script(stream, _number):
        await stream.receive()
        await stream.send(OK)
        await stream.receive()
        await stream.send(repeated + OK)
        await anyio.sleep(1)

    async with scripted(script) as (client, _accepted):
        await client.exchange(request())
        with pytest.raises(client_module.NoResponseError):
            await client.exchange(request())


async def test_a_refusal_of_the_request_before_is_skipped():
    """Guards against an earlier refusal that is written once more."""
    head = b"HTTP/1.1 503 No\r\nRequest-Id: "
    refusal = head + b"before\r\n" + REFUSAL_LINES

    async def script(stream, _number):
        await stream.receive()
        await stream.send(head + b"own\r\n" + REFUSAL_LINES)
        await stream.receive()
        await stream.send(refusal + OK)
        await anyio.sleep(1)

    async with scripted(script) as (client, accepted):
        assert (await client.exchange(request())).status == 503
        assert (await client.exchange(request())).body == b"ok"
        assert len(accepted) == 1


async def test_a_refusal_on_a_new_connection_needs_no_identity():
    """Guards against a refused request that counts as one that may have run."""

    async def script(stream, _number):
        await stream.receive()
        await stream.send(REFUSAL)
        await anyio.sleep(1)

    async with scripted(script) as (client, _accepted):
        assert (await client.exchange(request())).status == 503


async def test_a_request_without_an_identity_gets_its_own_connection():
    """Guards against an earlier response that answers such a request."""
    bare = messages.Request("GET", "/", ((b"host", b"a"),), b"")
    async with scripted(answer_each) as (client, accepted):
        for sent in (request(), bare, request(), bare):
            assert (await client.exchange(sent)).body == b"ok"
        assert len(accepted) == 3


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
@pytest.mark.parametrize("body", [b"", b"2\r\nok\r\n0\r\n\r\n" + OK])
@pytest.mark.parametrize(
    "line",
    [
        b"Content-Length: 90000000\r\n",
        b"Content-Length: 2\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"",
    ],
)
async def test_a_response_to_head_ends_with_its_headers(interim, body, line):
    """Guards against waiting for the body that such a response lacks."""
    head = b"HTTP/1.1 200 OK\r\n" + OWN + line + b"\r\n"

    async def script(stream, number):
        await answer_each(stream, number, interim + head + body)

    async with scripted(script) as (client, accepted):
        for _ in range(2):
            with anyio.fail_after(1.0):
                response = await client.exchange(request(method="HEAD"))
            assert (response.status, response.body) == (200, b"")
            assert response.header(b"content-length") in line
        assert len(accepted) == 2


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 0\r\n",
        b"Content-Length: 2\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"",
    ],
)
async def test_a_head_that_is_cut_anywhere_is_no_response(lines):
    """Guards against a cut head that passes as a whole response."""
    head = b"HTTP/1.1 200 OK\r\n" + OWN + b"Server-Seal: s\r\n" + lines
    ends = range(len(head) + 1)

    async def script(stream, number):
        await stream.receive()
        await stream.send(head[: ends[number - 1]] or b"H")

    async with scripted(script) as (client, _accepted):
        for _ in ends:
            with pytest.raises(client_module.NoResponseError):
                await client.exchange(request())


async def test_an_extra_response_ends_the_use_of_the_connection():
    """Guards against a leftover response that answers the next request."""

    async def script(stream, _number):
        await stream.receive()
        await stream.send(OK + OTHER)
        await anyio.sleep(1)

    async with scripted(script) as (client, accepted):
        for _ in range(2):
            assert (await client.exchange(request())).body == b"ok"
        assert len(accepted) == 2


async def test_a_late_extra_response_ends_the_use_of_an_idle_connection():
    """Guards against a late response that answers the next request."""

    async def script(stream, number):
        await stream.receive()
        await stream.send(OK)
        if number == 1:
            await anyio.sleep(0.05)
            await stream.send(OTHER)
        await anyio.sleep(1)

    async with scripted(script) as (client, accepted):
        await client.exchange(request())
        await anyio.sleep(0.15)
        assert (await client.exchange(request())).body == b"ok"
        assert len(accepted) == 2


async def test_an_idle_connection_that_ended_is_not_used():
    """Guards against an unknown outcome of a call that could be avoided."""

    async def script(stream, _number):
        await stream.receive()
        await stream.send(OK)

    async with scripted(script) as (client, accepted):
        for _ in range(3):
            await client.exchange(request(b"order", "POST"))
            await anyio.sleep(0.05)
        assert len(accepted) == 3


async def test_no_request_is_sent_behind_an_end_that_was_not_read_yet():
    """Guards against requests on connections that the upstream has closed."""
    async with scripted(answer_each) as (client, accepted):
        await client.exchange(request())
        # The loop has no time to read the end before the next request.
        raw = accepted[0].extra(anyio.abc.SocketAttribute.raw_socket)
        with socket.socket(fileno=os.dup(raw.fileno())) as duplicate:
            duplicate.shutdown(socket.SHUT_WR)
        response = await client.exchange(request(b"x", "POST"))
        assert response.status == 200
        assert len(accepted) == 2


async def test_the_upstreams_keep_alive_is_respected():
    """Guards against requests on a connection that the upstream closes."""
    data = OK.replace(OWN, OWN + b"Keep-Alive: timeout=1\r\n")

    async def script(stream, number):
        await answer_each(stream, number, data)

    async with scripted(script) as (client, accepted):
        for _ in range(2):
            await client.exchange(request())
        assert len(accepted) == 2


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\n"
        + OWN
        + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"nonsense\r\n\r\n",
        b"",
        OTHER,
    ],
)
async def test_a_response_that_is_not_whole_is_no_response(data):
    """Guards against an incomplete response that passes as complete."""

    async def script(stream, _number):
        await stream.receive()
        if data:
            await stream.send(data)

    async with scripted(script) as (client, _accepted):
        with pytest.raises(client_module.NoResponseError):
            await client.exchange(request())


@pytest.mark.parametrize("is_reset", [False, True])
async def test_a_response_without_a_length_is_whole_only_at_a_clean_end(
    is_reset,
):
    """Guards against a response that a reset cut off."""

    async def script(stream, _number):
        await stream.receive()
        await stream.send(b"HTTP/1.1 200 OK\r\n" + OWN + b"\r\nhalf")
        await anyio.sleep(0.05)
        if is_reset:
            reset(stream)

    async with scripted(script) as (client, _accepted):
        if is_reset:
            with pytest.raises(client_module.NoResponseError):
                await client.exchange(request())
        else:
            assert (await client.exchange(request())).body == b"half"


def endless(begin, more, piece_bytes=65_536):
    """Returns a script that sends a response which never ends.

    Args:
        begin: First bytes of the response.
        more: Bytes that are repeated until the client closes.
        piece_bytes: Bytes to send at a time.
    """
    sent = []

    async def script(stream, _number):
        await stream.receive()
        await stream.send(begin)
        piece = more * (piece_bytes // len(more))
        with contextlib.suppress(anyio.BrokenResourceError):
            while True:
                await stream.send(piece)
                sent.append(len(piece))

    return script, sent


HEAD = b"HTTP/1.1 200 OK\r\n" + OWN
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("begin", "more"),
    [
        (b"", b"nonsense"),
        (b"HTTP/1.1 200 ", b"a"),
        (HEAD + b"X: ", b"a"),
        (HEAD, b"X: a\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (CHUNKED + b"5;", b"a"),
        (CHUNKED + b"0\r\nX: ", b"a"),
        (CHUNKED + b"0\r\n", b"X: a\r\n"),
    ],
)
async def test_a_head_or_chunk_without_end_is_no_response(begin, more):
    """Guards against bytes without end that fill the memory or the time."""
    script, sent = endless(begin, more)
    async with scripted(script) as (client, accepted):
        with anyio.fail_after(2), pytest.raises(client_module.NoResponseError):
            await client.exchange(request(), time.monotonic() + 10)
        assert len(accepted) == 1
    # What the client had read, and what the sockets hold beyond it.
    assert sum(sent) < 16 * 1024 * 1024


@pytest.mark.parametrize(
    ("begin", "more"),
    [
        (HEAD + b"\r\n", b"a"),
        (CHUNKED, b"8000\r\n" + b"a" * 0x8000 + b"\r\n"),
    ],
)
async def test_bodies_without_end_fill_a_bounded_memory(begin, more):
    """Guards against a daemon that ends since it has no memory left."""
    script, sent = endless(begin, more)
    failed = []

    async def exchange(client):
        with pytest.raises(client_module.NoResponseError):
            await client.exchange(request(), time.monotonic() + 20)
        failed.append(client)

    async with scripted(script) as (client, _accepted):
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(exchange, client)
        assert len(failed) == 4
    # All four begin at the same time, so the sum of their parts is limited.
    assert sum(sent) < 3 * receivememory.partial_limit(MEMORY_BYTES)


async def test_chunks_of_one_byte_are_a_response():
    """Guards against a limit on framing that real responses exceed."""
    count = 30_000

    async def script(stream, _number):
        await stream.receive()
        await stream.send(CHUNKED + b"1\r\na\r\n" * count + b"0\r\n\r\n")

    async with scripted(script) as (client, _accepted):
        response = await client.exchange(request())
    assert response.body == b"a" * count


async def test_an_upstream_that_answers_early_gets_no_other_bytes():
    """Guards against a request that is read as the body of an earlier one."""

    async def script(stream, number):
        await stream.receive()
        await stream.send(OK)
        if number == 1:
            await anyio.sleep(5)
        await anyio.sleep(1)

    async with scripted(script) as (client, accepted):
        body = b"a" * 20_000_000
        await client.exchange(request(body, "POST"))
        await client.exchange(request())
        assert len(accepted) == 2


async def test_an_upstream_that_cannot_be_reached_has_not_run_the_call():
    """Guards against an unknown outcome of a call that was never sent."""
    client = client_module.Client(
        util.Address("127.0.0.1", 1),
        b"request-id",
        receivememory.ReceiveMemory(),
    )
    with pytest.raises(client_module.NotSentError):
        await client.exchange(request())


async def test_a_cancelled_call_closes_its_connection():
    """Guards against work of the upstream for a cancelled call."""
    ended = anyio.Event()

    async def script(stream, _number):
        try:
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            ended.set()

    async with scripted(script) as (client, _accepted):
        with anyio.move_on_after(0.1):
            await client.exchange(request())
        with anyio.fail_after(1):
            await ended.wait()
