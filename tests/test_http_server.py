"""HTTP server with callers that send given bytes."""

import asyncio
import contextlib
import socket
import struct
import types

import anyio
import anyio.abc
import hypothesis
from hypothesis import strategies
import pytest

from rattangauge.http import callerconnection
from rattangauge.http import messages
from rattangauge.http import server as server_module
from tests import servers

LIMITS = server_module.Limits(
    header_bytes=2000, body_bytes=5000, header_s=0.3, idle_s=0.3, body_s=0.3
)


@pytest.fixture(params=[True, False])
def anyio_backend(request):
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


@contextlib.asynccontextmanager
async def serving(handler, limits=LIMITS):
    """Yields a server and a function that connects to it.

    Args:
        handler: Answers the requests.
        limits: The limits, or a function that returns those in force.
    """
    in_force = limits if callable(limits) else lambda: limits
    async with servers.serving(handler, in_force) as (server, port):

        async def connect():
            return await anyio.connect_tcp("127.0.0.1", port)

        yield server, connect


async def echo(request):
    """Answers with the method, the target and the size of the body."""
    text = f"{request.method} {request.target} {len(request.body)}"
    return messages.Response(200, (), text.encode())


async def read_all(stream):
    """Reads until the connection ends."""
    data = b""
    with anyio.fail_after(3), contextlib.suppress(anyio.EndOfStream):
        while True:
            data += await stream.receive()
    return data


async def exchange(data, handler=echo):
    """Sends bytes on a new connection and returns all that is received."""
    async with serving(handler) as (_server, connect):
        stream = await connect()
        await stream.send(data)
        return await read_all(stream)


async def test_requests_sent_ahead_are_answered_in_order():
    """Guards against responses to pipelined requests in the wrong order."""

    async def slow_first(request):
        await anyio.sleep(0.1 if request.target == "/1" else 0)
        return await echo(request)

    data = b"".join(
        b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number for number in (1, 2, 3)
    )
    answer = await exchange(data, slow_first)
    positions = [answer.index(b"GET /%d 0" % number) for number in (1, 2, 3)]
    assert positions == sorted(positions)


@pytest.mark.parametrize("headers", [(), ((b"content-length", b"7"),)])
async def test_an_answer_to_head_announces_no_length_of_its_own(headers):
    """Guards against the length 0 for a document that has another one."""

    async def answer(_request):
        return messages.Response(200, headers)

    received = await exchange(
        b"HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", answer
    )
    assert (b"content-length" in received) == bool(headers)
    assert b"content-length: 0" not in received


async def test_requests_sent_ahead_do_not_wait_for_each_other():
    """Guards against a slow request that delays pipelined ones after it."""
    running = []
    together = []

    async def slow(request):
        running.append(request)
        together.append(len(running))
        await anyio.sleep(0.1)
        running.remove(request)
        return await echo(request)

    data = b"".join(
        b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number for number in range(5)
    )
    answer = await exchange(data, slow)
    assert max(together) == 5
    assert answer.count(b"HTTP/1.1 200 ") == 5


async def test_a_request_that_changes_something_waits_for_its_turn():
    """Guards against an order that runs after a response that closes.

    The caller would send it again on another connection: it would run twice.
    """
    order = []

    async def slow(request):
        order.append(("begin", request.method))
        await anyio.sleep(0.05)
        order.append(("end", request.method))
        return await echo(request)

    data = (
        b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
    )
    await exchange(data, slow)
    assert order == [("begin", "GET"), ("end", "GET")]
    order.clear()
    data = (
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    )
    await exchange(data, slow)
    methods = ("GET", "POST", "GET")
    states = ("begin", "end")
    assert order == [(state, name) for name in methods for state in states]


async def test_a_body_in_chunks_is_whole():
    """Guards against a chunked body that is cut off."""
    answer = await exchange(
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert b"POST /a 5" in answer


@pytest.mark.parametrize(
    "head, status",
    [
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6000\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabc",
            400,
        ),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nA: " + b"a" * 3000 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: a\r\nA: " + b"a" * 99_000, 431),
        (b"GET / HTTP/1.1\r\nHost: a\r\n A: 1\r\n\x00\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHo", 408),
    ],
)
async def test_requests_that_exceed_limits_are_refused(head, status):
    """Guards against request smuggling and oversized or endless headers."""
    handled = []

    async def handler(request):
        handled.append(request)
        return await echo(request)

    answer = await exchange(head, handler)
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert not handled


async def test_a_body_in_chunks_beyond_the_limit_is_refused():
    """Guards against bodies without a length that use up the memory."""
    chunk = b"1000\r\n" + b"a" * 4096 + b"\r\n"
    answer = await exchange(
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        + 3 * chunk
    )
    assert answer.startswith(b"HTTP/1.1 413 ")


async def test_an_open_connection_follows_the_limits_in_force():
    """Guards against 413 for a request that the newest limits allow."""
    in_force = [LIMITS._replace(body_bytes=5, header_bytes=100)]
    upload = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n"
    padding = b"X: " + b"a" * 200 + b"\r\n"
    async with serving(echo, lambda: in_force[0]) as (_server, connect):
        raised, lowered = await connect(), await connect()
        for stream in (raised, lowered):
            await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b" 200 " in await stream.receive()
        in_force[0] = LIMITS
        whole = upload % 1 + b"abcdef"
        await raised.send(whole.replace(b"Host", padding + b"Host"))
        assert b"POST /1 6" in await raised.receive()
        # A request that has begun keeps the limits under which it began.
        await raised.send(upload % 2 + b"abc")
        await anyio.sleep(0.05)
        in_force[0] = LIMITS._replace(body_bytes=5)
        await raised.send(b"def")
        assert b"POST /2 6" in await raised.receive()
        await lowered.send(upload % 3 + b"abcdef")
        assert b" 413 " in await lowered.receive()


async def test_an_idle_connection_is_closed():
    """Guards against idle connections that are never closed."""
    async with serving(echo) as (_server, connect):
        assert await read_all(await connect()) == b""


async def test_a_caller_that_leaves_cancels_its_call():
    """Guards against work for callers that have disconnected."""
    cancelled = anyio.Event()

    async def wait(_request):
        try:
            await anyio.sleep_forever()
        finally:
            cancelled.set()

    async with serving(wait) as (server, connect):
        stream = await connect()
        await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await anyio.sleep(0.05)
        assert server.busy_connections == 1
        await stream.aclose()
        with anyio.fail_after(1):
            await cancelled.wait()


async def test_a_closing_server_ends_its_connections():
    """Guards against callers that keep using a daemon that stops."""
    async with serving(echo) as (server, connect):
        stream = await connect()
        server.close_connections()
        await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = (await read_all(stream)).lower()
        assert b"connection: close" in answer


async def test_requests_that_run_are_answered_when_the_server_closes():
    """Guards against requests that run and are lost to an earlier answer."""
    started = []

    async def slow(request):
        started.append(request.target)
        await anyio.sleep(0.1 if request.target != "/2" else 0.2)
        return await echo(request)

    ahead = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
    async with serving(slow) as (server, connect):
        stream = await connect()
        await stream.send(b"".join(ahead % number for number in (1, 2, 3)))
        await anyio.sleep(0.05)
        server.close_connections()
        await stream.send(ahead % 4 + ahead % 5)
        answer = (await read_all(stream)).lower()
    assert started == ["/1", "/2", "/3"]
    positions = [answer.index(b"get /%d 0" % number) for number in (1, 2, 3)]
    assert positions == sorted(positions)
    assert answer.count(b"http/1.1 200 ") == 3
    assert answer.count(b"connection: close") == 1
    assert answer.index(b"connection: close") > positions[1]


@pytest.mark.parametrize("is_closing", [True, False])
async def test_nothing_starts_behind_the_last_request(is_closing):
    """Guards against requests that run and cannot be answered."""
    started = []

    async def slow(request):
        started.append(request.target)
        await anyio.sleep(0.05)
        return await echo(request)

    last = b"" if is_closing else b"Connection: close\r\n"
    async with serving(slow) as (server, connect):
        stream = await connect()
        if is_closing:
            server.close_connections()
        await stream.send(
            b"GET /1 HTTP/1.1\r\nHost: a\r\n%s\r\n" % last
            + b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        answer = (await read_all(stream)).lower()
    assert started == ["/1"]
    assert answer.count(b"http/1.1 200 ") == 1
    assert answer.count(b"connection: close") == 1


CLOSING = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


async def test_a_connection_is_busy_until_its_answer_has_been_sent():
    """Guards against a stop that cuts answers in the buffers."""

    async def answer(_request):
        return messages.Response(200, (), b"x" * 16_000_000)

    async with serving(answer) as (server, connect):
        for head in (CLOSING, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"):
            stream = await connect()
            await stream.send(head)
            await anyio.sleep(0.2)
            assert server.busy_connections == 1
            received = 0
            with anyio.fail_after(3):
                while received < 16_000_000:
                    received += len(await stream.receive())
            await anyio.sleep(0.05)
            assert server.busy_connections == 0
            await stream.aclose()


@pytest.mark.parametrize("size", [10, 8_000_000])
async def test_bytes_after_the_last_response_do_not_take_it(size):
    """Guards against a reset that overtakes the last response (RFC 9112)."""

    async def answer(_request):
        return messages.Response(200, (), b"x" * size)

    async with serving(answer) as (_server, connect):
        stream = await connect()
        await stream.send(CLOSING)
        for _ in range(5):
            await anyio.sleep(0.02)
            await stream.send(b"GET /more HTTP/1.1\r\nHost: a\r\n\r\n")
        _head, _, body = (await read_all(stream)).partition(b"\r\n\r\n")
        assert body == b"x" * size


async def test_a_connection_ends_when_its_caller_closes_it():
    """Guards against connections that stay open after their last use."""
    async with serving(echo) as (server, connect):
        for _ in range(20):
            stream = await connect()
            await stream.send(CLOSING)
            assert b" 200 " in await stream.receive()
            await stream.aclose()
        await anyio.sleep(0.1)
        assert server.open_connections == 0


async def test_callers_that_never_close_leave_few_connections(monkeypatch):
    """Guards against connections without number after their last response."""
    monkeypatch.setattr(server_module, "MAX_LINGERING", 2)
    async with serving(echo) as (server, connect):
        streams = [await connect() for _ in range(6)]
        for stream in streams:
            await stream.send(CLOSING)
            assert b" 200 " in await stream.receive()
        await anyio.sleep(0.1)
        assert server.open_connections == 2
        await anyio.sleep(callerconnection.LINGER_S + 0.1)
        assert server.open_connections == 0
        for stream in streams:
            await stream.aclose()


async def test_a_caller_that_stops_reading_a_last_response_is_cut(monkeypatch):
    """Guards against responses that nobody reads and that are never freed."""
    monkeypatch.setattr(callerconnection, "SEND_TIMEOUT_S", 0.6)

    async def answer(_request):
        return messages.Response(200, (), b"x" * 16_000_000)

    async with serving(answer) as (server, connect):
        stream = await connect()
        await stream.send(CLOSING)
        await anyio.sleep(0.2)
        assert server.unsent_bytes > 0
        await anyio.sleep(2.5)
        assert server.open_connections == 0
        await stream.aclose()


async def test_the_last_bytes_of_an_unread_answer_do_not_stay():
    """Guards against connections that end neither as idle nor as unread."""
    aborted = anyio.Event()
    transport = types.SimpleNamespace(
        get_write_buffer_size=lambda: 100,
        set_write_buffer_limits=lambda high: None,
        is_closing=lambda: False,
        abort=aborted.set,
    )
    limits = LIMITS._replace(idle_s=0.05)
    server = server_module.Server(echo, lambda: limits)
    connection = callerconnection.Connection(server)
    connection.connection_made(transport)
    with anyio.fail_after(1):
        await aborted.wait()


async def test_a_caller_that_resets_its_connection_is_no_error(caplog):
    """Guards against errors of the event loop when callers vanish."""
    async with serving(echo) as (server, connect):
        for number in range(40):
            stream = await connect()
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            await stream.send(CLOSING)
            await anyio.sleep(number * 0.00005)
            await stream.aclose()
        await anyio.sleep(0.1)
        assert server.open_connections == 0
    assert not caplog.records


async def raise_error(_request):
    """Fails with an error that nobody expects."""
    raise RuntimeError("for the test")


async def await_cancelled_future(_request):
    """Fails as a handler does that waits for a future of another one."""
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


@pytest.mark.parametrize("fail", [raise_error, await_cancelled_future])
async def test_an_unexpected_error_of_a_handler_is_answered(fail):
    """Guards against requests that get no answer, or that hang for ever."""
    async with serving(fail) as (server, connect):
        stream = await connect()
        for _ in range(2):
            await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            with anyio.fail_after(1):
                answer = await stream.receive()
            assert answer.startswith(b"HTTP/1.1 500 ")
        assert server.busy_connections == 0
        await stream.aclose()


async def test_held_bodies_are_counted_while_they_arrive():
    """Guards against incomplete bodies that use up the memory uncounted."""
    async with serving(echo) as (server, connect):
        stream = await connect()
        await stream.send(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"
        )
        await anyio.sleep(0.05)
        held = server.memory.used_bytes
        await stream.send(b"abcd")
        await anyio.sleep(0.05)
        assert server.memory.used_bytes == held + 4
        await stream.send(b"efghij")
        assert b"POST / 10" in await read_all(stream)
        assert server.memory.used_bytes == 0


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    data=strategies.binary(max_size=200)
    | strategies.from_regex(rb"(GET|POST) /[a-z]* HTTP/1.[01]\r\n([A-Z]: .*)?")
)
def test_any_bytes_leave_the_server_at_work(data):
    """Guards against bytes of a caller that end the daemon."""

    async def run():
        # The second request has longer limits, as it may be slow to arrive on
        # a busy machine.
        short = LIMITS._replace(header_s=0.02, idle_s=0.02, body_s=0.02)
        in_force = [LIMITS, short]
        async with serving(echo, lambda: in_force[-1]) as (_server, connect):
            stream = await connect()
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(data)
                await stream.send_eof()
                await read_all(stream)
            in_force.pop()
            again = await connect()
            await again.send(b"GET /again HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b"GET /again 0" in await again.receive()

    anyio.run(run)
