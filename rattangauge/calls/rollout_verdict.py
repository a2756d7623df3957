"""Judges a new version of a service by the answers that it has given.

Failures and slow answers are two sequential tests for each route against the
old version in the same window (Wald's sequential probability ratio test; the
one for a bad version as Page's cumulative sum, since a version may turn bad
later). An answer is slow if it took several times the median of the old version
on the same route, so that the second test compares a quantile. Both count what
the daemons beside the instances measured, without the wait for a slot.
"""

from collections.abc import Sequence
import math
from typing import NamedTuple

from rattangauge.calls import duration_histogram

# Probability of a wrong verdict in one test: a good version counts as bad, and
# a bad one as good.
FALSE_ALARM = 1e-4
FALSE_PASS = 1e-3
_BAD_AT = math.log(1.0 / FALSE_ALARM)
_GOOD_AT = math.log(FALSE_PASS)
# Evidence at which a version gets no larger share, though it may be good.
_SUSPECT_AT = _BAD_AT / 3
# Least share of failed or slow answers that an old version is held to have, and
# by how much that of a bad version is larger.
MIN_SHARE = 0.03
MAX_SHARE = 0.6
EXCESS_SHARE = 0.25
# Share without enough answers of the old version.
UNKNOWN_SHARE = 0.1
MIN_OLD_ANSWERS = 30
# Answers of the old version that are remembered for each route.
MAX_OLD_ANSWERS = 1000
# Standard errors that are added to the share of the old version.
STANDARD_ERRORS = 2.0
# A slow answer takes this many times the median of the old version.
SLOW_FACTOR = 4.0
# Instances of the new version that must have failed or slow answers, if at
# least the second number of them have answered.
MIN_BAD_INSTANCES = 2
MANY_INSTANCES = 3


class Answers(NamedTuple):
    """Answers of a route by one instance.

    Attributes:
        count: Number of answers.
        failures: Those that failed.
        held: Number of answers by class of time, see ``duration_histogram``.
    """

    count: int
    failures: int
    held: Sequence[int]


NO_ANSWERS = Answers(0, 0, (0,) * duration_histogram.CLASSES)


def subtract(new: Answers, old: Answers) -> Answers:
    """Returns the answers that came between two reports of totals.

    >>> old = NO_ANSWERS._replace(count=3, failures=1)
    >>> subtract(NO_ANSWERS._replace(count=5, failures=1), old)[:2]
    (2, 0)
    """
    held = [a - b for a, b in zip(new.held, old.held, strict=True)]
    return Answers(
        new.count - old.count, new.failures - old.failures, tuple(held)
    )


class SequentialTest:
    """Test whether more answers of a new version are bad than of an old one."""

    def __init__(self) -> None:
        """Creates a test without answers."""
        self._cumulative = 0.0
        self._ratio = 0.0
        self._instances: set[str] = set()

    @property
    def is_bad(self) -> bool:
        """Whether the new version was found worse."""
        return self._cumulative >= _BAD_AT

    @property
    def is_suspect(self) -> bool:
        """Whether the answers speak against the new version."""
        return self._cumulative >= _SUSPECT_AT

    @property
    def is_good(self) -> bool:
        """Whether the new version was found as good."""
        return self._ratio <= _GOOD_AT

    @property
    def instances(self) -> set[str]:
        """Instances with bad answers since the sum was last 0."""
        return self._instances

    def add(
        self, instance: str, count: int, bad: int, old_share: float
    ) -> None:
        """Adds answers of the new version.

        Args:
            instance: Instance that gave them.
            count: Number of answers.
            bad: How many of them were bad.
            old_share: Share of bad answers that the old version may have.
        """
        bad_share = min(0.95, old_share + EXCESS_SHARE)
        ratio = bad * math.log(bad_share / old_share)
        ratio += (count - bad) * math.log((1 - bad_share) / (1 - old_share))
        self._ratio += ratio
        self._cumulative = max(0.0, self._cumulative + ratio)
        if bad:
            self._instances.add(instance)
        if not self._cumulative:
            self._instances.clear()


def upper_share(bad: float, count: float) -> float:
    """Returns the largest share of bad answers that a sample is held to show.

    >>> round(upper_share(0, 1000), 3), round(upper_share(200, 1000), 3)
    (0.03, 0.226)
    """
    if count < MIN_OLD_ANSWERS:
        return UNKNOWN_SHARE
    share = (bad + 1) / (count + 2)
    error = math.sqrt(share * (1.0 - share) / count)
    return min(MAX_SHARE, max(MIN_SHARE, share + STANDARD_ERRORS * error))


class _RouteTest:
    """Tests of one route."""

    def __init__(self) -> None:
        self.failures = SequentialTest()
        self.slow = SequentialTest()
        self._old_count = 0.0
        self._old_failures = 0.0
        self._old_held = [0.0] * duration_histogram.CLASSES

    def add_old(self, answers: Answers) -> None:
        self._old_count += answers.count
        self._old_failures += answers.failures
        for index, count in enumerate(answers.held):
            self._old_held[index] += count
        if self._old_count > MAX_OLD_ANSWERS:
            factor = MAX_OLD_ANSWERS / self._old_count
            self._old_count *= factor
            self._old_failures *= factor
            self._old_held = [count * factor for count in self._old_held]

    def add_new(self, instance: str, answers: Answers) -> None:
        share = upper_share(self._old_failures, self._old_count)
        self.failures.add(instance, answers.count, answers.failures, share)
        old_total = sum(self._old_held)
        if old_total < MIN_OLD_ANSWERS:
            return
        limit = duration_histogram.median_class(self._old_held)
        limit += duration_histogram.classes_in(SLOW_FACTOR)
        share = upper_share(sum(self._old_held[limit:]), old_total)
        slow = sum(answers.held[limit:])
        self.slow.add(instance, sum(answers.held), slow, share)

    @property
    def tests(self) -> tuple[SequentialTest, SequentialTest]:
        return self.failures, self.slow


class Judgement:
    """What the answers of both versions of a service show."""

    def __init__(self) -> None:
        """Creates a judgement without answers."""
        self._routes: dict[str, _RouteTest] = {}
        self._instances: set[str] = set()
        self._new_answers = 0

    @property
    def new_answers(self) -> int:
        """Number of answers of the new version."""
        return self._new_answers

    def add(
        self, instance: str, route: str, answers: Answers, is_new: bool
    ) -> None:
        """Adds answers that came since the last call.

        Those of the old version of a window are to be added first.

        Args:
            instance: Instance that gave them.
            route: Name of the route.
            answers: The answers.
            is_new: Whether the instance has the new version.
        """
        if not answers.count and not any(answers.held):
            return
        test = self._routes.setdefault(route, _RouteTest())
        if is_new:
            self._instances.add(instance)
            self._new_answers += answers.count
            test.add_new(instance, answers)
        else:
            test.add_old(answers)

    @property
    def bad_route(self) -> str:
        """Route on which the new version was found worse; empty if none."""
        needed = 1
        if len(self._instances) >= MANY_INSTANCES:
            needed = MIN_BAD_INSTANCES
        for route, tests in self._routes.items():
            for test in tests.tests:
                if test.is_bad and len(test.instances) >= needed:
                    return route
        return ""

    @property
    def is_suspect(self) -> bool:
        """Whether the answers of a route speak against the new version."""
        return any(
            test.is_suspect
            for route in self._routes.values()
            for test in route.tests
        )

    @property
    def is_good(self) -> bool:
        """Whether the new version was found as good on all routes."""
        return bool(self._routes) and all(
            route.failures.is_good for route in self._routes.values()
        )
