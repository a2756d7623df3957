"""The invariant checks, against histories that violate each of them."""

import pytest

from standins import caller
from tools import invariants

VERSION = invariants.SeenVersion
PUBLISH = invariants.SeenPublish


def seen(outcome, idempotent=False, token="t1"):
    return invariants.SeenCall(1.0, token, idempotent, outcome)


SOUND = invariants.History(
    versions=(
        VERSION(1.0, "a", 1, "d1"),
        VERSION(2.0, "a", 2, "d2"),
        VERSION(3.0, "a", 0),
        VERSION(4.0, "a", 2, "d2"),
        VERSION(4.0, "b", 1, "d1"),
    ),
    calls=(
        seen(caller.ANSWERED),
        seen(caller.NOT_RUN, token="t2"),
        seen(caller.UNKNOWN, token="t3"),
        seen(caller.ANSWERED, idempotent=True, token="t4"),
        seen(caller.BROKEN, token="t5"),
        seen(caller.NOT_RUN, token="t5"),
    ),
    publishes=(PUBLISH(0.0, 1, "d1"), PUBLISH(1.0, 2, "d2")),
    runs={"t1": 1, "t3": 1, "t4": 2, "t5": 1},
    final={"a": 2, "b": 2},
    head=2,
    published={1: "d1", 2: "d2"},
    long_calls=(seen(caller.ANSWERED), seen(caller.NOT_RUN, token="t2")),
    late=(("a", 0),),
)


def test_sound_history_passes():
    """Guards against checks that report what is permitted."""
    assert invariants.check(SOUND) == []


@pytest.mark.parametrize(
    ("rule", "changes"),
    [
        (
            "versions_back",
            {"versions": (*SOUND.versions, VERSION(5, "a", 1, "d1"))},
        ),
        ("wrong_answers", {"calls": (seen(caller.WRONG),)}),
        ("not_run_but_ran", {"calls": (seen(caller.NOT_RUN),)}),
        (
            "not_run_but_ran",
            {"calls": (seen(caller.NOT_RUN), seen(caller.NOT_RUN))},
        ),
        (
            "not_run_but_ran",
            {"calls": (seen(caller.NOT_RUN, idempotent=True),)},
        ),
        ("ran_twice", {"runs": {**SOUND.runs, "t1": 2}}),
        ("ran_twice", {"runs": {**SOUND.runs, "t3": 2}}),
        ("answered_but_not_run", {"runs": {**SOUND.runs, "t4": 0}}),
        (
            "forked_versions",
            {
                "publishes": (
                    PUBLISH(0.0, 4, "d4"),
                    PUBLISH(1.0, 4, "other"),
                ),
                "published": {**SOUND.published, 4: "d4"},
            },
        ),
        (
            "lost_publishes",
            {"publishes": (*SOUND.publishes, PUBLISH(2.0, 3, "d3"))},
        ),
        (
            "lost_publishes",
            {"publishes": (PUBLISH(1.0, 2, "other"),)},
        ),
        (
            "unpublished_editions",
            {"versions": (VERSION(1.0, "a", 2, "bad"),)},
        ),
        ("unpublished_editions", {"versions": (VERSION(1.0, "a", 3, "d2"),)}),
        ("interrupted_calls", {"long_calls": (seen(caller.BROKEN),)}),
        ("interrupted_calls", {"long_calls": (seen(caller.WRONG),)}),
        ("interrupted_calls", {"long_calls": (seen(caller.UNKNOWN),)}),
        ("late_work", {"late": (("a", 1),)}),
        ("failed_stops", {"failed_stops": (("a", -9),)}),
        ("daemons_died", {"died": ("a",)}),
        ("not_converged", {"final": {"a": 2, "b": 1}}),
        ("not_converged", {"final": {"a": 2, "b": 0}}),
    ],
)
def test_violation_is_detected(rule, changes):
    """Guards against a check that no longer sees what it is for."""
    found = invariants.check(SOUND._replace(**changes))
    rules = [violation.rule for violation in found]
    # Only one content of a forked version can be in the store's log.
    lost = ["lost_publishes"] if rule == "forked_versions" else []
    assert rules == [rule, *lost]


def test_step_back_over_a_restart_is_detected():
    """Guards against forgetting versions when a daemon starts anew."""
    versions = (VERSION(1, "a", 3), VERSION(2, "a", 0), VERSION(3, "a", 2))
    found = invariants.versions_back(versions)
    assert [violation.subject for violation in found] == ["a"]
