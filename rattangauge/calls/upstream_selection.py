"""Chooses the upstream that takes a call."""

from collections.abc import Sequence
import random as random_module
from typing import NamedTuple

from rattangauge.calls import upstream_stats
from rattangauge.generated import messages

# An upstream without an answer for this time gets one call, and only a small
# share of the calls serves as such probes. This holds for all local upstreams:
# one that is only twice as slow as the others loses every comparison, so its
# latency would never be measured again.
PROBE_PERIOD_S = 1.0
PROBE_SHARE = 0.02

# Round trip to a zone from which there is no answer yet.
ZONE_COST_S = 0.001
DEFAULT_LATENCY_S = 0.005

# A call under way for this long, and for this factor of the median latency,
# makes its upstream doubtful before any answer comes.
STUCK_S = 0.02
STUCK_FACTOR = 5.0


class Candidate(NamedTuple):
    """An upstream that could take a call.

    Attributes:
        member: Its record.
        view: What was measured of it.
        is_local: Whether it is in the daemon's own zone.
        is_serving: Whether it is reported as serving.
    """

    member: messages.Member
    view: upstream_stats.View
    is_local: bool
    is_serving: bool


def choose(
    candidates: Sequence[Candidate],
    now: float,
    random: random_module.Random,
    median_s: float = 0.0,
) -> Candidate:
    """Returns the upstream that takes a call.

    Reports decide only among upstreams without measured faults: one that is
    reported as not serving is used when no other is left.

    Args:
        candidates: At least one upstream.
        now: Time in seconds.
        random: Source of random numbers.
        median_s: Median latency of the service; 0 if unknown.
    """
    if len(candidates) == 1:
        return candidates[0]
    reachable = [
        c for c in candidates if c.is_serving and c.view.open_until <= now
    ]
    probe = _due_probe(reachable, now, random)
    if probe is not None:
        return probe
    healthy = [c for c in reachable if not _is_ill(c.view, now, median_s)]
    roomy = [c for c in healthy if c.view.full_until <= now]
    usable = roomy or healthy or reachable or candidates
    return _choose_zone(usable, now, random, median_s)


def choose_second(
    candidates: Sequence[Candidate],
    now: float,
    random: random_module.Random,
    median_s: float,
) -> Candidate | None:
    """Returns the upstream for a second attempt at a late call, if any.

    Only an upstream with room and without a fault may take it, so that second
    attempts do not add to an overload.
    """
    usable = [
        c
        for c in candidates
        if c.is_serving
        and c.view.open_until <= now
        and c.view.full_until <= now
        and not _is_ill(c.view, now, median_s)
        and _has_room(c, now)
    ]
    return _choose_zone(usable, now, random, median_s) if usable else None


def _is_ill(view: upstream_stats.View, now: float, median_s: float) -> bool:
    if view.is_shunned or view.doubtful_until > now:
        return True
    oldest_s = view.oldest_s(now)
    return oldest_s > STUCK_S and oldest_s > STUCK_FACTOR * median_s > 0.0


def _due_probe(
    reachable: Sequence[Candidate], now: float, random: random_module.Random
) -> Candidate | None:
    due = [
        c
        for c in reachable
        if (c.view.is_shunned or c.is_local)
        and not c.view.own
        and now - c.view.answered_at > PROBE_PERIOD_S
    ]
    if not due or random.random() >= PROBE_SHARE:
        return None
    return random.choice(due)


def _choose_zone(
    usable: Sequence[Candidate],
    now: float,
    random: random_module.Random,
    median_s: float,
) -> Candidate:
    local = [c for c in usable if c.is_local]
    remote = [c for c in usable if not c.is_local]
    first = _better_of_two(local, now, random, median_s)
    if first is not None and _has_room(first, now):
        return first
    bearing = [c for c in remote if _has_room(c, now)]
    if first is None:
        second = _better_of_two(bearing or remote, now, random, median_s)
    else:
        second = _better_of_two(bearing, now, random, median_s)
    found = [c for c in (first, second) if c is not None]
    return min(found, key=lambda c: _expected_s(c, now, median_s))


def _has_room(candidate: Candidate, now: float) -> bool:
    view = candidate.view
    return view.outstanding(now) < view.limit(now)


def _better_of_two(
    candidates: Sequence[Candidate],
    now: float,
    random: random_module.Random,
    median_s: float,
) -> Candidate | None:
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    if _expected_s(second, now, median_s) < _expected_s(first, now, median_s):
        return second
    return first


def _expected_s(candidate: Candidate, now: float, median_s: float) -> float:
    default_s = median_s or DEFAULT_LATENCY_S
    if not candidate.is_local:
        default_s += ZONE_COST_S
    return candidate.view.expected_s(now, default_s)
