"""Answers of other daemons that are larger than one message."""

import anyio
import pytest

from rattangauge import receivememory
from rattangauge import util
from rattangauge.calls import exchange
from rattangauge.generated import messages
from rattangauge.net import answerparts
from rattangauge.net import forward
from rattangauge.net import forwardedcall
from rattangauge.net import meshserver
from standins import appworker
from standins import configurations
from tests import meshes
from tests import peers
from tools import platformfleet

PATH = configurations.path(
    "/order/", "objednavky", kind="unsafe", **{"timeout-s": 5.0}
)
# Memory of the smallest machines of the platform.
MEMORY_BYTES = 200 * 1024 * 1024
PIECE = b"x" * 65_536


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@pytest.mark.parametrize("size", [1_048_500, 1_048_576, 2_000_000, 8_000_000])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_large_answer_of_another_machine_arrives(size, method):
    """Guards against an answer that is too large for one message."""

    async def sized(request):
        return appworker.sealed(request, b"x" * size)

    async with platformfleet.running() as fleet:
        fleet.publish([PATH], ("skladby", "objednavky"))
        for name, service in (("a", "skladby"), ("b", "objednavky")):
            await fleet.add(name, service)
            fleet.start(name)
        await fleet.wait_ready()
        await fleet.wait_served("a", "/order/1")
        fleet.machines["b"].upstream.behaviour = sized
        machine = fleet.machines["a"]
        caller = meshes.Caller(
            await anyio.connect_tcp(machine.host, machine.ports["callers"])
        )
        body = b"y" * 50_000 if method == "POST" else b""
        await caller.send("/order/1", method, body, deadline_ms=4900)
        status, _headers, answer_body = await caller.receive()
        await caller.close()
    assert status == 200, answer_body
    assert answer_body == b"x" * size


@pytest.mark.parametrize("size", [100, 1_048_500, 3_000_000])
async def test_an_answer_of_any_size_is_joined(size):
    """Guards against an answer that is refused for its size."""

    async def run(request, respond):
        answer = messages.AnswerOpen(request.open.call_id, 200, last=True)
        await respond(
            exchange.Response(answer._replace(body=b"x" * size), None)
        )

    async def handle(stream, message):
        await forwardedcall.serve(stream, message, run)

    listener = util.listen("127.0.0.1")
    address = "{}:{}".format(*listener.getsockname())
    async with peers.pool() as links, anyio.create_task_group() as tasks:
        tasks.start_soon(meshserver.serve_socket, listener, handle, 1.0)
        with anyio.fail_after(5):
            answer = await forward.forward_buffered(
                links, address, peers.request(), peers.MEMORY
            )
        tasks.cancel_scope.cancel()
    assert answer.body == b"x" * size


@pytest.mark.parametrize("request_body", [b"", b"y" * 50_000])
async def test_an_answer_in_parts_without_end_is_given_up(request_body):
    """Guards against a daemon that fills the memory of another one."""
    memory = receivememory.ReceiveMemory(MEMORY_BYTES)
    sizes = []

    async def script(peer):
        number, opened = await peer.receive(messages.CallOpen)
        if request_body:
            await peer.send(number, messages.Credit(bytes=0))
        await peer.send(number, messages.AnswerOpen(opened.call_id, 200))
        while True:
            await peer.send(number, messages.AnswerData(PIECE, False))
            sizes.append(len(PIECE))

    async with peers.scripted(script) as address, peers.pool() as links:
        request = peers.request()
        opened = request.open._replace(body=request_body)
        request = request._replace(open=opened)
        with pytest.raises(exchange.CallFailed) as caught, anyio.fail_after(10):
            await forward.forward_buffered(links, address, request, memory)
    assert caught.value.outcome == messages.Outcome.UNKNOWN
    assert "bytes" in caught.value.message
    assert sum(sizes) < 3 * memory.limit_bytes
    assert memory.used_bytes == 0


async def test_parts_of_several_answers_share_the_memory():
    """Guards against many answers that each stay within the bound."""
    memory = receivememory.ReceiveMemory(MEMORY_BYTES)
    count = 8
    pieces = memory.message_bytes // len(PIECE) - 1
    outcomes = []

    async def script(peer):
        calls = [await peer.receive(messages.CallOpen) for _ in range(count)]
        for number, opened in calls:
            await peer.send(number, messages.AnswerOpen(opened.call_id, 200))
        for _ in range(pieces):
            for number, _opened in calls:
                await peer.send(number, messages.AnswerData(PIECE, False))
        for number, _opened in calls:
            await peer.send(number, messages.AnswerData(b"", True))
        await anyio.sleep(1)

    async def call(links, address, number):
        try:
            answer = await forward.forward_buffered(
                links, address, peers.request(f"c{number}"), memory
            )
            outcomes.append(len(answer.body))
        except exchange.CallFailed as failure:
            outcomes.append(failure.outcome)

    async with peers.scripted(script) as address, peers.pool() as links:
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                for number in range(count):
                    tasks.start_soon(call, links, address, number)
    whole = [size for size in outcomes if size == pieces * len(PIECE)]
    assert whole
    assert outcomes.count(messages.Outcome.UNKNOWN) == count - len(whole) > 0
    assert memory.used_bytes == 0


async def expect_unknown(script, request_body=b""):
    """Forwards a call that fails with an unknown outcome."""

    async def answer(peer):
        number, opened = await peer.receive(messages.CallOpen)
        if request_body:
            await peer.send(number, messages.Credit(bytes=65_536))
        head = messages.AnswerOpen(opened.call_id, 200)
        await peer.send(number, head)
        await peer.send(number, messages.AnswerData(PIECE, False))
        await script(peer, number, opened)
        await anyio.sleep(1)

    async with peers.scripted(answer) as address, peers.pool() as links:
        request = peers.request()
        opened = request.open._replace(body=request_body)
        request = request._replace(open=opened)
        with pytest.raises(exchange.CallFailed) as caught, anyio.fail_after(5):
            await forward.forward_buffered(
                links, address, request, peers.MEMORY
            )
    assert caught.value.outcome == messages.Outcome.UNKNOWN
    assert peers.MEMORY.used_bytes == 0


@pytest.mark.parametrize("request_body", [b"", b"y" * 50_000])
async def test_a_call_whose_answer_has_begun_is_never_not_run(request_body):
    """Guards against a call that runs again after a part of its answer."""

    async def refuse(peer, number, opened):
        failure = messages.AnswerFailed(
            opened.call_id, "call.overloaded", "", messages.Outcome.NOT_RUN
        )
        await peer.send(number, failure)

    async def end(peer, _number, _opened):
        await peer.send(0, messages.LinkEnd(0))

    await expect_unknown(refuse, request_body)
    await expect_unknown(end, request_body)


async def test_an_answer_that_was_given_up_is_never_an_empty_one():
    """Guards against 200 without a body in place of a failure."""
    holders = []

    class Memory(receivememory.ReceiveMemory):
        def update(self, holder, size):
            """Gives up each message once it has arrived."""
            super().update(holder, size)
            holders.append(holder)

    async def pieces():
        yield PIECE
        holders[0].give_up("too large")

    with pytest.raises(exchange.CallFailed) as caught:
        await answerparts.join(pieces(), Memory(MEMORY_BYTES))
    assert caught.value.message == "too large"


async def test_an_answer_that_a_peer_does_not_take_ends_at_the_deadline():
    """Guards against answers that are held for a peer for ever."""

    async def run(_request, respond):
        answer = messages.AnswerOpen("c1", 200, body=b"x" * 2_000_000)
        await respond(exchange.Response(answer._replace(last=True), None))

    class Stream:
        async def send(self, _message):
            """Sends at once."""

        async def send_data(self, _type, _body, _last):
            """Waits for credit that never comes."""
            await anyio.sleep_forever()

        def on_interrupt(self, _handler):
            """Ignores the handler."""

    opened = peers.request(timeout_s=0.2).open
    with anyio.fail_after(2):
        await forwardedcall.serve(Stream(), opened, run)
