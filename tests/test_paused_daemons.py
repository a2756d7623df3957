"""Calls at a daemon that is silent for a while but alive."""

import anyio
import pytest

from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import forward
from rattangauge.net import forwardedcall
from tests import peers

pytestmark = pytest.mark.anyio

SILENCE_S = 0.4
# Longer than a silence that ends other calls.
PAUSE_S = 2.5 * SILENCE_S


def answer(opened):
    """Returns the complete answer to a call."""
    return messages.AnswerOpen(opened.call_id, 200, body=b"done", last=True)


async def pause_then_answer(peer):
    """Plays a daemon that is paused while it runs a call."""
    number, opened = await peer.receive(messages.CallOpen)
    await anyio.sleep(PAUSE_S)
    await peer.send(number, answer(opened))
    await peer.receive()


async def test_a_call_that_must_not_be_repeated_outlasts_a_pause():
    """Guards against work that is given up because a daemon was paused."""
    async with (
        peers.scripted(pause_then_answer) as address,
        peers.pool(silence_s=SILENCE_S) as links,
    ):
        with anyio.fail_after(10):
            received = await forward.forward_buffered(
                links, address, peers.request(), peers.MEMORY
            )
    assert received.body == b"done"


async def test_a_call_that_may_be_repeated_does_not_wait_for_it():
    """Guards against reads that wait while another upstream could serve."""
    began = anyio.current_time()
    async with (
        peers.scripted(pause_then_answer) as address,
        peers.pool(silence_s=SILENCE_S) as links,
    ):
        async with anyio.create_task_group() as tasks:
            # Another call keeps the connection open.
            tasks.start_soon(
                forward.forward_buffered,
                links,
                address,
                peers.request("c2"),
                peers.MEMORY,
            )
            await anyio.sleep(0.05)
            with pytest.raises(forward.ConnectionLost):
                await forward.forward_buffered(
                    links, address, peers.request(idempotent=True), peers.MEMORY
                )
            assert anyio.current_time() - began < PAUSE_S
            assert links.is_suspect(address)


async def test_a_connection_with_a_paused_call_takes_no_new_one():
    """Guards against new calls on a connection that may be lost for good."""
    async with (
        peers.scripted(pause_then_answer) as address,
        peers.pool(silence_s=SILENCE_S) as links,
    ):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                forward.forward_buffered,
                links,
                address,
                peers.request(),
                peers.MEMORY,
            )
            await anyio.sleep(0.05)
            (connection,) = links._connections.values()
            with anyio.fail_after(5):
                while connection.is_usable:
                    await anyio.sleep(0.02)
            assert connection.is_open
            new = await links.shared(address, "calls")
            assert new is not connection
        # The old connection ends with its last call.
        assert not connection.is_open


async def test_a_daemon_that_stays_silent_is_given_up():
    """Guards against a call that waits for its deadline of many minutes."""

    async def be_silent(peer):
        await peer.receive(messages.CallOpen)

    began = anyio.current_time()
    async with (
        peers.scripted(be_silent) as address,
        peers.pool(silence_s=SILENCE_S) as links,
    ):
        with pytest.raises(forward.ConnectionLost) as caught:
            with anyio.fail_after(20):
                await forward.forward_buffered(
                    links,
                    address,
                    peers.request(timeout_s=1000.0),
                    peers.MEMORY,
                )
    assert caught.value.outcome == messages.Outcome.UNKNOWN
    assert caught.value.code == errorcodes.CALL_OUTCOME_UNKNOWN
    assert anyio.current_time() - began < 6 * SILENCE_S


@pytest.mark.parametrize("idempotent", [False, True])
async def test_a_paused_caller_gets_the_answer_to_what_it_must_not_repeat(
    idempotent,
):
    """Guards against running work that is cancelled as its caller pauses."""
    ended = []

    async def handle(stream, message):
        await forwardedcall.serve(stream, message, run)

    async def run(request, respond):
        try:
            await anyio.sleep(PAUSE_S)
            opened = answer(request.open)
            await respond(exchange.Response(opened, None))
            ended.append("answered")
        finally:
            ended.append("over")

    async with peers.serving(handle, SILENCE_S) as port:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            peer = peers.Peer(stream)
            opened = peers.request(idempotent=idempotent).open
            await peer.send(1, opened)
            await anyio.sleep(PAUSE_S + SILENCE_S)
            if idempotent:
                assert ended == ["over"]
                return
            with anyio.fail_after(5):
                _number, received = await peer.receive(messages.AnswerOpen)
            assert received.body == b"done"
