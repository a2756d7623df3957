"""The other daemons of the mesh, as each of them describes itself.

Each daemon sends its own member record and load to its peers, and no daemon
forwards the record of another one. Records from different senders therefore
never have to be ordered: a record is replaced by a newer one of the same
process, or by one of a later process.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import math

from rattangauge.calls import placement
from rattangauge.generated import messages

# A peer that could not be reached gets no calls for this time. After a second
# consecutive failure it gets none until it answers an exchange of member
# records, so that no call has to wait for a peer or zone that is cut off.
FAILURE_PAUSE_S = 0.2

# A load report is ignored after this time.
LOAD_EXPIRY_S = 3.0

# A peer that refused a call because its queue was full gets no calls for this
# time.
REFUSAL_PAUSE_S = 0.03

# An upstream is avoided if the moving average of its failed calls exceeds this
# share. Without calls the average decays with a time constant of
# FAILED_SHARE_DECAY_S, so that the upstream is tried again.
FAILED_SHARE_LIMIT = 0.25
FAILED_SHARE_WEIGHT = 0.1
FAILED_SHARE_DECAY_S = 1.0

# Weight of a new measurement in the moving average of the hold time of one kind
# of call, and the number of kinds that are kept for each peer.
HOLD_RATIO_WEIGHT = 0.3
MAX_CALL_KINDS = 256
# Bytes a second of a link of 1 kbit/s.
BYTES_PER_S_PER_KBPS = 125
# Services whose serving daemons are kept between two changes.
MAX_SERVICES = 256

_SERVING = messages.UpstreamState.SERVING


class Peer:
    """State of one daemon of the mesh, which may be this daemon itself.

    Times are monotonic times in seconds.

    Attributes:
        own_calls: Number of calls that this daemon has sent to it and that have
            not ended.
        known_since: Time of the first report of its present process.
        leaving: Last process of its upstream that announced that it leaves, as
            this or an earlier process of the daemon reported; None if there is
            none.
    """

    def __init__(
        self,
        member: messages.Member,
        on_change: Callable[[], None] | None = None,
    ) -> None:
        """Creates a peer that has reported no load yet.

        Args:
            member: Its member record.
            on_change: Called when the peer may count as another one for the
                choice of upstreams or of watchers of the store.
        """
        self._member = member
        self._on_change = on_change
        self.own_calls = 0
        self.known_since = -math.inf
        self.leaving: messages.LeavingUpstream | None = None
        self._load = messages.Load()
        self._load_received_at = 0.0
        self._own_calls_at_load = 0
        self._consecutive_failures = 0
        self._failed_share = 0.0
        self._last_failed_answer_at = 0.0
        self._paused_until = 0.0
        self._refusal_until = 0.0
        self._hold_s = 0.0
        self._watching_at = -math.inf
        # Hold time of each kind of call divided by the mean over all kinds.
        self._hold_ratios: dict[str, float] = {}

    @property
    def member(self) -> messages.Member:
        """Its newest member record."""
        return self._member

    @member.setter
    def member(self, member: messages.Member) -> None:
        before = _selection_key(self._member)
        self._member = member
        if _selection_key(member) != before:
            self._notify()

    def _notify(self) -> None:
        if self._on_change is not None:
            self._on_change()

    @property
    def has_reported(self) -> bool:
        """Whether the daemon has told its record itself."""
        return self._member.incarnation > 0

    @property
    def is_serving(self) -> bool:
        """Whether the daemon is alive and its upstream accepts calls."""
        is_alive = self.member.state == messages.MemberState.ALIVE
        return is_alive and self.member.upstream == _SERVING

    @property
    def failures(self) -> int:
        """Number of consecutive failures to reach the daemon."""
        return self._consecutive_failures

    def should_avoid(self, now: float) -> bool:
        """Returns whether calls should avoid the peer for now.

        This is so while it is paused after a failure or a refusal, and while
        its upstream fails too large a share of its calls.
        """
        if self._paused_until > now or self._refusal_until > now:
            return True
        age_s = max(0.0, now - self._last_failed_answer_at)
        return (
            self._failed_share * math.exp(-age_s / FAILED_SHARE_DECAY_S)
            > FAILED_SHARE_LIMIT
        )

    def update_load(
        self, load: messages.Load, now: float, kind: str = ""
    ) -> None:
        """Stores a load report of the peer.

        Args:
            load: The reported load.
            now: Monotonic time in seconds.
            kind: Kind of the call whose answer carried the report; empty if it
                came without a call.
        """
        self._load = load
        self._load_received_at = now
        self._own_calls_at_load = self.own_calls
        self._hold_s = load.service_us / 1e6
        if load.kind_us and load.service_us:
            self._update_hold_ratio(kind, load.kind_us / load.service_us)
        if load.state != self.member.upstream:
            self.member = self.member._replace(upstream=load.state)

    def _update_hold_ratio(self, kind: str, ratio: float) -> None:
        if (
            kind not in self._hold_ratios
            and len(self._hold_ratios) >= MAX_CALL_KINDS
        ):
            self._hold_ratios.clear()
        before = self._hold_ratios.get(kind, ratio)
        self._hold_ratios[kind] = before + HOLD_RATIO_WEIGHT * (ratio - before)

    def set_watching(self, is_watching: bool, now: float) -> None:
        """Stores whether the peer receives events from its store watch."""
        self._watching_at = now if is_watching else -math.inf

    def is_watching(self, now: float, within_s: float) -> bool:
        """Returns whether the peer reported a store watch recently enough.

        Args:
            now: Monotonic time in seconds.
            within_s: Highest age of that report, in seconds.
        """
        return now - self._watching_at <= within_s

    def record_success(self) -> None:
        """Records that the peer answered, which ends its pause."""
        had_failed = self._consecutive_failures > 0
        self._consecutive_failures = 0
        self._paused_until = 0.0
        if had_failed:
            self._notify()

    def record_failure(self, now: float) -> None:
        """Records that the peer was unreachable or its connection was lost."""
        if now < self._paused_until:
            # A lost connection fails all calls on it; they count as one
            # failure.
            return
        self._consecutive_failures += 1
        self._paused_until = (
            math.inf
            if self._consecutive_failures > 1
            else now + FAILURE_PAUSE_S
        )
        if self._consecutive_failures == 1:
            self._notify()

    def record_refusal(self, now: float) -> None:
        """Records that the peer refused a call because its queue was full."""
        self._refusal_until = now + REFUSAL_PAUSE_S

    def record_answer(self, is_failure: bool, now: float) -> None:
        """Records whether the peer's upstream failed a call."""
        self._failed_share += FAILED_SHARE_WEIGHT * (
            float(is_failure) - self._failed_share
        )
        if is_failure:
            self._last_failed_answer_at = now

    def outstanding(self, now: float) -> int:
        """Returns the estimated number of calls that run or wait at the peer.

        These are the calls of other daemons in the newest load report, unless
        it has expired, and this daemon's own calls, whose number is always up
        to date.
        """
        if now - self._load_received_at > LOAD_EXPIRY_S:
            return self.own_calls
        total = self._load.running + self._load.queued
        return self.own_calls + max(0, total - self._own_calls_at_load)

    @property
    def slots(self) -> int:
        """Calls that its upstream can run at a time."""
        return self._load.limit or self.member.slots

    def load_age_s(self, now: float) -> float:
        """Returns the age of the newest load report, in seconds."""
        return now - self._load_received_at

    def transfer_s(self, size: int, now: float) -> float:
        """Returns the time until its network link has sent an answer.

        Args:
            size: Size of the answer, in bytes.
            now: Monotonic time in seconds.

        Returns:
            The time in seconds; 0 if the rate of the link is unknown.
        """
        if not self.member.link_kbps:
            return 0.0
        send_s = size / (self.member.link_kbps * BYTES_PER_S_PER_KBPS)
        backlog_s = self._load.link_us / 1e6
        return send_s + max(0.0, backlog_s - self.load_age_s(now))

    def candidate(
        self, zone: str, now: float, kind: str = ""
    ) -> placement.Candidate:
        """Returns the peer as a candidate for the placement of a call.

        Args:
            zone: Availability zone of the caller.
            now: Monotonic time in seconds.
            kind: Kind of the call, for the expected hold time.
        """
        return placement.Candidate(
            self.member.mesh,
            self.member.zone == zone,
            self.should_avoid(now),
            self.outstanding(now),
            self.slots,
            self._hold_s * self._hold_ratios.get(kind, 1.0),
            self._hold_s,
        )


def _selection_key(member: messages.Member) -> tuple[object, ...]:
    """Returns the fields on which the choice among peers depends."""
    return (
        member.zone,
        member.service,
        member.state,
        member.upstream,
        member.watches,
        member.link_kbps,
        member.upstream_version,
    )


def _is_newer(known: messages.Member, received: messages.Member) -> bool:
    if received.incarnation != known.incarnation:
        return received.incarnation > known.incarnation
    return received.counter >= known.counter


class PeerTable:
    """All known daemons by mesh address.

    Attributes:
        own: The peer entry of this daemon itself.
    """

    def __init__(self, own: messages.Member) -> None:
        """Creates a table that contains only this daemon."""
        self._revision = 0
        self._serving: dict[str, list[Peer]] = {}
        self._versions: dict[str, dict[str, int]] = {}
        self.own = self._make_peer(own)
        self._peers: dict[str, Peer] = {own.mesh: self.own}

    @property
    def revision(self) -> int:
        """Number that grows when a choice among the peers may turn out new."""
        return self._revision

    def _make_peer(self, member: messages.Member) -> Peer:
        return Peer(member, self._handle_change)

    def _handle_change(self) -> None:
        self._revision += 1
        self._serving.clear()
        self._versions.clear()

    def __iter__(self) -> Iterator[Peer]:
        """Iterates over all daemons, this one included."""
        return iter(self._peers.values())

    def __len__(self) -> int:
        """Returns the number of daemons, this one included."""
        return len(self._peers)

    def get(self, address: str) -> Peer | None:
        """Returns the daemon with a mesh address; None if it is unknown."""
        return self._peers.get(address)

    def others(self) -> list[Peer]:
        """Returns all daemons except this one."""
        return [peer for peer in self._peers.values() if peer is not self.own]

    def add(self, member: messages.Member) -> Peer | None:
        """Adds a daemon and returns its entry; None if it was known before."""
        if member.mesh in self._peers:
            return None
        peer = self._peers[member.mesh] = self._make_peer(member)
        self._handle_change()
        return peer

    def update(self, news: messages.PeerNews, now: float) -> bool:
        """Stores the record and load that a daemon sent of itself.

        An entry of an earlier process of the daemon is replaced by a new one:
        its calls and failures say nothing of the new process.

        Args:
            news: The message of the daemon.
            now: Monotonic time in seconds.

        Returns:
            Whether the daemon, or its current process, was unknown.
        """
        received = news.member
        if received.mesh == self.own.member.mesh:
            return False
        peer = self._peers.get(received.mesh)
        is_new = peer is None or peer.member.incarnation != received.incarnation
        # The clock may have gone back between two processes of a daemon. A
        # lower incarnation is accepted if the known process is unreachable.
        is_outdated = peer is not None and not _is_newer(peer.member, received)
        if is_outdated and not (is_new and peer.failures):
            return False
        if peer is None or is_new:
            leaving = peer.leaving if peer is not None else None
            peer = self._peers[received.mesh] = self._make_peer(received)
            peer.known_since = now
            peer.leaving = leaving
            self._handle_change()
        peer.member = received
        for process in news.leaving:
            if process.mesh == received.mesh:
                peer.leaving = process
        peer.set_watching(received.watches, now)
        peer.update_load(news.load, now)
        return is_new

    def remove(self, address: str) -> None:
        """Removes a daemon from the table."""
        if self._peers.pop(address, None) is not None:
            self._handle_change()

    def serving(self, service: str) -> list[Peer]:
        """Returns the daemons whose upstream is serving the service.

        The list belongs to the table and must not be changed.
        """
        serving = self._serving.get(service)
        if serving is None:
            serving = [
                peer
                for peer in self._peers.values()
                if peer.member.service == service and peer.is_serving
            ]
            if len(self._serving) >= MAX_SERVICES:
                self._serving.clear()
            self._serving[service] = serving
        return serving

    def serving_versions(self, service: str) -> Mapping[str, int]:
        """Returns the number of serving instances by version of a service."""
        versions = self._versions.get(service)
        if versions is None:
            versions = dict(
                collections.Counter(
                    peer.member.upstream_version
                    for peer in self.serving(service)
                )
            )
            if len(self._versions) >= MAX_SERVICES:
                self._versions.clear()
            self._versions[service] = versions
        return versions
