"""Tests of keyed calls at the daemon that the idempotency key names."""

import anyio
import pytest

from rattangauge.calls import exchange
from rattangauge.calls import keys
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.net import idempotency
from tests import builders
from tests import peers

pytestmark = pytest.mark.anyio
OWN = builders.member("a", incarnation=5)


def request(key, **fields):
    return peers.request(key=keys.format_key(key), **fields)


def new_handler(run, tasks):
    table = members.MemberTable(OWN)
    parts = (peers.settings(), table, None, None, None, run, tasks)
    return idempotency.Keyed(*parts)


@pytest.mark.parametrize(
    "changed",
    [{"incarnation": 4}, {"incarnation": 6}, {"instance": "b"}],
)
async def test_key_of_another_daemon_does_not_run(changed):
    """Guards against a second run of a call that ran before a restart."""
    runs = []

    async def run(call, _respond):
        runs.append(call)

    key = keys.issue(OWN, "skladby", 1, "n")._replace(**changed)
    async with anyio.create_task_group() as tasks:
        with pytest.raises(exchange.CallFailed) as caught:
            call = request(key, claimed=True)
            await new_handler(run, tasks).run_here(call, None)
    assert caught.value.code == errorcodes.KEY_GONE
    assert caught.value.outcome == messages.Outcome.UNKNOWN
    assert runs == []


async def test_refused_call_may_be_repeated():
    """Guards against a key that can no longer be used after a refused call."""
    runs = []

    async def run(call, respond):
        runs.append(call)
        if len(runs) == 1:
            raise exchange.not_run(errorcodes.CALL_OVERLOADED, "full")
        head = messages.AnswerOpen(call.open.call_id, 200, last=True)
        await respond(exchange.Response(head, None))

    key = keys.issue(OWN, "skladby", 1, "n")
    answers = peers.Answers()
    async with anyio.create_task_group() as tasks:
        daemon = new_handler(run, tasks)
        with pytest.raises(exchange.CallFailed):
            await daemon.run_here(request(key), answers.respond("c1"))
        for call_id in ("c2", "c3"):
            call = request(key, call_id=call_id)
            await daemon.run_here(call, answers.respond(call_id))
    assert len(runs) == 2
    assert set(answers.whole) == {"c2", "c3"}


async def test_running_call_outlives_its_caller():
    """Guards against a repeat that gets no response to a call that ran.

    The caller of the first call disconnects before the response ends.
    """
    resume = anyio.Event()
    runs = []

    async def body():
        yield b"one"
        await resume.wait()
        yield b"two"

    async def run(call, respond):
        runs.append(call)
        head = messages.AnswerOpen(call.open.call_id, 200)
        await respond(exchange.Response(head, body()))

    key = keys.issue(OWN, "skladby", 1, "n")
    answers = peers.Answers()
    async with anyio.create_task_group() as tasks:
        daemon = new_handler(run, tasks)
        with anyio.move_on_after(0.05):
            await daemon.run_here(request(key), answers.respond("c1"))
        resume.set()
        call = request(key, call_id="c2")
        await daemon.run_here(call, answers.respond("c2"))
    assert answers.whole == {"c2": b"onetwo"}
    assert len(runs) == 1


@pytest.mark.parametrize("own_zone", ["zone-1", "zone-2"])
async def test_key_reaches_its_daemon_through_its_zone(own_zone):
    """Guards against a key that only daemons of its own zone can use."""
    claimed_flags = []

    async def script(peer):
        number, opened = await peer.receive(messages.CallOpen)
        claimed_flags.append(opened.claimed)
        answer = messages.AnswerOpen(opened.call_id, 200, last=True)
        await peer.send(number, answer)

    named = builders.member("y", zone="zone-2")
    key = keys.issue(named, "skladby", 1, "n")
    answers = peers.Answers()
    async with peers.scripted(script) as address, peers.pool() as links:
        table = members.MemberTable(OWN._replace(zone=own_zone))
        # A daemon of zone-1 knows only the gateways of zone-2. A daemon of
        # zone-2 knows all members of that zone.
        table.merge([named._replace(mesh=address)])
        summary = messages.ZoneSummary(
            "zone-2", sequence_ms=1, gateways=(address,)
        )
        table.summaries.merge([summary], 0.0)
        parts = (peers.settings(), table, links, None, None, None, None)
        daemon = idempotency.Keyed(*parts)
        opened = request(key).open._replace(service="skladby")
        call = exchange.Request(opened, None, anyio.current_time() + 10.0)
        respond = answers.respond("c1")
        if own_zone == "zone-2":
            await daemon.run_here(call, respond)
        else:
            await daemon.route(call, None, respond)
    assert claimed_flags == [own_zone == "zone-2"]
    assert "c1" in answers.whole
