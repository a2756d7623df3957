"""Senders whose messages never end, beside sound ones (LOST)."""

import contextlib
import gzip
import time
from typing import NamedTuple
import zlib

import anyio
import anyio.lowlevel
import httpx
import pytest
from rattangauge_platform import store as store_module

from rattangauge import errors
from rattangauge import receivememory
from rattangauge import util
from rattangauge.calls import exchange
from rattangauge.config import edition as edition_module
from rattangauge.generated import errorcodes
from rattangauge.generated import messages as generated
from rattangauge.http import client as client_module
from rattangauge.http import messages
from rattangauge.http import server as server_module
from rattangauge.net import connection_pool
from rattangauge.net import meshserver
from rattangauge.sidecar import configpull
from rattangauge.sidecar import upstreamhttp
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

    async def run_exchange(client):
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
                    exchanges.start_soon(run_exchange, client)
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
    "headers": (REQUEST, b"X: a\r\n"),
}


async def assert_room_beside(begin, more):
    """Checks that a server answers beside callers that send without end."""
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


@pytest.mark.parametrize("form", ENDLESS_REQUESTS)
async def test_requests_without_end_leave_room_for_others(form):
    """Guards against callers that use up the memory of the daemon."""
    await assert_room_beside(*ENDLESS_REQUESTS[form])


async def test_requests_sent_ahead_without_end_leave_room_for_others():
    """Guards against callers whose small requests hold the event loop."""
    await assert_room_beside(b"", b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")


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


# First bytes of an answer of the store and those that are repeated without end.
STORE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
STORE_CHUNKED = STORE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_ANSWERS = {
    "body-to-the-end": (STORE_HEAD + b"\r\n", b"a"),
    "chunks-of-one-byte": (STORE_CHUNKED, b"1\r\na\r\n"),
    "large-chunks": (STORE_CHUNKED, b"8000\r\n" + b"a" * 0x8000 + b"\r\n"),
    "header": (STORE_HEAD + b"X: ", b"a"),
    "interim-responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "no-response": (b"", b"nonsense"),
    "refusal": (b"HTTP/1.1 503 Busy\r\n\r\n", b"a"),
}


def store_at(address, timeout_s):
    """Returns the client of a store at an address."""
    http_client = httpx.AsyncClient(
        base_url=f"http://{address}", timeout=timeout_s, verify=False
    )
    return http_client, store_module.ObjectStore(http_client, MEMORY_BYTES)


@pytest.mark.parametrize("form", ENDLESS_ANSWERS)
async def test_an_answer_of_the_store_without_end_is_none(form):
    """Guards against a store that uses up the memory of each daemon."""
    begin, more = ENDLESS_ANSWERS[form]
    watch = Watch()

    async def serve(stream):
        await stream.receive()
        await stream.send(begin)
        while True:
            await stream.send(more * (65_536 // len(more)))

    async with listening(serve) as address:
        http_client, store = store_at(address, 0.5)
        async with http_client, anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            for call in (store.read_configuration, store.list_daemons):
                arguments = (False,) if call == store.list_daemons else ()
                with anyio.fail_after(5.0):
                    with pytest.raises(errors.CodedError):
                        await call(*arguments)
            tasks.cancel_scope.cancel()
    assert watch.max_lag_s < MAX_LAG_S
    assert watch.growth_bytes < MEMORY_BYTES - receivememory.IDLE_BYTES


async def test_an_answer_of_the_store_that_comes_slowly_ends():
    """Guards against a daemon that waits for one answer for ever."""

    async def serve(stream):
        await stream.receive()
        await stream.send(STORE_CHUNKED)
        while True:
            await stream.send(b"1\r\n \r\n")
            await anyio.sleep(0.05)

    async with listening(serve) as address:
        http_client, store = store_at(address, 0.2)
        async with http_client:
            with anyio.fail_after(3.0):
                with pytest.raises(errors.CodedError) as caught:
                    await store.watch_configuration(1, 0.2)
    assert caught.value.code == errorcodes.STORE_UNAVAILABLE


async def test_a_compressed_answer_of_the_store_is_rejected():
    """Guards against an answer that is small until it is read."""
    bomb = gzip.compress(b" " * 50_000_000)
    head = STORE_HEAD + b"Content-Encoding: gzip\r\n"

    async def serve(stream):
        await stream.receive()
        length = b"Content-Length: %d\r\n\r\n" % len(bomb)
        await stream.send(head + length + bomb)

    async with listening(serve) as address:
        http_client, store = store_at(address, 0.5)
        async with http_client:
            with pytest.raises(errors.CodedError) as caught:
                await store.read_configuration()
    assert caught.value.code == errorcodes.STORE_PROTOCOL


async def test_a_body_beyond_its_announced_size_is_not_run():
    """Guards against a daemon whose body fills the memory of another one."""

    async def pieces():
        while True:
            yield b"a" * 65_536

    opened = generated.CallOpen(method="POST", body_bytes=100_000)
    received = exchange.Request(opened, pieces(), time.monotonic() + TIMEOUT_S)
    with pytest.raises(exchange.CallFailed) as caught:
        await upstreamhttp.receive_body(received)
    assert caught.value.outcome == generated.Outcome.NOT_RUN


def test_a_version_that_grows_when_it_is_read_is_rejected():
    """Guards against a small message of a daemon that fills the memory."""
    data = zlib.compress(b" " * (edition_module.MAX_EDITION_BYTES + 1) + b"{}")
    digest = edition_module.digest_of(data)
    with pytest.raises(errors.FindingsError):
        edition_module.decode_received(1, digest, data)


async def test_a_version_without_end_is_given_up(monkeypatch):
    """Guards against a daemon that sends parts of a version for ever."""
    monkeypatch.setattr(
        edition_module.receivememory, "machine_bytes", lambda: MEMORY_BYTES
    )
    sent = []

    async def handle(stream, _message):
        part = generated.EditionPart(2, "", False, b"a" * 900_000, False)
        while True:
            await stream.send(part)
            sent.append(len(part.data))

    limit_bytes = edition_module.max_edition_bytes()
    async with meshes.running() as mesh:
        a = await mesh.prepare("a")
        listener = util.listen("127.0.0.1")
        host, port = listener.getsockname()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(meshserver.serve_socket, listener, handle, 1.0)
            links = connection_pool.Links(a.settings, tasks)
            with anyio.fail_after(5.0):
                with pytest.raises(errors.CodedError) as caught:
                    await configpull.receive(links, f"{host}:{port}", None)
            tasks.cancel_scope.cancel()
    assert caught.value.code == errorcodes.FRAME_OVERSIZED
    assert sum(sent) < 8 * limit_bytes


async def test_messages_that_nobody_reads_end_the_connection():
    """Guards against a daemon that sends more than the other one can hold."""
    watch = Watch()
    large = generated.PeerNews(digest="a" * 900_000)
    sent = []

    async def handle(stream, _message):
        await anyio.sleep_forever()

    async with meshes.running() as mesh:
        a = await mesh.prepare("a")
        listener = util.listen("127.0.0.1")
        host, port = listener.getsockname()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(meshserver.serve_socket, listener, handle, 1.0)
            tasks.start_soon(watch.run)
            links = connection_pool.Links(a.settings, tasks)
            with anyio.fail_after(5.0), pytest.raises(errors.CodedError):
                async with links.stream(
                    f"{host}:{port}", connection_pool.SMALL_BODIES
                ) as stream:
                    while True:
                        await stream.send(large)
                        sent.append(large)
                        await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
    assert sum(len(news.digest) for news in sent) < MEMORY_BYTES / 2
    assert watch.growth_bytes < MEMORY_BYTES / 2
