"""Tests of calls between daemons over faulty connections."""

import contextlib
import random

import anyio
import pytest

from rattangauge import errors
from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import connection_pool
from rattangauge.net import forward
from rattangauge.net import forwardedcall
from rattangauge.net import streams
from tests import peers

pytestmark = pytest.mark.anyio
NOT_RUN = messages.Outcome.NOT_RUN
UNKNOWN = messages.Outcome.UNKNOWN


async def expect_failure(links, address, request, respond=None):
    respond = respond or peers.Answers().respond(request.open.call_id)
    with pytest.raises(exchange.CallFailed) as caught, anyio.fail_after(30):
        await forward.forward(links, address, request, respond)
    return caught.value


@pytest.mark.parametrize("seed", range(8))
async def test_crossed_late_and_repeated_answers(seed):
    """Guards against a caller that gets the response to another call.

    The other daemon responds in a random order, repeats responses, and sends
    some of them on the stream of another call.
    """
    rng = random.Random(seed)
    count = 12

    async def script(peer):
        calls = [await peer.receive(messages.CallOpen) for _ in range(count)]
        rng.shuffle(calls)
        sent = []
        for index, (number, opened) in enumerate(calls):
            body = opened.call_id.encode()
            answer = messages.AnswerOpen(opened.call_id, 200, body=body)
            answer = answer._replace(last=True)
            if index % 4 == 3:
                # The answer names another call than its stream.
                other = calls[(index + 1) % count][1].call_id
                answer = answer._replace(call_id=other, body=other.encode())
            sent.append((number, answer))
            await peer.send(number, answer)
            await peer.send(*rng.choice(sent))

    answers = peers.Answers()
    failures = {}

    async def call(links, address, call_id):
        request = peers.request(call_id)
        try:
            respond = answers.respond(call_id)
            await forward.forward(links, address, request, respond)
        except exchange.CallFailed as error:
            failures[call_id] = error

    async with peers.scripted(script) as address, peers.pool() as links:
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                for n in range(count):
                    tasks.start_soon(call, links, address, f"c{n}")
    assert answers.whole == {name: name.encode() for name in answers.whole}
    assert len(failures) == 3
    assert {f.code for f in failures.values()} == {errorcodes.CALL_CROSSED}
    assert {f.outcome for f in failures.values()} == {UNKNOWN}


async def test_second_head_of_an_answer():
    """Guards against two responses that are joined into one."""

    async def script(peer):
        number, opened = await peer.receive(messages.CallOpen)
        await peer.send(number, messages.AnswerOpen(opened.call_id, 200))
        await peer.send(number, messages.AnswerData(b"one", False))
        await peer.send(number, messages.AnswerOpen(opened.call_id, 200))
        await peer.send(number, messages.AnswerData(b"two", True))

    answers = peers.Answers()
    async with peers.scripted(script) as address, peers.pool() as links:
        respond = answers.respond("c1")
        failure = await expect_failure(links, address, peers.request(), respond)
    assert failure.code == errorcodes.FRAME_UNEXPECTED
    assert answers.whole == {}


async def test_failure_of_another_call():
    """Guards against the outcome "not run" for a call that may have run.

    The failure message belongs to another call, so it says nothing about the
    outcome of this one.
    """

    async def script(peer):
        number, _ = await peer.receive(messages.CallOpen)
        refusal = messages.AnswerFailed("c2", "call.overloaded", "", NOT_RUN)
        await peer.send(number, refusal)

    async with peers.scripted(script) as address, peers.pool() as links:
        failure = await expect_failure(links, address, peers.request())
    assert failure.outcome == UNKNOWN


@pytest.mark.parametrize("begun", [False, True])
async def test_silence_ends_a_call(begun):
    """Guards against a call that hangs when its peer becomes unreachable."""

    async def script(peer):
        number, opened = await peer.receive(messages.CallOpen)
        if begun:
            await peer.send(number, messages.AnswerOpen(opened.call_id, 200))
            await peer.send(number, messages.AnswerData(b"half", False))

    answers = peers.Answers()
    async with peers.scripted(script) as address, peers.pool() as links:
        request = peers.request(timeout_s=1000.0)
        respond = answers.respond("c1")
        failure = await expect_failure(links, address, request, respond)
    assert isinstance(failure, forward.ConnectionLost)
    assert failure.sent and failure.outcome == UNKNOWN
    assert answers.whole == {}


async def test_silence_in_one_direction():
    """Guards against a call that hangs on a peer that sends but never reads."""

    async def script(peer):
        number, opened = await peer.receive(messages.CallOpen)
        await peer.send(number, messages.AnswerOpen(opened.call_id, 200))
        # The peer reads nothing, so it answers no ping. Its own pings arrive.
        for sequence in range(1000):
            await anyio.sleep(0.1)
            await peer.send(0, messages.LinkPing(sequence))

    async with peers.scripted(script) as address, peers.pool() as links:
        # The daemon sends a ping only while the peer sends no data.
        request = peers.request(timeout_s=1000.0)
        failure = await expect_failure(links, address, request)
    assert isinstance(failure, forward.ConnectionLost)


async def test_a_silent_peer_is_suspect_before_it_is_given_up():
    """Guards against new calls to a daemon that has just become unreachable."""

    async def script(peer):
        await peer.receive(messages.CallOpen)
        await anyio.sleep_forever()

    async with peers.scripted(script) as address:
        async with peers.pool(silence_s=2.0) as links:
            assert not links.is_suspect(address)
            async with links.stream(
                address, connection_pool.SMALL_BODIES
            ) as stream:
                await stream.send(peers.request().open)
                with anyio.fail_after(1.5):
                    while not links.is_suspect(address):
                        await anyio.sleep(0.01)


async def test_idle_silent_connection_is_closed():
    """Guards against reuse of an idle connection whose peer is unreachable."""

    async def script(peer):
        await peer.receive(messages.Probe)
        await peer.send(1, messages.ProbeAck())

    async with peers.scripted(script) as address, peers.pool() as links:
        async with links.stream(address) as stream:
            await stream.send(messages.Probe())
            await stream.receive()
        (connection,) = links._connections.values()
        with anyio.fail_after(30):
            while connection.is_open:
                await anyio.sleep(0.05)
        assert connection.closed_error().code == errorcodes.LINK_SILENT


async def test_answering_connection_stays_open():
    """Guards against closing a connection on which a call takes long."""

    async def script(peer):
        number, opened = await peer.receive(messages.CallOpen)
        with anyio.move_on_after(2.0):
            await peer.receive(messages.CallCancel)
        answer = messages.AnswerOpen(opened.call_id, 200, last=True)
        await peer.send(number, answer)

    answers = peers.Answers()
    async with peers.scripted(script) as address, peers.pool() as links:
        request, respond = peers.request(), answers.respond("c1")
        await forward.forward(links, address, request, respond)
    assert "c1" in answers.whole


async def test_unread_answer_holds_back_no_other_call():
    """Guards against head-of-line blocking and unbounded buffers.

    One response is not read by its caller, and its sender ignores the flow
    control window. Another call on the connection must still be answered.
    """
    sent = 0

    async def script(peer):
        nonlocal sent
        number, opened = await peer.receive(messages.CallOpen)
        await peer.send(number, messages.AnswerOpen(opened.call_id, 200))
        piece = b"x" * streams.BODY_CHUNK_BYTES
        while sent + len(piece) <= streams.WINDOW_BYTES:
            await peer.send(number, messages.AnswerData(piece, False))
            sent += len(piece)
        number, opened = await peer.receive(messages.CallOpen)
        answer = messages.AnswerOpen(opened.call_id, 200, last=True)
        await peer.send(number, answer)
        # One piece beyond the window, for which there is no credit.
        await peer.send(1, messages.AnswerData(piece, False))

    async def leave_unread(_response):
        await anyio.sleep_forever()

    answers = peers.Answers()
    async with peers.scripted(script) as address, peers.pool() as links:
        async with anyio.create_task_group() as tasks:
            slow = peers.request("slow")
            tasks.start_soon(
                forward.forward, links, address, slow, leave_unread
            )
            await anyio.sleep(0.05)
            request, respond = peers.request("fast"), answers.respond("fast")
            await forward.forward(links, address, request, respond)
            (connection,) = links._connections.values()
            with anyio.fail_after(30):
                while connection.is_open:
                    await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
    assert answers.whole == {"fast": b""}
    assert connection.closed_error().code == errorcodes.FRAME_UNEXPECTED


async def test_cut_request_is_not_whole():
    """Guards against a partial body that is delivered as complete."""
    received = []

    async def handler(request, _respond):
        # Like a call with an idempotency key, the handler runs on after the
        # connection has ended.
        with (
            anyio.CancelScope(shield=True),
            contextlib.suppress(exchange.CallFailed),
        ):
            async for piece in request.body:
                received.append(piece)
            received.append("whole")

    async def serve_call(call_stream, message):
        await forwardedcall.serve(call_stream, message, handler)

    async with peers.serving(serve_call) as port:
        async with await anyio.connect_tcp("127.0.0.1", port) as client:
            peer = peers.Peer(client)
            await peer.send(1, peers.request().open._replace(last=False))
            await peer.send(1, messages.CallData(b"half", False))
            with anyio.fail_after(30):
                while not received:
                    await anyio.sleep(0.01)
        await anyio.sleep(0.1)
    assert received == [b"half"]


async def test_repeated_call_on_an_ended_stream():
    """Guards against a second run of a call whose message arrives twice."""
    runs = []

    async def handle(stream, message):
        runs.append(message.call_id)
        await stream.send(messages.AnswerOpen(message.call_id, 200, last=True))

    async with peers.serving(handle) as port:
        async with await anyio.connect_tcp("127.0.0.1", port) as client:
            peer = peers.Peer(client)
            for number, call_id in [(1, "c1"), (1, "c1"), (2, "c2")]:
                await peer.send(number, peers.request(call_id).open)
                if call_id != "c1" or len(runs) == 0:
                    await peer.receive(messages.AnswerOpen)
    assert runs == ["c1", "c2"]


async def test_refused_connection_is_not_run_and_backs_off():
    """Guards against rapid connection attempts to a daemon that has ended."""
    async with peers.pool() as links:
        address = "127.0.0.1:1"
        failure = await expect_failure(links, address, peers.request())
        assert failure.outcome == NOT_RUN and not failure.sent
        with pytest.raises(errors.CodedError, match="delayed"):
            await links._connect(address)
        assert connection_pool.backoff_s(3, 0.0) < connection_pool.backoff_s(
            3, 1.0
        )


class LostStream:
    """A stream whose connection ends before the answer is sent."""

    async def send(self, _message):
        """Fails as the connection has ended."""
        raise errors.CodedError(errorcodes.LINK_CLOSED, "the connection ended")

    async def receive(self):
        """Receives nothing."""
        await anyio.sleep_forever()


async def test_a_connection_that_ends_under_an_upload_is_no_unexpected_error():
    """Guards against a log line about a fault of this daemon."""

    async def handler(_request, _respond):
        raise exchange.not_run(errorcodes.CALL_OVERLOADED, "no room")

    opened = peers.request().open._replace(last=False)
    with pytest.raises(errors.CodedError) as caught, anyio.fail_after(1):
        await forwardedcall.serve(LostStream(), opened, handler)
    assert caught.value.code == errorcodes.LINK_CLOSED
