"""Tests of large answers on a slow network link."""

import asyncio
import time

import pytest

from rattangauge import receivememory
from rattangauge.calls import transfer_schedule
from rattangauge.generated import messages
from rattangauge.net import forwardedcall
from rattangauge.sidecar import linkpacer
from standins import appworker
from tests import meshes

LINK_BYTES_PER_S = 687_500.0


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


def _pacer(link_mbps, memory_bytes=0):
    memory = receivememory.ReceiveMemory(memory_bytes)
    return linkpacer.LinkPacer(link_mbps, memory)


def _drain(schedule, left, now):
    """Sends all transfers; returns the time at which each has ended."""
    ended = {}
    for number, size in left.items():
        schedule.request(number, size, now)
    while left:
        now += schedule.delay_s(now)
        number, size = schedule.take(now)
        left[number] -= size
        if left[number]:
            schedule.request(number, left[number], 0.0)
        else:
            del left[number]
            ended[number] = now
    return ended


def test_small_transfers_do_not_wait_for_large_ones():
    """Guards against an answer of 20 kB behind two of 540 kB."""
    schedule = transfer_schedule.TransferSchedule(LINK_BYTES_PER_S)
    ended = _drain(schedule, {1: 540_000, 2: 540_000, 3: 20_000}, 0.0)
    assert ended[3] < 0.05
    assert max(ended.values()) < 1_100_000 / LINK_BYTES_PER_S / 0.9


def test_a_large_transfer_is_not_passed_over_without_end():
    """Guards against small transfers that take the whole link."""
    schedule = transfer_schedule.TransferSchedule(LINK_BYTES_PER_S)
    now, number, left, began = 0.0, 1, {1: 540_000}, {1: 0.0}
    schedule.request(1, left[1], 0.0)
    next_at = 0.0
    while 1 in left and now < 10.0:
        while now >= next_at:
            # Small ones alone fill the link.
            number, next_at = number + 1, next_at + 0.14
            left[number], began[number] = 90_000, next_at
            schedule.request(number, left[number], next_at)
        piece = schedule.take(now)
        if piece is None:
            now += max(0.001, schedule.delay_s(now))
            continue
        taken, size = piece
        left[taken] -= size
        if left[taken]:
            schedule.request(taken, left[taken], began[taken])
        else:
            del left[taken]
    assert now < 6.0


def test_short_messages_leave_a_part_of_the_link():
    """Guards against large answers that stop while others fill the link."""
    schedule = transfer_schedule.TransferSchedule(LINK_BYTES_PER_S)
    sent, left, now = 0, 300_000, 0.0
    schedule.request(1, left, 0.0)
    while now < 5.0:
        now += 0.01
        schedule.record_sent(int(LINK_BYTES_PER_S * 0.011), now)
        if (piece := schedule.take(now)) is not None:
            sent, left = sent + piece[1], left - piece[1]
            schedule.request(1, left, 0.0)
    assert sent >= 0.08 * 5.0 * LINK_BYTES_PER_S


def test_the_link_is_never_given_more_than_a_piece_ahead():
    """Guards against short messages that wait for a whole large answer."""
    schedule = transfer_schedule.TransferSchedule(LINK_BYTES_PER_S)
    given, now, left = 0, 0.0, 300_000
    while left:
        schedule.request(1, left, 0.0)
        now += schedule.delay_s(now)
        _number, size = schedule.take(now)
        given, left = given + size, left - size
        ahead_s = given / LINK_BYTES_PER_S - now
        assert ahead_s < 0.02


def test_the_backlog_counts_what_waits():
    """Guards against daemons that send more answers to a full link."""
    schedule = transfer_schedule.TransferSchedule(LINK_BYTES_PER_S)
    assert schedule.backlog_s(0.0) == 0.0
    schedule.request(1, 100_000, 0.0)
    assert schedule.backlog_s(0.0) == pytest.approx(0.16, abs=0.01)
    schedule.withdraw(1)
    assert schedule.backlog_s(0.0) == 0.0


async def test_pieces_are_the_body_and_take_the_time_of_the_link():
    """Guards against lost pieces and against a burst on the link."""
    pacer = _pacer(8.0)
    body = bytes(range(256)) * 400
    started_at = time.monotonic()
    received = b"".join([piece async for piece in pacer.pieces(body)])
    assert received == body
    assert time.monotonic() - started_at > 0.08


async def test_a_cancelled_transfer_frees_the_link():
    """Guards against a caller that left and still holds a share."""
    pacer = _pacer(1.0)

    async def send(body):
        async for _piece in pacer.pieces(body):
            pass

    first = asyncio.create_task(send(bytes(500_000)))
    await asyncio.sleep(0.01)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    assert pacer.backlog_s < 0.2


async def test_a_turn_takes_few_timers():
    """Guards against a loop of timers that are too short to wait."""
    pacer = _pacer(5.5)
    grants, grant = [], pacer._grant
    pacer._grant = lambda: (grants.append(1), grant())
    pieces = [piece async for piece in pacer.pieces(bytes(163_840))]
    assert len(pieces) == 20
    assert len(grants) < 4 * len(pieces)


async def test_an_unknown_link_leaves_answers_whole():
    """Guards against costs where no rate of a link is set."""
    answer = messages.AnswerOpen(body=bytes(200_000), last=True)
    assert _pacer(0.0).response(answer) == (answer, None)


async def test_answers_that_leave_have_a_bounded_memory():
    """Guards against upstreams that answer faster than the link carries."""
    pacer = _pacer(1.0, memory_bytes=1)
    with pacer.hold(messages.AnswerOpen(body=bytes(7_000_000))):
        await pacer.wait_for_room(time.monotonic() + 60.0)
        with pacer.hold(messages.AnswerOpen(body=bytes(2_000_000))):
            began_at = time.monotonic()
            await pacer.wait_for_room(began_at + 0.05)
            assert time.monotonic() - began_at > 0.04
            waits = asyncio.create_task(pacer.wait_for_room(began_at + 60.0))
            await asyncio.sleep(0)
            assert not waits.done()
        await asyncio.wait_for(waits, 1.0)
    assert pacer.held_bytes == 0


class UnreadStream:
    """Stream whose other end takes no body."""

    def on_interrupt(self, _callback):
        """Never calls the function."""

    async def send(self, _message):
        """Takes the head of an answer."""

    async def send_data(self, _type, _body, _last):
        """Waits for credit that never comes."""
        await asyncio.sleep(60.0)


async def test_an_answer_that_nobody_reads_ends_at_the_deadline():
    """Guards against bodies that a peer keeps in memory without end."""
    pacer = _pacer(5.5)

    async def run(_request, respond):
        answer = messages.AnswerOpen(body=bytes(100_000), last=True)
        with pacer.hold(answer):
            await respond(pacer.response(answer))

    opened = messages.CallOpen(call_id="c1", deadline_ms=50, last=True)
    serving = forwardedcall.serve(UnreadStream(), opened, run)
    await asyncio.wait_for(serving, 1.0)
    assert pacer.held_bytes == 0


async def test_short_answers_stay_one_message():
    """Guards against costs of short answers, and on unknown links."""
    pacer = _pacer(0.0)
    answer = messages.AnswerOpen(body=b"short", last=True)
    assert pacer.response(answer) == (answer, None)
    assert [p async for p in pacer.pieces(bytes(20_000))]


def test_short_messages_leave_less_for_large_answers():
    """Guards against a link that is given more than it carries."""
    schedule = transfer_schedule.TransferSchedule(LINK_BYTES_PER_S)
    now, given = 0.0, 0
    while now < 5.0:
        schedule.record_sent(3000, now)
        schedule.request(1, 500_000, 0.0)
        piece = schedule.take(now)
        given += 3000 + (piece[1] if piece else 0)
        now += 0.01
    assert given < 5.0 * LINK_BYTES_PER_S


async def test_a_call_whose_answer_the_link_cannot_send_in_time_is_refused():
    """Guards against upstreams that work on answers nobody gets in time."""
    path = meshes.path("/frame/", "skladby", **{"target-latency-s": 0.3})
    async with meshes.running() as mesh:
        await mesh.start_instances([path], "a", "b")

        async def answer(request):
            return appworker.sealed(request, bytes(100_000))

        for instance in mesh.instances.values():
            instance.upstream.behaviour = answer
        mesh.instances["a"].node._local_upstream._queue.close()
        assert (await mesh.call("a", "/frame/1"))[0] == 200
        pacer = mesh.instances["b"].node._link_pacer
        with pacer.expect(100_000_000):
            status, headers, _body = await mesh.call("a", "/frame/1")
        assert status == 503
        assert float(headers[b"retry-after"]) > 0
        assert len(mesh.instances["b"].upstream.arrived) == 1
