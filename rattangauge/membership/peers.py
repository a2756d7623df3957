"""What a daemon knows of the other daemons, from themselves alone.

Each daemon tells its peers its own record. Nobody passes on what another one
said, so there is no order to find between two reporters: a record is replaced
by a newer one of the same process, or by one of a later process.
"""

from collections.abc import Iterator
import math

from rattangauge.calls import placement
from rattangauge.generated import messages

# A peer that failed gets no calls for this time. After a second failure in a
# row it gets none until it has answered news: calls are no probes.
PAUSE_S = 0.2

# A report of the load is worth nothing after this time.
LOAD_S = 3.0

# An instance that said that it has no room is left alone for this time.
FULL_S = 0.03

# An upstream that failed this share of its late calls counts as ill.
# Without calls to it that is forgotten, so that it is tried again.
ILL_SHARE = 0.25
FAULT_WEIGHT = 0.1
FAULT_MEMORY_S = 1.0

# Weight of a new measurement of how long calls of one kind hold a slot, and the
# kinds that are kept for each peer.
KIND_WEIGHT = 0.3
MAX_KINDS = 256

_USABLE = messages.UpstreamState.SERVING


class Peer:
    """One other daemon, or the daemon itself.

    Attributes:
        member: Its newest record.
        own: Calls of this daemon that are under way there.
    """

    def __init__(self, member: messages.Member) -> None:
        """Creates a peer without a load."""
        self.member = member
        self.own = 0
        self._load = messages.Load()
        self._load_at = 0.0
        self._own_at_load = 0
        self._failures = 0
        self._faults = 0.0
        self._fault_at = 0.0
        self._paused_until = 0.0
        self._full_until = 0.0
        self._hold_s = 0.0
        self._watching_at = -math.inf
        # Hold time of the calls of a kind, as a multiple of the mean.
        self._kinds: dict[str, float] = {}

    @property
    def is_serving(self) -> bool:
        """Whether its upstream takes calls."""
        is_alive = self.member.state == messages.MemberState.ALIVE
        return is_alive and self.member.upstream == _USABLE

    @property
    def failures(self) -> int:
        """Failures in a row to reach it."""
        return self._failures

    def is_ill(self, now: float) -> bool:
        """Tells whether calls to it have just failed."""
        if self._paused_until > now or self._full_until > now:
            return True
        age_s = max(0.0, now - self._fault_at)
        return self._faults * math.exp(-age_s / FAULT_MEMORY_S) > ILL_SHARE

    def report(self, load: messages.Load, now: float, kind: str = "") -> None:
        """Takes the load that it reports.

        Args:
            load: The load.
            now: Time in seconds.
            kind: Kind of the call that it answers, if it answers one.
        """
        self._load = load
        self._load_at = now
        self._own_at_load = self.own
        self._hold_s = load.service_us / 1e6
        if load.kind_us and load.service_us:
            self._observe_kind(kind, load.kind_us / load.service_us)
        if load.state != self.member.upstream:
            self.member = self.member._replace(upstream=load.state)

    def _observe_kind(self, kind: str, ratio: float) -> None:
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
            self._kinds.clear()
        before = self._kinds.get(kind, ratio)
        self._kinds[kind] = before + KIND_WEIGHT * (ratio - before)

    def tell_watching(self, is_watching: bool, now: float) -> None:
        """Takes whether it watches the store and hears it."""
        self._watching_at = now if is_watching else -math.inf

    def watches(self, now: float, within_s: float) -> bool:
        """Tells whether it has said of late that it watches the store."""
        return now - self._watching_at <= within_s

    def reached(self) -> None:
        """Notes that it answered."""
        self._failures = 0
        self._paused_until = 0.0

    def failed(self, now: float) -> None:
        """Notes that it could not be reached, or that the way to it broke."""
        if now < self._paused_until:
            return  # one lost connection fails all calls that it carries
        self._failures += 1
        self._paused_until = math.inf if self._failures > 1 else now + PAUSE_S

    def refused(self, now: float) -> None:
        """Notes that it had no room for a call."""
        self._full_until = now + FULL_S

    def observe_answer(self, is_fault: bool, now: float) -> None:
        """Notes whether its upstream failed a call."""
        self._faults += FAULT_WEIGHT * (float(is_fault) - self._faults)
        if is_fault:
            self._fault_at = now

    def busy(self, now: float) -> int:
        """Returns the calls that run or wait there, as far as known."""
        if now - self._load_at > LOAD_S:
            return self.own
        total = self._load.running + self._load.queued
        return self.own + max(0, total - self._own_at_load)

    def load_age_s(self, now: float) -> float:
        """Returns the age of the newest report of its load, in seconds."""
        return now - self._load_at

    def candidate(
        self, zone: str, now: float, kind: str = ""
    ) -> placement.Candidate:
        """Returns the peer as one that could take a call of a kind."""
        return placement.Candidate(
            self.member.mesh,
            self.member.zone == zone,
            self.is_ill(now),
            self.busy(now),
            self._load.limit or self.member.slots,
            self._hold_s * self._kinds.get(kind, 1.0),
            self._hold_s,
        )


def _is_newer(known: messages.Member, told: messages.Member) -> bool:
    if told.incarnation != known.incarnation:
        return told.incarnation > known.incarnation
    return told.counter >= known.counter


class PeerTable:
    """All daemons by mesh address.

    Attributes:
        own: The daemon's own record.
    """

    def __init__(self, own: messages.Member) -> None:
        """Creates a table of the daemon alone."""
        self.own = Peer(own)
        self._peers: dict[str, Peer] = {own.mesh: self.own}

    def __iter__(self) -> Iterator[Peer]:
        """Returns all daemons, this one included."""
        return iter(self._peers.values())

    def __len__(self) -> int:
        """Returns the number of daemons, this one included."""
        return len(self._peers)

    def get(self, address: str) -> Peer | None:
        """Returns the daemon with a mesh address."""
        return self._peers.get(address)

    def others(self) -> list[Peer]:
        """Returns all daemons but this one."""
        return [peer for peer in self._peers.values() if peer is not self.own]

    def add(self, member: messages.Member) -> Peer | None:
        """Adds a daemon that is not known yet; returns it if it is new."""
        if member.mesh in self._peers:
            return None
        peer = self._peers[member.mesh] = Peer(member)
        return peer

    def take(self, news: messages.PeerNews, now: float) -> bool:
        """Takes what a daemon tells of itself.

        Returns:
            Whether the daemon, or its present process, was unknown.
        """
        told = news.member
        if told.mesh == self.own.member.mesh:
            return False
        peer = self._peers.get(told.mesh)
        is_new = peer is None or peer.member.incarnation != told.incarnation
        # A process that cannot be reached any more may be followed by one
        # whose clock is behind.
        is_old = peer is not None and not _is_newer(peer.member, told)
        if is_old and not (is_new and peer.failures):
            return False
        if peer is None or is_new:
            peer = self._peers[told.mesh] = Peer(told)
        peer.member = told
        peer.tell_watching(told.watches, now)
        peer.report(news.load, now)
        return is_new

    def remove(self, address: str) -> None:
        """Forgets a daemon."""
        self._peers.pop(address, None)

    def serving(self, service: str) -> list[Peer]:
        """Returns the daemons whose upstream runs a service and takes calls."""
        return [
            peer
            for peer in self._peers.values()
            if peer.member.service == service and peer.is_serving
        ]
