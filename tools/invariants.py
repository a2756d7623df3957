"""Checks of what a run of the mesh must never show: pure functions.

Each check takes what callers, upstreams, operators and the daemons' status
showed, and returns its violations.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from standins import caller


class SeenVersion(NamedTuple):
    """Edition that the status of a daemon showed; version 0 is none yet."""

    at_s: float
    instance: str
    version: int
    digest: str = ""


class SeenCall(NamedTuple):
    """What a caller saw of one call.

    Attributes:
        at_s: Time of the planned arrival, in seconds.
        token: Token of the call; repeats with the same key share it.
        idempotent: Whether the call may run more than once.
        outcome: An outcome of ``standins.caller``.
        detail: Status, code or fault.
    """

    at_s: float
    token: str
    idempotent: bool
    outcome: str
    detail: str = ""


class SeenPublish(NamedTuple):
    """A version that the store accepted from an operator."""

    at_s: float
    version: int
    digest: str


class History(NamedTuple):
    """Everything that one run showed.

    Attributes:
        versions: Versions in the order in which they were seen.
        calls: Calls of all callers.
        publishes: Accepted publishes.
        runs: Times that each token ran, over all upstreams.
        final: Version of each daemon after healing.
        head: Version of the store's head after healing.
        died: Daemons that ended without being killed.
        published: Digest of each version that was published whole.
        long_calls: Slow uploads and long answers beside planned stops.
        late: Calls that began at each upstream 5 s after it announced that it
            leaves, or later.
        failed_stops: Daemons whose planned stop failed, and their exit codes.
    """

    versions: tuple[SeenVersion, ...] = ()
    calls: tuple[SeenCall, ...] = ()
    publishes: tuple[SeenPublish, ...] = ()
    runs: Mapping[str, int] = {}
    final: Mapping[str, int] = {}
    head: int = 0
    died: tuple[str, ...] = ()
    published: Mapping[int, str] = {}
    long_calls: tuple[SeenCall, ...] = ()
    late: tuple[tuple[str, int], ...] = ()
    failed_stops: tuple[tuple[str, int], ...] = ()


class Violation(NamedTuple):
    """One breach of an invariant.

    Attributes:
        rule: Name of the check.
        at_s: When it was seen; infinite if only at the end.
        subject: Instance, token or version.
        text: What was seen.
    """

    rule: str
    at_s: float
    subject: str
    text: str


AT_END_S = float("inf")


def versions_back(seen: Iterable[SeenVersion]) -> list[Violation]:
    """Finds instances that went back to an older version (P1).

    A daemon that has just started shows version 0 and serves nothing, which is
    no step back; the version that it then takes must not be older.
    """
    highest: dict[str, int] = {}
    found = []
    for at_s, instance, version, _ in seen:
        before = highest.get(instance, 0)
        if 0 < version < before:
            text = f"version {version} after version {before}"
            found.append(Violation("versions_back", at_s, instance, text))
        highest[instance] = max(before, version)
    return found


def wrong_answers(calls: Iterable[SeenCall]) -> list[Violation]:
    """Finds answers that were not whole or belonged to another call."""
    return [
        Violation("wrong_answers", call.at_s, call.token, call.detail)
        for call in calls
        if call.outcome == caller.WRONG
    ]


def _by_token(calls: Iterable[SeenCall]) -> dict[str, list[SeenCall]]:
    grouped = collections.defaultdict(list)
    for call in calls:
        grouped[call.token].append(call)
    return grouped


def not_run_but_ran(
    calls: Iterable[SeenCall], runs: Mapping[str, int]
) -> list[Violation]:
    """Finds calls that ran although every attempt was refused as not run."""
    found = []
    for token, attempts in _by_token(calls).items():
        ran = runs.get(token, 0)
        if ran and all(a.outcome == caller.NOT_RUN for a in attempts):
            text = f"ran {ran} times: {attempts[0].detail}"
            at_s = attempts[0].at_s
            found.append(Violation("not_run_but_ran", at_s, token, text))
    return found


def ran_twice(
    calls: Iterable[SeenCall], runs: Mapping[str, int]
) -> list[Violation]:
    """Finds calls that ran more than once though they are not idempotent."""
    found = []
    for token, attempts in _by_token(calls).items():
        ran = runs.get(token, 0)
        if ran > 1 and not attempts[0].idempotent:
            at_s = attempts[0].at_s
            text = f"ran {ran} times"
            found.append(Violation("ran_twice", at_s, token, text))
    return found


def answered_but_not_run(
    calls: Iterable[SeenCall], runs: Mapping[str, int]
) -> list[Violation]:
    """Finds answers to calls that no upstream ran."""
    return [
        Violation("answered_but_not_run", call.at_s, call.token, "never ran")
        for call in calls
        if call.outcome == caller.ANSWERED and not runs.get(call.token, 0)
    ]


def forked_versions(publishes: Iterable[SeenPublish]) -> list[Violation]:
    """Finds versions that the store accepted with two contents."""
    digests: dict[int, str] = {}
    found = []
    for at_s, version, digest in publishes:
        if digests.setdefault(version, digest) != digest:
            text = f"digests {digests[version]} and {digest}"
            found.append(Violation("forked_versions", at_s, str(version), text))
    return found


def lost_publishes(history: History) -> list[Violation]:
    """Finds accepted editions that the store's log lacks in the end."""
    return [
        Violation(
            "lost_publishes",
            publish.at_s,
            str(publish.version),
            f"the log of the head {history.head} lacks {publish.digest[:12]}",
        )
        for publish in history.publishes
        if history.published.get(publish.version) != publish.digest
    ]


def unpublished_editions(history: History) -> list[Violation]:
    """Finds editions in force that were not published whole (P2, P3)."""
    return [
        Violation(
            "unpublished_editions",
            seen.at_s,
            seen.instance,
            f"version {seen.version} with digest {seen.digest[:12]}",
        )
        for seen in history.versions
        if seen.version and history.published.get(seen.version) != seen.digest
    ]


def interrupted_calls(calls: Iterable[SeenCall]) -> list[Violation]:
    """Finds long calls that a planned stop interrupted (P8).

    A call that had to wait may be refused as not run.
    """
    return [
        Violation("interrupted_calls", call.at_s, call.token, call.detail)
        for call in calls
        if call.outcome not in (caller.ANSWERED, caller.NOT_RUN)
    ]


def late_work(late: Iterable[tuple[str, int]]) -> list[Violation]:
    """Finds upstreams that got new work long after they announced (P7)."""
    return [
        Violation("late_work", AT_END_S, name, f"{count} calls began")
        for name, count in late
        if count
    ]


def failed_stops(stops: Iterable[tuple[str, int]]) -> list[Violation]:
    """Finds planned stops that did not end by themselves with 0 (P8)."""
    return [
        Violation("failed_stops", AT_END_S, name, f"exit code {code}")
        for name, code in stops
    ]


def not_converged(final: Mapping[str, int], head: int) -> list[Violation]:
    """Finds daemons that do not run the head's version after healing."""
    return [
        Violation(
            "not_converged",
            AT_END_S,
            instance,
            f"version {version} instead of {head}",
        )
        for instance, version in sorted(final.items())
        if version != head
    ]


def daemons_died(died: Iterable[str]) -> list[Violation]:
    """Finds daemons that ended though nobody killed them."""
    return [
        Violation("daemons_died", AT_END_S, name, "the process has ended")
        for name in died
    ]


def check(history: History) -> list[Violation]:
    """Returns all violations of a run, the earliest one first."""
    found = [
        *versions_back(history.versions),
        *wrong_answers(history.calls),
        *not_run_but_ran(history.calls, history.runs),
        *ran_twice(history.calls, history.runs),
        *answered_but_not_run(history.calls, history.runs),
        *forked_versions(history.publishes),
        *lost_publishes(history),
        *unpublished_editions(history),
        *interrupted_calls(history.long_calls),
        *late_work(history.late),
        *failed_stops(history.failed_stops),
        *daemons_died(history.died),
        *not_converged(history.final, history.head),
    ]
    return sorted(found, key=lambda violation: violation.at_s)
