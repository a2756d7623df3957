"""Judges what callers, upstreams and processes showed in a soak."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from standins import caller
from tools import invariants
from tools import soakconfig

# Time from SIGTERM after which the platform kills a daemon.
GRACE_S = 6.0
# A daemon that nothing disturbs is ready after this time.
READY_LIMIT_S = 10.0


class Window(NamedTuple):
    """Time in which a fault acts that excuses requests at an instance."""

    instance: str
    begin_s: float
    end_s: float


class KeptCall(NamedTuple):
    """A request on a connection of a caller.

    Attributes:
        call: What the caller saw; its time is that of the sending.
        instance: Instance whose daemon took the request.
        ended_s: Time of the answer, or of the end of the connection.
        is_behind: Whether it was sent behind a request that had no answer
            yet; if the connection ends, it counts as not read.
    """

    call: invariants.SeenCall
    instance: str
    ended_s: float
    is_behind: bool = False


class SeenProcess(NamedTuple):
    """A daemon process.

    Attributes:
        instance: Name of the instance.
        ended_s: Time of the end.
        code: Exit code, negative for a signal; None if it never ended.
        was_killed: Whether a fault killed it.
        stop_s: Time from SIGTERM to the end without pauses; None if it was
            not stopped.
        unready_s: Time without a disturbance in which it was not ready yet.
    """

    instance: str
    ended_s: float
    code: int | None
    was_killed: bool = False
    stop_s: float | None = None
    unready_s: float = 0.0


class Observed(NamedTuple):
    """Everything that one run showed.

    Attributes:
        calls: Requests of all callers.
        runs: Times that each request ran, over all upstreams.
        windows: Times in which faults excuse requests.
        processes: All daemon processes.
        unserved: Instances and targets that were not served after healing.
        started_s: Time from which violations count.
        quota_runs: Times at which requests of the tenant with a quota ran.
        foreign: Requests that ran as another tenant, or came with a key.
    """

    calls: tuple[KeptCall, ...] = ()
    runs: Mapping[str, int] = {}
    windows: tuple[Window, ...] = ()
    processes: tuple[SeenProcess, ...] = ()
    unserved: tuple[tuple[str, str], ...] = ()
    started_s: float = 0.0
    quota_runs: tuple[float, ...] = ()
    foreign: tuple[invariants.Violation, ...] = ()


def _as_rule(
    rule: str, found: Iterable[invariants.Violation]
) -> list[invariants.Violation]:
    return [violation._replace(rule=rule) for violation in found]


def _fault(process: SeenProcess) -> str:
    """Returns what is wrong with a process; empty if nothing."""
    if process.unready_s > READY_LIMIT_S:
        return f"not ready in {process.unready_s:.1f} s"
    if process.was_killed:
        return ""
    if process.stop_s is None:
        return f"ended by itself with {process.code}"
    if process.code != 0 or process.stop_s > GRACE_S:
        return f"stop: exit code {process.code} after {process.stop_s:.2f} s"
    return ""


def faults(observed: Observed) -> list[invariants.Violation]:
    """Finds daemons that end by themselves, stop badly or do not serve."""
    found = [
        invariants.Violation("FAULT", process.ended_s, process.instance, text)
        for process in observed.processes
        if (text := _fault(process))
    ]
    return found + [
        invariants.Violation(
            "FAULT", invariants.AT_END_S, instance, f"does not serve {target}"
        )
        for instance, target in observed.unserved
    ]


def _is_excused(kept: KeptCall, windows: Iterable[Window]) -> bool:
    return any(
        window.instance == kept.instance
        and window.begin_s <= kept.ended_s
        and kept.call.at_s <= window.end_s
        for window in windows
    )


def lost(observed: Observed) -> list[invariants.Violation]:
    """Finds requests that ended without an answer and without an excuse."""
    found = []
    for kept in observed.calls:
        ran = observed.runs.get(kept.call.token, 0)
        if (
            kept.call.outcome != caller.BROKEN
            or (kept.is_behind and not ran)
            or _is_excused(kept, observed.windows)
        ):
            continue
        text = (
            f"{kept.call.detail} at {kept.instance}, "
            f"{kept.ended_s - kept.call.at_s:.3f} s after it was sent, "
            f"ran {ran} times"
        )
        found.append(
            invariants.Violation("LOST", kept.call.at_s, kept.call.token, text)
        )
    return found


def beyond_quota(observed: Observed) -> list[invariants.Violation]:
    """Finds a window in which too many requests of a tenant ran."""
    found = soakconfig.excess(observed.quota_runs)
    if found is None:
        return []
    at_s, count = found
    text = f"{count} requests ran in {soakconfig.WINDOW_S} s"
    return [invariants.Violation("QUOTA", at_s, soakconfig.SCHOOL, text)]


def check(observed: Observed) -> list[invariants.Violation]:
    """Returns all violations of a run, by rule and time."""
    calls = [kept.call for kept in observed.calls]
    # An idempotent request may have run in an earlier attempt.
    unsafe = [call for call in calls if not call.idempotent]
    runs = observed.runs
    found = [
        *faults(observed),
        *lost(observed),
        *observed.foreign,
        *beyond_quota(observed),
        *_as_rule("TWICE", invariants.ran_twice(unsafe, runs)),
        *_as_rule("REFUSED", invariants.not_run_but_ran(unsafe, runs)),
        *_as_rule("MIXED", invariants.wrong_answers(calls)),
        *_as_rule("MIXED", invariants.answered_but_not_run(calls, runs)),
    ]
    return sorted(
        violation._replace(at_s=violation.at_s - observed.started_s)
        for violation in found
    )
