"""The soak: its checks against bad histories, and a short run."""

import contextlib
import itertools

import anyio
import h11
import pytest

from rattangauge.http import messages
from standins import appworker
from standins import caller
from standins import connection as connection_module
from tools import chaos
from tools import invariants
from tools import platformfleet
from tools import schedule
from tools import soak
from tools import soakcallers
from tools import soakchecks
from tools import soakconfig
from tools import soakfaults

pytestmark = pytest.mark.anyio

Process = soakchecks.SeenProcess
# Seed and length of the run in CI; see KNOWN-RED.txt for what it finds.
CI_SEED, CI_SLOTS = 5, 15


def kept(outcome, token="t1", safe=False, ended_s=2.0, is_behind=False):
    call = invariants.SeenCall(1.0, token, safe, outcome)
    return soakchecks.KeptCall(call, "m1", ended_s, is_behind)


def window(begin_s, end_s, instance="m1"):
    return soakchecks.Window(instance, begin_s, end_s)


SOUND = soakchecks.Observed(
    calls=(
        kept(caller.ANSWERED),
        kept(caller.NOT_RUN, "t2"),
        kept(caller.UNKNOWN, "t3"),
        kept(caller.ANSWERED, "t4", safe=True),
        kept(caller.NOT_RUN, "t5", safe=True),
        kept(caller.BROKEN, "t6", is_behind=True),
        kept(caller.BROKEN, "t7", ended_s=9.0),
    ),
    runs={"t1": 1, "t3": 1, "t4": 2, "t5": 1, "t7": 1},
    windows=(window(8.5, 9.5),),
    processes=(
        Process("m1", 9.0, -9, was_killed=True),
        Process("m1", 9.0, 0, stop_s=5.9),
        Process("m2", 9.0, 0, stop_s=0.1, unready_s=9.9),
    ),
)


def test_a_sound_history_has_no_violation():
    """Guards against a check that finds what no rule forbids."""
    assert not soakchecks.check(SOUND)


@pytest.mark.parametrize(
    ("rule", "changes"),
    [
        ("FAULT", {"processes": (Process("m1", 9.0, 1),)}),
        ("FAULT", {"processes": (Process("m1", 9.0, 0),)}),
        ("FAULT", {"processes": (Process("m1", 9.0, -15, stop_s=0.0),)}),
        ("FAULT", {"processes": (Process("m1", 9.0, 1, stop_s=1.0),)}),
        ("FAULT", {"processes": (Process("m1", 9.0, 0, stop_s=6.1),)}),
        (
            "FAULT",
            {"processes": (Process("m1", 9.0, -9, True, unready_s=11.0),)},
        ),
        ("FAULT", {"unserved": (("m1", "/track/"),)}),
        ("LOST", {"calls": (kept(caller.BROKEN),), "windows": ()}),
        ("LOST", {"calls": (kept(caller.BROKEN),)}),
        (
            "LOST",
            {
                "calls": (kept(caller.BROKEN),),
                "windows": (window(0.0, 9.0, "m2"), window(0.0, 0.9)),
            },
        ),
        ("LOST", {"calls": (kept(caller.BROKEN, is_behind=True),)}),
        ("TWICE", {"runs": {**SOUND.runs, "t3": 2}}),
        ("TWICE", {"runs": {**SOUND.runs, "t7": 2}}),
        ("REFUSED", {"runs": {**SOUND.runs, "t2": 1}}),
        ("MIXED", {"calls": (kept(caller.WRONG),)}),
        ("KEY", {"foreign": (invariants.Violation("KEY", 1.0, "t1", ""),)}),
        ("QUOTA", {"quota_runs": tuple(n / 20.0 for n in range(100))}),
        ("MIXED", {"runs": {**SOUND.runs, "t1": 0}}),
    ],
)
def test_a_bad_history_is_caught(rule, changes):
    """Guards against a soak that passes whatever happens."""
    found = soakchecks.check(SOUND._replace(**changes))
    assert {violation.rule for violation in found} == {rule}


REQUEST = soakcallers.Request("a-1", "GET", "/track/a-1")
BODY = soakcallers.expected_body(*REQUEST)
HEADERS = {b"request-id": b"a-1", b"server-seal": b"x"}


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (caller.Answer(200, HEADERS, BODY), caller.ANSWERED),
        (caller.Answer(200, HEADERS, BODY[:-1]), caller.WRONG),
        (caller.Answer(200, {b"request-id": b"a-1"}, BODY), caller.WRONG),
        (
            caller.Answer(200, {**HEADERS, b"request-id": b"a-2"}, BODY),
            caller.WRONG,
        ),
        (caller.Answer(502, HEADERS, b""), caller.WRONG),
        (caller.Answer(502, {}, b""), caller.UNKNOWN),
        *[
            (caller.Answer(status, {}, b""), caller.NOT_RUN)
            for status in (408, 421, 429, 503)
        ],
    ],
)
def test_answers_are_judged_by_their_request(answer, outcome):
    """Guards against an answer to another request that counts as answered."""
    assert soakcallers.outcome_of(REQUEST, answer)[0] == outcome


def test_a_rejected_key_is_no_fault_only_if_it_is_unknown():
    """Guards against a soak that takes 401 for any request."""
    outcomes = {
        soakconfig.of(identity): soakcallers.outcome_of(
            soakcallers.Request(identity, "GET", "/track/1"),
            caller.Answer(401, {b"request-id": identity.encode()}, b""),
        )[0]
        for identity in map(str, range(100))
    }
    assert outcomes.pop(soakconfig.STRANGER) == caller.NOT_RUN
    assert set(outcomes.values()) == {caller.WRONG}


async def test_a_run_as_another_tenant_is_recorded(tmp_path):
    """Guards against runs with a forged tenant, or with the key itself."""
    machine = platformfleet.Machine("m1", "skladby", "127.0.0.1", tmp_path)
    record = soakcallers.Record(1)
    run = record.behaviour(machine)
    own = soakconfig.of("a-1").encode()
    for name, key in ((own, b""), (b"other", b""), (own, b"Bearer x")):
        fields = [(b"request-id", b"a-1"), (b"tenant-id", name)]
        fields += [(b"authorization", key)] if key else []
        await run(messages.Request("GET", "/track/a-1", tuple(fields), b""))
    assert len(record.foreign) == 2


async def test_an_upstream_counts_what_it_runs_and_refuses_others(tmp_path):
    """Guards against runs that nobody counts, or runs for another upstream."""
    machine = platformfleet.Machine("m1", "skladby", "127.0.0.1", tmp_path)
    record = soakcallers.Record(1)
    run = record.behaviour(machine)
    fields = ((b"request-id", b"a-1"), (b"target-instance", b"i-m1"))
    machine.boot = 1
    assert (await run(messages.Request("GET", "/", fields, b""))).status == 421
    assert not record.runs
    machine.boot = 0
    for _ in range(2):
        assert (
            await run(messages.Request("GET", "/", fields, b""))
        ).status == 200
    assert record.runs == {"a-1": 2}


@contextlib.asynccontextmanager
async def connected(*pieces):
    """Yields a connection whose other side sends pieces and closes it."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def answer(stream):
        async with stream:
            await stream.receive()
            for piece in pieces:
                await stream.send(piece)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, answer)
        connection = await connection_module.connect("127.0.0.1", port)
        for number in range(2):
            await connection.send("GET", f"/{number}", [("host", "a")])
        yield connection
        await connection.close()
        tasks.cancel_scope.cancel()


HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"


async def test_answers_to_requests_sent_ahead_come_one_by_one():
    """Guards against a caller that mixes up answers by itself."""
    async with connected(HEAD + b"abHTTP/1.1 ", HEAD[9:] + b"cd") as connection:
        assert (await connection.receive()).body == b"ab"
        assert (await connection.receive()).body == b"cd"
        assert await connection.idle(1.0) is None


async def test_bytes_without_a_request_are_seen():
    """Guards against a success on a connection with no request waiting."""
    async with connected(HEAD + b"ab" + HEAD + b"cd" + HEAD) as connection:
        for _ in range(2):
            await connection.receive()
        assert await connection.idle(1.0) == HEAD


@pytest.mark.parametrize(
    ("piece", "error"),
    [
        (HEAD + b"a", anyio.EndOfStream),
        (HEAD[:-3], anyio.EndOfStream),
        (b"", anyio.EndOfStream),
        (b"nothing\r\n\r\n", h11.RemoteProtocolError),
    ],
)
async def test_answers_that_are_not_whole_are_errors(piece, error):
    """Guards against half an answer that looks complete."""
    async with connected(piece) as connection:
        with pytest.raises(error):
            await connection.receive()


def test_series_overlap_and_keep_to_their_targets():
    """Guards against faults one at a time, or at targets that do not exist."""
    for seed in range(100):
        faults = schedule.generate_series(seed, 40, 4, soakfaults.KINDS)
        assert faults == schedule.generate_series(seed, 40, 4, soakfaults.KINDS)
        assert all(0 <= fault.slot < 40 for fault in faults)
        assert all(0 <= fault.target < 4 for fault in faults)
        assert all(fault.other in range(5) for fault in faults)
        assert all(fault.other != fault.target + 1 for fault in faults)
        slots = [fault.slot for fault in faults]
        assert len(set(slots)) < len(slots)
    kinds = {
        fault.kind
        for seed in range(50)
        for fault in schedule.generate_series(seed, 40, 4, soakfaults.KINDS)
    }
    assert kinds == set(soakfaults.KINDS)


async def _late():
    with anyio.fail_after(0):
        await anyio.sleep_forever()


async def _sound():
    return SOUND


async def _violated():
    return SOUND._replace(unserved=(("m1", "/track/"),))


@pytest.mark.parametrize(
    ("outcome", "code"), [(_sound, 0), (_violated, 1), (_late, 2)]
)
async def test_exit_code(monkeypatch, outcome, code):
    """Guards against a run that hangs or fails and looks like a pass."""
    monkeypatch.setattr(soak, "run_schedule", lambda *_: outcome())
    options = soak.parse_arguments(["--shorten-s", "0"])
    assert await soak.run(options) == code


async def test_a_run_catches_upstreams_that_break_the_promises(monkeypatch):
    """Guards against checks that real processes never reach."""
    honest = soakcallers.Record.behaviour
    numbers = itertools.count()

    def dishonest(record, machine):
        run = honest(record, machine)

        async def behave(request):
            response = await run(request)
            way = next(numbers) % 4
            if way == 0:
                record.runs[request.header(b"request-id").decode()] += 1
            elif way == 1:
                return appworker.not_run(request)
            elif way == 2:
                return response._replace(body=b"the body of another")
            return response

        return behave

    monkeypatch.setattr(soakcallers.Record, "behaviour", dishonest)
    options = soak.parse_arguments(["--machines", "2"])
    faults = (schedule.Fault(3, "publish", 0, 0, 0.5),)
    violations = (await soak.judge(options, faults)).violations
    rules = {violation.rule for violation in violations}
    assert rules >= {"TWICE", "REFUSED", "MIXED"}


async def test_a_short_run_has_no_violation():
    """Guards against faults of real processes that overlapping faults show."""
    options = soak.parse_arguments(
        ["--seed", str(CI_SEED), "--slots", str(CI_SLOTS), "--shorten-s", "0"]
    )
    assert await soak.run(options) == chaos.EXIT_OK
