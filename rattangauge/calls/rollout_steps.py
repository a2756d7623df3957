"""Steps in which calls move to a new version of a service.

The first step lasts longest, since a version may turn bad only after a while;
its share keeps the number of calls to a bad version small until then. The later
steps are short: each shows whether the version bears more load.
"""

from typing import NamedTuple

from rattangauge.calls import rollout_share
from rattangauge.generated import settings as generated

# Shares of the steps after the first one.
LATER_SHARES = (0.2, 0.5, 1.0)
# Times as parts of the time limit of the order. The first step ends at the
# first one if enough answers were good, else at the second.
FIRST_STEP_GOOD_SHARE = 0.35
FIRST_STEP_SHARE = 0.42
LATER_STEP_SHARE = 0.05
# Part of the slack of the exposure that the first calls may use up.
FAST_SLACK = 0.5
# A suspect version is not held back longer than this part of the time limit.
HOLD_SUSPECT_SHARE = 0.6
# A step is not shorter, so that reports of it can arrive.
MIN_STEP_S = 0.8
# At this part of the time limit a roll-out is completed although calls may be
# under way to instances of the old version.
COMPLETE_ANYWAY_SHARE = 0.9


class Progress(NamedTuple):
    """How far a roll-out has come.

    Attributes:
        step: Number of the step, from 0.
        elapsed_s: Time since the order, in seconds.
        step_s: Time since the step began, in seconds.
        duration_s: Time limit of the order, in seconds.
    """

    step: int
    elapsed_s: float
    step_s: float
    duration_s: float


def share(step: int, rollout: generated.Rollout, answers: int) -> float:
    """Returns the share of the calls that a step gives the new version.

    The first calls of the first step come faster: a service with few calls
    would not show in time that the version is bad.

    Args:
        step: Number of the step.
        rollout: Settings of roll-outs.
        answers: Answers that the new version has given.

    >>> rollout = generated.Rollout(0.1, 50, 5.0)
    >>> share(0, rollout, answers=0)
    0.1
    >>> [round(share(step, rollout, answers=99), 3) for step in range(4)]
    [0.04, 0.2, 0.5, 1.0]
    """
    if not step:
        if answers < FAST_SLACK * rollout.expose_slack:
            return rollout.expose_share
        return rollout_share.smallest_share(rollout.expose_share)
    return LATER_SHARES[min(step, len(LATER_SHARES)) - 1]


def is_last(step: int) -> bool:
    """Tells whether a step gives all calls to the new version."""
    return step >= len(LATER_SHARES)


def may_advance(progress: Progress, is_good: bool, is_suspect: bool) -> bool:
    """Tells whether the next step may begin.

    Args:
        progress: How far the roll-out has come.
        is_good: Whether the answers have shown that the version is good.
        is_suspect: Whether the latest ones speak against it.
    """
    if (
        is_suspect
        and progress.elapsed_s < HOLD_SUSPECT_SHARE * progress.duration_s
    ):
        return False
    if progress.step_s < MIN_STEP_S or is_last(progress.step):
        return False
    if progress.step:
        return progress.step_s >= LATER_STEP_SHARE * progress.duration_s
    part = FIRST_STEP_GOOD_SHARE if is_good else FIRST_STEP_SHARE
    return progress.elapsed_s >= part * progress.duration_s


def may_complete(progress: Progress, is_idle: bool) -> bool:
    """Tells whether the roll-out is completed.

    Args:
        progress: How far the roll-out has come.
        is_idle: Whether all daemons have begun the last step and no call is
            under way to an instance of the old version.
    """
    if not is_last(progress.step) or progress.step_s < MIN_STEP_S:
        return False
    if progress.step_s < LATER_STEP_SHARE * progress.duration_s:
        return False
    latest_s = COMPLETE_ANYWAY_SHARE * progress.duration_s
    return is_idle or progress.elapsed_s >= latest_s
