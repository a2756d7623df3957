"""Chooses the upstream that takes a call, by measured latency and load."""

from collections.abc import Sequence
import random as random_module
from typing import NamedTuple

from rattangauge.calls import upstream_stats
from rattangauge.generated import messages

# An upstream without an answer for this time is due for a probe: a usual call
# that is sent there regardless of its latency. Only a small share of the calls
# serves as probes. All upstreams of the own zone are probed, not only ejected
# ones: an upstream that is only twice as slow as the others loses every
# comparison, so its latency would never be measured again.
PROBE_PERIOD_S = 1.0
PROBE_SHARE = 0.02

# Round trip to assume to an upstream in another zone if its latency has not
# been measured.
ZONE_ROUND_TRIP_S = 0.001
# Latency to assume while no latency of the service is known.
DEFAULT_LATENCY_S = 0.005

# An upstream is avoided while a call has been without an answer for this time
# and for this multiple of the median latency. This finds an upstream that
# hangs before any of its answers shows a high latency.
STUCK_S = 0.02
STUCK_FACTOR = 5.0


class Candidate(NamedTuple):
    """An upstream that could take a call.

    Attributes:
        member: Member of the mesh that runs the upstream.
        view: Measurements of the upstream.
        is_local: Whether it is in the daemon's own zone.
        is_serving: Whether it is reported as serving.
    """

    member: messages.Member
    view: upstream_stats.UpstreamStats
    is_local: bool
    is_serving: bool


def choose(
    candidates: Sequence[Candidate],
    now: float,
    random: random_module.Random,
    median_s: float = 0.0,
) -> Candidate:
    """Returns the upstream that takes a call.

    Reports may be wrong: an upstream that is reported as not serving is used
    if no other is left.

    Args:
        candidates: At least one upstream.
        now: Time in seconds.
        random: Source of random numbers.
        median_s: Median latency of the service in seconds; 0 if unknown.
    """
    if len(candidates) == 1:
        return candidates[0]
    reachable = [
        c for c in candidates if c.is_serving and c.view.open_until <= now
    ]
    probed = _choose_probed(reachable, now, random)
    if probed is not None:
        return probed
    healthy = [c for c in reachable if not _is_faulty(c.view, now, median_s)]
    not_full = [c for c in healthy if c.view.full_until <= now]
    usable = not_full or healthy or reachable or candidates
    return _choose_by_zone(usable, now, random, median_s)


def choose_for_hedge(
    candidates: Sequence[Candidate],
    now: float,
    random: random_module.Random,
    median_s: float,
) -> Candidate | None:
    """Returns the upstream for a second attempt at a late call, if any.

    Only an upstream with a free slot and without a fault may take it, so that
    second attempts do not add to an overload.

    Args:
        candidates: Upstreams that have not been tried.
        now: Time in seconds.
        random: Source of random numbers.
        median_s: Median latency of the service in seconds; 0 if unknown.
    """
    usable = [
        c
        for c in candidates
        if c.is_serving
        and c.view.open_until <= now
        and c.view.full_until <= now
        and not _is_faulty(c.view, now, median_s)
        and _has_free_slot(c, now)
    ]
    return _choose_by_zone(usable, now, random, median_s) if usable else None


def _is_faulty(
    view: upstream_stats.UpstreamStats, now: float, median_s: float
) -> bool:
    """Tells whether measurements show that an upstream is slow or hangs."""
    if view.is_ejected or view.avoided_until > now:
        return True
    age_s = view.oldest_call_age_s(now)
    return age_s > STUCK_S and age_s > STUCK_FACTOR * median_s > 0.0


def _choose_probed(
    reachable: Sequence[Candidate], now: float, random: random_module.Random
) -> Candidate | None:
    """Returns an upstream that is due for a probe if the call is to be one."""
    due = [
        c
        for c in reachable
        if (c.view.is_ejected or c.is_local)
        and not c.view.own_calls
        and now - c.view.answered_at > PROBE_PERIOD_S
    ]
    if not due or random.random() >= PROBE_SHARE:
        return None
    return random.choice(due)


def _choose_by_zone(
    usable: Sequence[Candidate],
    now: float,
    random: random_module.Random,
    median_s: float,
) -> Candidate:
    """Chooses a local upstream, or a remote one if it has no free slot.

    A remote upstream is used only if it has a free slot and a lower expected
    latency than the local one. If there is no local upstream, a remote one is
    chosen, if possible with a free slot.
    """
    local = [c for c in usable if c.is_local]
    remote = [c for c in usable if not c.is_local]
    best_local = _better_of_two(local, now, random, median_s)
    if best_local is not None and _has_free_slot(best_local, now):
        return best_local
    remote_free = [c for c in remote if _has_free_slot(c, now)]
    if best_local is None:
        best_remote = _better_of_two(
            remote_free or remote, now, random, median_s
        )
    else:
        best_remote = _better_of_two(remote_free, now, random, median_s)
    found = [c for c in (best_local, best_remote) if c is not None]
    return min(found, key=lambda c: _latency_s(c, now, median_s))


def _has_free_slot(candidate: Candidate, now: float) -> bool:
    view = candidate.view
    return view.outstanding(now) < view.limit(now)


def _better_of_two(
    candidates: Sequence[Candidate],
    now: float,
    random: random_module.Random,
    median_s: float,
) -> Candidate | None:
    """Returns the better of two random candidates; None if there is none."""
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    if _latency_s(second, now, median_s) < _latency_s(first, now, median_s):
        return second
    return first


def _latency_s(candidate: Candidate, now: float, median_s: float) -> float:
    """Returns the latency that a call to a candidate is expected to have."""
    default_s = median_s or DEFAULT_LATENCY_S
    if not candidate.is_local:
        default_s += ZONE_ROUND_TRIP_S
    return candidate.view.expected_latency_s(now, default_s)
