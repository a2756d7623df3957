"""Senders whose messages never end, beside sound ones (LOST)."""

import contextlib
import time
from typing import NamedTuple

import anyio
import pytest

from rattangauge import receivememory
from rattangauge import util
from rattangauge.http import client as client_module
from rattangauge.http import messages
from rattangauge.http import server as server_module
from tests import meshes

# Memory of the smallest machines of the platform.
MEMORY_BYTES = 200 * 1024 * 1024
# Exchanges with endless messages at a time, as many as an upstream has slots.
SENDERS = 9
# Longest time for which the event loop may not run anything else.
MAX_LAG_S = 0.25
# Time that an exchange with an endless response has.
TIMEOUT_S = 6.0
# Time by which that exchange may end late.
LATE_S = 0.5
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 2\r\n\r\nno"

# First bytes of a response and those that are repeated without end.
ENDLESS = {
    "no-response": (b"", b"nonsense"),
    "status-line": (b"HTTP/1.1 200 ", b"a"),
    "header": (HEAD + b"X: ", b"a"),
    "headers": (HEAD, b"X: a\r\n"),
    "interim-responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "body-to-the-end": (HEAD + b"\r\n", b"a"),
    "long-body": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"a"),
    "chunks-of-one-byte": (CHUNKED, b"1\r\na\r\n"),
    "chunks-of-20-bytes": (CHUNKED, b"14\r\n" + b"a" * 20 + b"\r\n"),
    "chunks-of-64-bytes": (CHUNKED, b"40\r\n" + b"a" * 64 + b"\r\n"),
    "large-chunks": (CHUNKED, b"8000\r\n" + b"a" * 0x8000 + b"\r\n"),
    "chunk-extension": (CHUNKED + b"5;", b"a"),
    "chunk-extensions": (CHUNKED, b"1;aaaaaaaaaaaaaaaaaaaa\r\na\r\n"),
    "trailer": (CHUNKED + b"0\r\nX: ", b"a"),
    "trailers": (CHUNKED + b"0\r\n", b"X: a\r\n"),
    "responses-to-others": (OTHER, OTHER),
}


@pytest.fixture(params=[True, False])
def anyio_backend(request):
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


def resident_bytes():
    """Returns the memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096


class Watch:
    """Watches the event loop and the memory of the process.

    Attributes:
        max_lag_s: Longest time for which the loop ran nothing else.
        growth_bytes: Growth of the process's memory.
    """

    def __init__(self):
        """Starts with the memory of now."""
        self.max_lag_s = 0.0
        self.growth_bytes = 0
        self._before = resident_bytes()

    async def run(self):
        """Watches until cancelled."""
        while True:
            before = time.monotonic()
            await anyio.sleep(0.01)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - before)
            growth_bytes = resident_bytes() - self._before
            self.growth_bytes = max(self.growth_bytes, growth_bytes)


@contextlib.asynccontextmanager
async def listening(serve):
    """Yields the address of a server that handles streams with a function."""

    async def handle(stream):
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                await serve(stream)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield util.Address("127.0.0.1", port)
        tasks.cancel_scope.cancel()


def endless(form):
    """Returns a function that answers a request without end."""
    begin, more = ENDLESS[form]
    piece = more * (65_536 // len(more))

    async def serve(stream):
        await stream.receive()
        await stream.send(begin)
        while True:
            await stream.send(piece)

    return serve


def request():
    """Returns a request with an identity."""
    headers = ((b"host", b"a"), (b"request-id", b"q1"))
    return messages.Request("GET", "/", headers, b"")


@pytest.mark.parametrize("form", ENDLESS)
async def test_a_response_without_end_is_no_response(form):
    """Guards against memory and time that a faulty upstream uses up."""
    memory = receivememory.ReceiveMemory(MEMORY_BYTES)
    watch = Watch()
    ended = []

    async def exchange(client):
        deadline = time.monotonic() + TIMEOUT_S
        with pytest.raises((client_module.NoResponseError, TimeoutError)):
            await client.exchange(request(), deadline)
        ended.append(time.monotonic() - deadline)

    async with listening(endless(form)) as address:
        client = client_module.Client(address, b"request-id", memory)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            async with anyio.create_task_group() as exchanges:
                for _ in range(SENDERS):
                    exchanges.start_soon(exchange, client)
            tasks.cancel_scope.cancel()
    assert len(ended) == SENDERS
    assert max(ended) < LATE_S
    assert watch.max_lag_s < MAX_LAG_S
    assert watch.growth_bytes < MEMORY_BYTES - receivememory.IDLE_BYTES
    assert memory.used_bytes == 0


async def test_a_body_that_comes_slowly_ends_with_its_deadline():
    """Guards against an exchange that outlasts its deadline."""

    async def serve(stream):
        await stream.receive()
        await stream.send(CHUNKED)
        while True:
            await stream.send(b"1\r\na\r\n")
            await anyio.sleep(0.01)

    memory = receivememory.ReceiveMemory(MEMORY_BYTES)
    async with listening(serve) as address:
        client = client_module.Client(address, b"request-id", memory)
        deadline = time.monotonic() + 0.3
        with pytest.raises(TimeoutError):
            await client.exchange(request(), deadline)
        assert time.monotonic() - deadline < LATE_S
    assert memory.used_bytes == 0


async def test_a_small_response_arrives_beside_those_without_end():
    """Guards against sound responses that are given up for others."""
    begin, more = ENDLESS["body-to-the-end"]
    body = b"a" * 30_000
    head = HEAD + b"Content-Length: 30000\r\nConnection: close\r\n\r\n"
    answer = head + body

    async def serve(stream):
        received = await stream.receive()
        if b"/sound" in received:
            # In pieces, so that it is incomplete for a while.
            for start in range(0, len(answer), 3000):
                await stream.send(answer[start : start + 3000])
                await anyio.sleep(0.005)
            return
        await stream.send(begin)
        while True:
            await stream.send(more * 65_536)

    memory = receivememory.ReceiveMemory(MEMORY_BYTES)
    async with listening(serve) as address:
        client = client_module.Client(address, b"request-id", memory)
        end = time.monotonic() + 2.0

        async def repeat_endless():
            while time.monotonic() < end:
                with pytest.raises(client_module.NoResponseError):
                    await client.exchange(request(), end + TIMEOUT_S)

        async with anyio.create_task_group() as tasks:
            for _ in range(SENDERS):
                tasks.start_soon(repeat_endless)
            while time.monotonic() < end:
                sound = request()._replace(target="/sound")
                response = await client.exchange(sound, end + TIMEOUT_S)
                assert response.body == body


REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\n"
ENDLESS_REQUESTS = {
    "long-bodies": (REQUEST + b"Content-Length: 60000000\r\n\r\n", b"a"),
    "chunks-of-one-byte": (
        REQUEST + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\na\r\n",
    ),
    "requests-sent-ahead": (b"", b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"),
    "headers": (REQUEST, b"X: a\r\n"),
}


@pytest.mark.parametrize("form", ENDLESS_REQUESTS)
async def test_requests_without_end_leave_room_for_others(form):
    """Guards against callers that use up the memory of the daemon."""
    begin, more = ENDLESS_REQUESTS[form]
    memory = receivememory.ReceiveMemory(MEMORY_BYTES)
    watch = Watch()

    async def handle(received):
        if received.target == "/wait":
            await anyio.sleep(1.0)
        return messages.Response(200)

    server = server_module.Server(handle, memory=memory)
    listener = util.listen("127.0.0.1")
    port = listener.getsockname()[1]

    async def send_endless():
        stream = await anyio.connect_tcp("127.0.0.1", port)
        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(begin)
            while True:
                await stream.send(more * (65_536 // len(more)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, listener)
        tasks.start_soon(watch.run)
        for _ in range(SENDERS):
            tasks.start_soon(send_endless)
        end = time.monotonic() + 2.0
        while time.monotonic() < end:
            with anyio.fail_after(1.0):
                stream = await anyio.connect_tcp("127.0.0.1", port)
                await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                assert b" 200 " in await stream.receive()
                await stream.aclose()
        tasks.cancel_scope.cancel()
    assert watch.max_lag_s < MAX_LAG_S
    assert watch.growth_bytes < MEMORY_BYTES - receivememory.IDLE_BYTES


class FaultyUpstream(NamedTuple):
    """An upstream at which something else listens; see ``meshes.Instance``."""

    address: str


@pytest.mark.parametrize("form", ["body-to-the-end", "chunks-of-one-byte"])
async def test_callers_of_other_upstreams_are_served(form):
    """Guards against a daemon that serves nobody beside a faulty upstream."""
    track = meshes.path("/track/", "skladby", **{"max-attempts": 1})
    order = meshes.path("/order/", "objednavky")
    watch = Watch()
    statuses = []
    async with listening(endless(form)) as address, meshes.running() as mesh:
        mesh.publish([track, order])
        faulty = FaultyUpstream(str(address))
        mesh.instances["a"] = meshes.Instance(
            "a", "skladby", "zone-1", mesh.store.address, faulty
        )
        mesh.start("a")
        await mesh.add("b", "objednavky")
        await mesh.wait_ready()
        await mesh.send_heartbeats()

        async def call_faulty():
            status, _headers, _body = await mesh.call("a", "/track/1")
            statuses.append(status)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            async with anyio.create_task_group() as calls:
                for _ in range(4):
                    calls.start_soon(call_faulty)
                for _ in range(20):
                    assert (await mesh.call("a", "/order/1"))[0] == 200
            tasks.cancel_scope.cancel()
    assert len(statuses) == 4
    assert 200 not in statuses
    assert watch.max_lag_s < MAX_LAG_S
