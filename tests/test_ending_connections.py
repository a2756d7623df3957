"""Connections between daemons of which one is stopped (LOST, TWICE)."""

import socket
import time

import anyio
import pytest

from rattangauge import util
from rattangauge.calls import exchange
from rattangauge.generated import messages
from rattangauge.generated import settings as generated
from rattangauge.net import forward
from rattangauge.net import frames
from rattangauge.net import meshserver
from tests import meshes
from tests import peers

# Frame with a message that this version does not know, in stream 0.
UNKNOWN_MESSAGE = b"\x10\x04P\x01\x01\x10\xc8\x10\x01\x01\x07"
ANSWER_BYTES = 900_000
ANSWERS = 8


@pytest.fixture(params=[True, False], ids=["uvloop", "asyncio"])
def anyio_backend(request):
    """Event loops on which a daemon may run."""
    return "asyncio", {"use_uvloop": request.param}


async def outcome_of(links, address, call_id, **fields):
    """Forwards a call; returns its status, or the outcome of its failure."""
    request = peers.request(call_id, 5.0, **fields)
    try:
        answer = await forward.forward_buffered(
            links, address, request, peers.MEMORY
        )
    except exchange.CallFailed as failure:
        return failure.outcome
    return answer.status


async def outcomes_of_calls(script, count):
    """Returns the outcomes of calls to a scripted daemon, by their order."""
    outcomes = {}

    async def call(links, address, number):
        outcomes[number] = await outcome_of(links, address, f"c{number}")

    async with (
        peers.scripted(script) as address,
        peers.pool(silence_s=2.0) as links,
        anyio.create_task_group() as tasks,
    ):
        with anyio.fail_after(4):
            await links.shared(address, "calls")
            async with anyio.create_task_group() as calls:
                for number in range(1, count + 1):
                    calls.start_soon(call, links, address, number)
        tasks.cancel_scope.cancel()
    return [outcomes[number] for number in range(1, count + 1)]


def answer_frame(number):
    """Returns the frame with the answer to a call."""
    answer = messages.AnswerOpen(call_id=f"c{number}", status=200, last=True)
    return frames.pack(number, answer)


async def test_only_calls_above_the_last_read_stream_have_not_run():
    """Guards against a wrong outcome of calls at a daemon that ends."""

    async def script(peer):
        for _ in range(4):
            await peer.receive(messages.CallOpen)
        end = frames.pack(0, messages.LinkEnd(last_stream=2))
        await peer.send_bytes(answer_frame(1) + end)

    assert await outcomes_of_calls(script, 4) == [
        200,
        messages.Outcome.UNKNOWN,
        messages.Outcome.NOT_RUN,
        messages.Outcome.NOT_RUN,
    ]


async def test_an_unknown_last_message_takes_no_answer_with_it():
    """Guards against answers that a daemon of an older version loses."""

    async def script(peer):
        for _ in range(2):
            await peer.receive(messages.CallOpen)
        head = frames.HEAD.pack(b"RG", 2, len(UNKNOWN_MESSAGE))
        await peer.send_bytes(answer_frame(1) + head + UNKNOWN_MESSAGE)

    outcomes = await outcomes_of_calls(script, 2)
    assert outcomes == [200, messages.Outcome.UNKNOWN]


async def test_a_connection_without_a_last_message_promises_nothing():
    """Guards against a call that is repeated after a cut and runs twice."""

    async def script(peer):
        await peer.receive(messages.CallOpen)
        await peer.close()

    assert await outcomes_of_calls(script, 2) == [messages.Outcome.UNKNOWN] * 2


async def test_calls_that_meet_the_end_are_answered_or_have_not_run():
    """Guards against calls that are lost while a daemon ends."""
    handled = set()
    outcomes = {}
    is_stopping = is_ended = False

    async def handle(stream, message):
        if is_stopping:
            await stream.send(
                messages.AnswerFailed(
                    message.call_id, outcome=messages.Outcome.NOT_RUN
                )
            )
            return
        handled.add(message.call_id)
        await anyio.sleep(0.005)
        await stream.send(messages.AnswerOpen(message.call_id, 200, last=True))

    async def call_repeatedly(links, address, name):
        for number in range(1_000_000):
            call_id = f"{name}-{number}"
            outcomes[call_id] = await outcome_of(links, address, call_id)
            if is_ended:
                return

    listener = util.listen("127.0.0.1")
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    server = meshserver.MeshServer(handle, 2.0)
    async with anyio.create_task_group() as tasks, peers.pool() as links:
        tasks.start_soon(server.serve, listener)
        async with anyio.create_task_group() as callers:
            for number in range(20):
                callers.start_soon(
                    call_repeatedly, links, address, f"c{number}"
                )
            await anyio.sleep(0.2)
            is_stopping = True
            # The calls that run have ended when a daemon ends its connections.
            await anyio.sleep(0.05)
            with anyio.fail_after(0.5):
                await server.end(time.monotonic() + 1.0)
            is_ended = True
        tasks.cancel_scope.cancel()
    assert len(outcomes) > 100
    assert set(outcomes.values()) == {200, messages.Outcome.NOT_RUN}
    answered = {c for c, outcome in outcomes.items() if outcome == 200}
    assert handled == answered


async def test_a_slow_daemon_gets_all_answers_of_one_that_ends():
    """Guards against answers that are lost with the end of a connection."""

    async def handle(stream, message):
        await stream.send(
            messages.AnswerOpen(
                message.call_id, 200, body=b"x" * ANSWER_BYTES, last=True
            )
        )

    listener = util.listen("127.0.0.1")
    port = listener.getsockname()[1]
    server = meshserver.MeshServer(handle, 2.0)
    received = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, listener)
        peer = peers.Peer(await anyio.connect_tcp("127.0.0.1", port))
        for number in range(1, ANSWERS + 1):
            await peer.send(number, peers.request(f"c{number}").open)
        await anyio.sleep(0.1)
        tasks.start_soon(server.end, time.monotonic() + 3.0)
        with anyio.fail_after(4):
            for number in range(ANSWERS + 1):
                # Bytes that cross the end must not reset the connection.
                await peer.send(0, messages.LinkPing(number))
                await anyio.sleep(0.02)
                received.append(
                    await peer.receive(messages.AnswerOpen, messages.LinkEnd)
                )
            ended_at = await peer.receive()
        tasks.cancel_scope.cancel()
    assert [number for number, _ in received[:-1]] == list(
        range(1, ANSWERS + 1)
    )
    assert received[-1] == (0, messages.LinkEnd(ANSWERS))
    assert ended_at == (None, None)


async def test_a_daemon_that_reads_nothing_delays_the_end_to_its_limit():
    """Guards against a stop that waits for another daemon without end."""

    async def handle(stream, message):
        await stream.send(
            messages.AnswerOpen(
                message.call_id, 200, body=b"x" * ANSWER_BYTES, last=True
            )
        )

    listener = util.listen("127.0.0.1")
    port = listener.getsockname()[1]
    server = meshserver.MeshServer(handle, 2.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, listener)
        peer = peers.Peer(await anyio.connect_tcp("127.0.0.1", port))
        for number in range(1, 4 * ANSWERS + 1):
            await peer.send(number, peers.request(f"c{number}").open)
        await anyio.sleep(0.1)
        began_at = time.monotonic()
        with anyio.fail_after(2):
            await server.end(time.monotonic() + 0.5)
        assert 0.4 < time.monotonic() - began_at < 1.0
        tasks.cancel_scope.cancel()


async def test_a_daemon_that_does_not_close_delays_the_end_by_little():
    """Guards against stops that wait long for daemons out of reach."""

    async def handle(_stream, _message):
        raise AssertionError("there is no call")

    listener = util.listen("127.0.0.1")
    port = listener.getsockname()[1]
    server = meshserver.MeshServer(handle, 2.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, listener)
        peer = peers.Peer(await anyio.connect_tcp("127.0.0.1", port))
        await anyio.sleep(0.1)
        began_at = time.monotonic()
        with anyio.fail_after(3):
            await server.end(began_at + 5.0)
        assert time.monotonic() - began_at < 1.5
        assert await peer.receive() == (0, messages.LinkEnd(0))
        tasks.cancel_scope.cancel()


async def test_connections_that_wait_in_the_kernel_are_ended_in_order():
    """Guards against calls that count as possibly run because of a reset."""

    async def handle(_stream, _message):
        raise AssertionError("there is no call")

    listener = util.listen("127.0.0.1")
    address = listener.getsockname()
    server = meshserver.MeshServer(handle, 2.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, listener)
        await anyio.sleep(0.1)
        waiting = [socket.create_connection(address) for _ in range(20)]
        tasks.start_soon(server.end, time.monotonic() + 1.0)
        await anyio.sleep(0.2)
        end = frames.pack(0, messages.LinkEnd(0))
        for connection in waiting:
            connection.settimeout(1.0)
            assert connection.recv(1000) == end
            assert not connection.recv(1000)
            connection.close()
        tasks.cancel_scope.cancel()


def hold_reading(instance):
    """Stops a daemon from reading what other daemons send."""
    monitor = instance.node._mesh_server._monitor
    for connection in monitor.connections:
        connection._pacer.hold(True)


@pytest.mark.parametrize(("names", "expected"), [("abc", 200), ("ab", 503)])
async def test_an_unread_unsafe_call_goes_elsewhere_or_is_refused(
    names, expected
):
    """Guards against 502 for a call that the stopped daemon never read."""
    paths = [
        meshes.path("/track/", "skladby"),
        meshes.path(
            "/order/", "objednavky", kind="unsafe", **{"timeout-s": 8.0}
        ),
    ]
    async with meshes.running() as mesh:
        mesh.publish(paths)
        for name in names:
            service = "skladby" if name == "a" else "objednavky"
            instance = await mesh.prepare(name, service)
            instance.settings = instance.settings._replace(
                mesh=generated.Mesh(
                    connect_timeout_s=0.2, silence_s=5.0, news_period_s=0.2
                ),
                shutdown=generated.Shutdown(limit_s=2.0),
            )
            mesh.start(name)
        await mesh.wait_ready()
        # Only b is known to serve when the call is sent.
        await mesh.instances["a"].send_heartbeat()
        await mesh.instances["b"].send_heartbeat()
        await anyio.sleep(0.3)
        assert (await mesh.call("a", "/order/1", "POST"))[0] == 200
        hold_reading(mesh.instances["b"])
        caller = await mesh.connect("a")
        await caller.send(
            "/order/1", "POST", b"x", request_id="q2", deadline_ms=8000
        )
        await anyio.sleep(0.1)
        if "c" in names:
            await mesh.instances["c"].send_heartbeat()
        mesh.instances["b"].node.stop()
        with anyio.fail_after(6):
            assert (await caller.receive())[0] == expected
        runs = [
            request
            for name in names
            for request in mesh.instances[name].upstream.arrived
            if request.header(b"request-id") == b"q2"
        ]
        assert len(runs) == (1 if expected == 200 else 0)
        assert len(mesh.instances["b"].upstream.arrived) == 1
