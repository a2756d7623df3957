"""Finds the upstreams to which the calls of a service may be sent."""

from collections.abc import Collection
import math
from typing import NamedTuple

import anyio

from rattangauge.calls import upstream_selection
from rattangauge.calls import upstream_stats
from rattangauge.config import routes
from rattangauge.generated import messages
from rattangauge.membership import members

# Lifetime of the cached candidates of a service, in seconds.
CANDIDATE_CACHE_S = 0.1

# States of members that may receive calls.
_USABLE_STATES = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)


class _CacheEntry(NamedTuple):
    """Cached candidates of a service.

    Attributes:
        found_at: Time of the lookup, in seconds.
        candidates: Upstreams that were found.
        group: Measurements of the service's upstreams.
    """

    found_at: float
    candidates: list[upstream_selection.Candidate]
    group: upstream_stats.ServiceStats


class CandidateCache:
    """Candidates of each service, with the measurements of its upstreams."""

    def __init__(self, table: members.MemberTable) -> None:
        """Creates an empty cache.

        Args:
            table: Members that the daemon knows.
        """
        self._members = table
        self._cache: dict[str, _CacheEntry] = {}

    def expire(self, services: Collection[str]) -> None:
        """Makes the next calls look up their candidates again.

        Measurements are kept.

        Args:
            services: Names of the services that still exist.
        """
        self._cache = {
            name: entry._replace(found_at=-math.inf)
            for name, entry in self._cache.items()
            if name in services
        }

    def find(
        self, target: routes.Target
    ) -> tuple[list[upstream_selection.Candidate], upstream_stats.ServiceStats]:
        """Returns the upstreams to which a call of a target may be sent.

        The result is cached for ``CANDIDATE_CACHE_S``: the member table is
        large, and a scan for each call would be expensive.
        """
        now = anyio.current_time()
        entry = self._cache.get(target.service.name)
        if entry is None or now - entry.found_at > CANDIDATE_CACHE_S:
            group = entry.group if entry else upstream_stats.ServiceStats()
            found = self._find_candidates(target, group, now)
            group.keep({candidate.member.instance for candidate in found})
            entry = _CacheEntry(now, found, group)
            self._cache[target.service.name] = entry
        return entry.candidates, entry.group

    def _find_candidates(
        self,
        target: routes.Target,
        group: upstream_stats.ServiceStats,
        now: float,
    ) -> list[upstream_selection.Candidate]:
        """Returns the upstreams of the first pool with a serving upstream.

        If no pool has one, returns the upstreams of all pools, because the
        reported states may be wrong.
        """
        all_found: list[upstream_selection.Candidate] = []
        for pool in target.pools:
            local = [
                member
                for member in self._members.members.values()
                if member.service == pool.announces
                and member.state in _USABLE_STATES
            ]
            found = [
                self._candidate(member, group, now)
                for member in local
                + self._members.remote_workers(pool.announces)
                if not pool.zones or member.zone in pool.zones
            ]
            if any(candidate.is_serving for candidate in found):
                return found
            all_found += found
        return all_found

    def _candidate(
        self,
        member: messages.Member,
        group: upstream_stats.ServiceStats,
        now: float,
    ) -> upstream_selection.Candidate:
        return upstream_selection.Candidate(
            member,
            group.view(member, now),
            member.zone == self._members.own.zone,
            member.upstream == messages.UpstreamState.SERVING,
        )
