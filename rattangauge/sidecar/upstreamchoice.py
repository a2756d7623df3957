"""Chooses the instance that a call is sent to, from the state of the peers."""

import random as random_module
import time

from rattangauge import settings as settings_module
from rattangauge.calls import answer_sizes
from rattangauge.calls import call_queue
from rattangauge.calls import placement
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool
from rattangauge.sidecar import calllog
from rattangauge.sidecar import incomingcall
from rattangauge.sidecar import linkpacer
from rattangauge.sidecar import rollouts as rollouts_module
from rattangauge.sidecar import spillover

# A call is refused without asking the instance if a load report that is younger
# than this shows a wait above the longest useful wait of the call times the
# margin. The margin allows for calls that end after the report.
MAX_DECISIVE_LOAD_AGE_S = 0.2
REFUSAL_MARGIN = 1.5
# Estimated size of the head of a request or an answer.
HEAD_BYTES = 300


class UpstreamChoice:
    """Compares the instances of a service for each call."""

    def __init__(
        self,
        settings: settings_module.Settings,
        links: connection_pool.Links,
        peers: peers_module.PeerTable,
        rollouts: rollouts_module.Rollouts,
        call_log: calllog.CallLog,
        random: random_module.Random,
        spill: spillover.Spillover,
    ) -> None:
        """Creates a choice without measured sizes of answers."""
        self._settings = settings
        self._links = links
        self._peers = peers
        self._rollouts = rollouts
        self._call_log = call_log
        self._random = random
        self._spill = spill
        self._answer_sizes = answer_sizes.AnswerSizes()

    def choose(
        self, call: incomingcall.IncomingCall, tried: set[str]
    ) -> peers_module.Peer | None:
        """Chooses the instance that a call is sent to next.

        Args:
            call: The call.
            tried: Mesh addresses of the instances that have had it.

        Returns:
            The instance; None if no instance of the service is left to try.
        """
        call_open = call.request.open
        now = time.monotonic()
        answer_bytes = self._answer_sizes.expected(call_open.route, HEAD_BYTES)
        size = HEAD_BYTES + len(call_open.body) + answer_bytes
        demand = placement.CallRequirements(size, call.target_at - now)
        local, remote = self._untried_peers(call_open.service, tried)
        candidates = [
            self._candidate(peer, now, call_open.route) for peer in local
        ]
        chosen = None
        is_small = answer_bytes < linkpacer.LARGE_ANSWER_BYTES
        if not (is_small and self._spill.leaves(call_open.service)):
            chosen = placement.choose_local(candidates, demand, self._random)
        if chosen is None:
            candidates += [
                self._candidate(peer, now, call_open.route)
                for peer in placement.sample(remote, self._random)
            ]
            chosen = placement.cheapest(candidates, demand, self._random)
        peer = self._peers.get(chosen.address) if chosen else None
        if chosen is not None and peer is not None:
            self._call_log.record_placement(
                call.request_id, chosen, len(candidates), peer.load_age_s(now)
            )
        return peer

    def is_refusal_expected(
        self, call: incomingcall.IncomingCall, peer: peers_module.Peer
    ) -> bool:
        """Tells whether an instance is expected to refuse a call.

        Such a call is not sent, which saves the transfer during a load peak,
        when all instances refuse calls. Only a recent load report of another
        instance counts.
        """
        now = time.monotonic()
        if (
            peer is self._peers.own
            or peer.load_age_s(now) > MAX_DECISIVE_LOAD_AGE_S
        ):
            return False
        call_open = call.request.open
        candidate = peer.candidate(
            self._settings.instance.zone, now, call_open.route
        )
        waiter = call_queue.QueuedCall(
            0,
            call_open.route,
            call_open.priority,
            call_open.returned,
            call_open.inner,
            call.target_at,
            call.request.deadline,
        )
        longest_wait_s = call_queue.max_wait_s(waiter, candidate.hold_s, now)
        return placement.wait_s(candidate) > REFUSAL_MARGIN * max(
            0.0, longest_wait_s
        )

    def record_answer_size(self, route: str, size: int) -> None:
        """Records the size of an answer of a route, in bytes."""
        self._answer_sizes.add(route, size)

    def _is_own(self, peer: peers_module.Peer) -> bool:
        """Tells whether a peer is this daemon, whose answers need no link."""
        return peer is self._peers.own

    def _untried_peers(
        self, service: str, tried: set[str]
    ) -> tuple[list[peers_module.Peer], list[peers_module.Peer]]:
        """Returns the instances of a service that a call may still be sent to.

        Returns:
            Those of the own zone, and those of the other zones.
        """
        zone = self._settings.instance.zone
        local: list[peers_module.Peer] = []
        remote: list[peers_module.Peer] = []
        for peer in self._rollouts.serving(service, bool(tried)):
            if peer.member.mesh not in tried:
                (local if peer.member.zone == zone else remote).append(peer)
        return local, remote

    def _candidate(
        self, peer: peers_module.Peer, now: float, route: str
    ) -> placement.Candidate:
        """Returns a peer as a candidate for a call of a route.

        The candidate is unhealthy if its connection has an unanswered ping.
        """
        candidate = peer.candidate(self._settings.instance.zone, now, route)
        answer_bytes = self._answer_sizes.expected(route)
        if answer_bytes >= linkpacer.LARGE_ANSWER_BYTES and not self._is_own(
            peer
        ):
            transfer_s = peer.transfer_s(answer_bytes, now)
            candidate = candidate._replace(transfer_s=transfer_s)
        if self._links.is_suspect(peer.member.mesh):
            return candidate._replace(should_avoid=True)
        return candidate
