"""Answers of an upstream in trouble, beside the daemon and behind another."""

import asyncio
import contextlib
import itertools
import socket
import struct

import anyio
import pytest

from rattangauge import receivememory
from rattangauge import util
from rattangauge.calls import exchange
from rattangauge.generated import messages
from rattangauge.http import client as client_module
from rattangauge.net import forward
from tests import meshes
from tests import peers
from tests import test_http_client
from tests import test_upstream_reset

OWN = b"Request-Id: q1\r\nServer-Seal: s\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + OWN
WITH_LENGTH = OWN + b"Content-Length: 2\r\n\r\nok"
OK = b"HTTP/1.1 200 OK\r\n" + WITH_LENGTH
INVALID_LINES = (
    b"HTTP/1.1 000 \r\n",
    b"HTTP/1.1 001 No\r\n",
    b"HTTP/1.1 099 No\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n",
    b"HTTP/1.1 600 No\r\n",
    b"HTTP/1.1 999 No\r\n",
    b"HTTP/1.1 20 OK\r\n",
    b"HTTP/1.1 2000 OK\r\n",
    b"HTTP/2.0 200 OK\r\n",
    b"HTTP/0.9 200 OK\r\n",
)
# Without a length, the end of the connection is that of the response.
PART = HEAD + b"\r\n" + b"x" * 400
UPLOAD_BYTES = (20_000, 300_000, 20_000_000)


@pytest.fixture(params=[True, False])
def anyio_backend(request):
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


class RawUpstream:
    """Upstream of plain sockets, which reads no more than its script says.

    Attributes:
        address: Address at which it listens.
        accepted: Number of its connections.
        script: Called with the event loop and each connection.
    """

    def __init__(self, script=None):
        """Creates an upstream; ``serve`` accepts connections."""
        self.address = meshes.free_address()
        self.accepted = 0
        self.script = script

    async def serve(self):
        """Accepts connections."""
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        with util.listen(host, int(port)) as listener:
            listener.setblocking(False)
            async with anyio.create_task_group() as tasks:
                while True:
                    accepted, _ = await loop.sock_accept(listener)
                    self.accepted += 1
                    tasks.start_soon(self._run, loop, accepted)

    async def _run(self, loop, accepted):
        with accepted, contextlib.suppress(OSError):
            await loop.sock_recv(accepted, 4096)
            await self.script(loop, accepted)

    @contextlib.asynccontextmanager
    async def client(self):
        """Serves and yields a client of the upstream."""
        client = client_module.Client(
            util.parse_address(self.address),
            b"request-id",
            receivememory.ReceiveMemory(),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.serve)
            await anyio.sleep(0.01)
            yield client
            client.close()
            tasks.cancel_scope.cancel()


def ending(data, delay_s, is_reset=True):
    """Returns a script that sends data and ends after a time."""

    async def script(loop, accepted):
        await loop.sock_sendall(accepted, data)
        await anyio.sleep(delay_s)
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        else:
            accepted.shutdown(socket.SHUT_WR)
            await anyio.sleep(1)

    return script


def upload(size=2):
    """Returns a request with a body."""
    sent = test_http_client.request(b"y" * size, "POST")
    headers = [h for h in sent.headers if h[0] != b"request-id"]
    return sent._replace(headers=(*headers, (b"request-id", b"q1")))


async def check_no_response(script, sent):
    """Checks that a request gets no response from a scripted upstream."""
    async with RawUpstream(script).client() as client:
        with anyio.fail_after(5), pytest.raises(client_module.NoResponseError):
            await client.exchange(sent)


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("line", INVALID_LINES)
@pytest.mark.parametrize("length", [b"", b"Content-Length: 0\r\n"])
@pytest.mark.parametrize("delay_s", [0.0, 0.02])
async def test_an_invalid_first_line_is_no_response(
    method, line, length, delay_s
):
    """Guards against such a response, and against what follows it as one."""

    async def script(loop, accepted):
        await loop.sock_sendall(accepted, line + OWN + length + b"\r\n")
        await anyio.sleep(delay_s)
        await loop.sock_sendall(accepted, OK)
        await anyio.sleep(1)

    await check_no_response(script, upload()._replace(method=method))


@pytest.mark.parametrize("status", [b"100", b"103", b"199"])
async def test_an_interim_response_precedes_the_response(status):
    """Guards against a refusal of interim responses that nobody knows."""

    async def script(stream, _number):
        await stream.receive()
        await stream.send(b"HTTP/1.1 " + status + b" Wait\r\n\r\n")
        await anyio.sleep(0.02)
        await stream.send(OK)
        await anyio.sleep(1)

    async with test_http_client.scripted(script) as (client, _accepted):
        assert (await client.exchange(upload())).body == b"ok"


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.02])
@pytest.mark.parametrize("size", UPLOAD_BYTES)
async def test_a_reset_inside_an_upload_leaves_no_response(size, delay_s):
    """Guards against a part of a response that counts as a whole one."""
    await check_no_response(ending(PART, delay_s), upload(size))


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.02])
@pytest.mark.parametrize("size", UPLOAD_BYTES[1:])
async def test_a_regular_end_inside_an_upload_leaves_no_response(size, delay_s):
    """Guards against a response that ends before its request."""
    script = ending(PART, delay_s, is_reset=False)
    await check_no_response(script, upload(size))


async def test_a_regular_end_after_an_upload_completes_a_response():
    """Guards against a rule that refuses responses without a length."""

    async def script(loop, accepted):
        data = b""
        while not data.endswith(b"end"):
            data = await loop.sock_recv(accepted, 65_536)
        await loop.sock_sendall(accepted, PART)
        accepted.shutdown(socket.SHUT_WR)
        await anyio.sleep(1)

    async with RawUpstream(script).client() as client:
        sent = upload(UPLOAD_BYTES[1])
        body = sent.body[:-3] + b"end"
        response = await client.exchange(sent._replace(body=body))
    assert len(response.body) == 400


@pytest.mark.parametrize("size", UPLOAD_BYTES[1:])
@pytest.mark.parametrize(
    "data",
    [OK, HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"],
)
async def test_a_response_of_known_end_may_precede_the_end_of_an_upload(
    size, data
):
    """Guards against a request behind one that the upstream has not read."""

    async def script(loop, accepted):
        await loop.sock_sendall(accepted, data)
        await anyio.sleep(1)

    upstream = RawUpstream(script)
    async with upstream.client() as client:
        for _ in range(2):
            assert (await client.exchange(upload(size))).body == b"ok"
        assert upstream.accepted == 2


@pytest.mark.parametrize("line", INVALID_LINES)
async def test_an_invalid_first_line_is_no_answer_of_the_other_daemon(line):
    """Guards the client of the daemon that has a platform of its own."""

    async def script(stream, _number):
        await stream.receive()
        await stream.send(line + WITH_LENGTH + OK)
        await anyio.sleep(1)

    answers = peers.Answers()
    async with test_http_client.scripted(script) as (client, _accepted):
        own = test_upstream_reset.create_client(client.address)
        with pytest.raises(exchange.CallFailed) as caught:
            await own.run(peers.request(), answers.respond("c1"))
        await own.aclose()
    assert caught.value.outcome == messages.Outcome.UNKNOWN


@pytest.mark.parametrize("status", [0, 101, 600])
async def test_an_invalid_status_from_another_daemon_is_no_answer(status):
    """Guards against a daemon that passes on what its upstream sends."""

    async def script(peer):
        number, opened = await peer.receive(messages.CallOpen)
        answer = messages.AnswerOpen(opened.call_id, status, last=True)
        await peer.send(number, answer)
        await anyio.sleep(1)

    async with peers.scripted(script) as address, peers.pool() as links:
        with pytest.raises(exchange.CallFailed) as caught:
            await forward.forward_buffered(
                links, address, peers.request(), peers.MEMORY
            )
    assert caught.value.outcome == messages.Outcome.UNKNOWN


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_callers_get_no_answer_of_an_upstream_in_trouble(kind):
    """Guards both ways: beside the daemon, and through another daemon."""
    path = meshes.path("/order/", "objednavky", kind=kind)
    data = (PART, *(line + WITH_LENGTH + OK for line in INVALID_LINES[::2]))
    bodies = (b"", b"y" * 20_000, b"y" * 900_000)
    delays_s = (0.0, 0.001, 0.02)
    async with meshes.running() as mesh:
        mesh.publish([path])
        raw = RawUpstream()
        mesh.tasks.start_soon(raw.serve)
        mesh.instances["b"] = meshes.Instance(
            "b", "objednavky", "zone-1", mesh.store.address, raw
        )
        mesh.start("b")
        await mesh.add("a")
        await mesh.wait_ready()
        await mesh.send_heartbeats()
        for case in itertools.product(data, bodies, delays_s, ("a", "b")):
            sent, body, delay_s, name = case
            raw.script = ending(sent, delay_s)
            status, headers, _body = await mesh.call(
                name, "/order/1", "POST" if body else "GET", body
            )
            shown = sent[:16], len(body), delay_s, name
            assert status == 502, shown
            assert b"not-executed" not in headers, shown
