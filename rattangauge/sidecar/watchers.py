"""Chooses which daemons of an availability zone watch the store.

In a small zone each daemon watches the store. In a large zone only a few do,
since the store sends the whole configuration to each watcher at each change.
The other daemons, called followers, pull only the changes from the watchers. A
follower that does not hear from enough watchers watches the store itself.
"""

import collections
from collections.abc import Iterable
import zlib

from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module

# In zones with at most this number of daemons, all of them are watchers.
MAX_DAEMONS_WITHOUT_FOLLOWERS = 8
# Number of watchers in a larger zone: at least MIN_WATCHERS, or WATCHER_SHARE
# of its daemons if that is more.
MIN_WATCHERS = 5
WATCHER_SHARE = 1 / 8
# Number of watchers that a follower polls, and how many of them must confirm
# that they watch the store.
SOURCE_COUNT = 3
MIN_CONFIRMED = 2


def _hash(*names: str) -> int:
    """Returns a hash of names that is the same on all daemons."""
    return zlib.crc32(" ".join(names).encode())


def _zone_peers(peers: peers_module.PeerTable) -> list[peers_module.Peer]:
    """Returns the reachable daemons of the own zone, this one included."""
    zone = peers.own.member.zone
    return [
        peer
        for peer in peers
        if peer.member.zone == zone
        and peer.member.state == messages.MemberState.ALIVE
        and not peer.failures
    ]


def _zone_watchers(
    zone_peers: list[peers_module.Peer],
) -> list[peers_module.Peer]:
    """Returns the watchers of a zone.

    Daemons with the fastest network link come first. Among equal ones, those
    of the service with the most instances come first: each of them carries the
    smallest share of its service's calls, so its link has the most spare
    capacity.
    """
    count = max(MIN_WATCHERS, round(len(zone_peers) * WATCHER_SHARE))
    instances = collections.Counter(peer.member.service for peer in zone_peers)

    def rank(peer: peers_module.Peer) -> tuple[int, int, int]:
        member = peer.member
        return (
            -member.link_kbps,
            -instances[member.service],
            _hash(member.mesh),
        )

    return sorted(zone_peers, key=rank)[:count]


def sources(peers: peers_module.PeerTable) -> list[peers_module.Peer]:
    """Returns the watchers that a daemon polls; none if it is a watcher.

    Those that have said that they hear the store come first: a daemon that has
    become a watcher because another one was lost may not know it yet.
    """
    zone_peers = _zone_peers(peers)
    if len(zone_peers) <= MAX_DAEMONS_WITHOUT_FOLLOWERS:
        return []
    zone_watchers = _zone_watchers(zone_peers)
    own = peers.own
    if own in zone_watchers:
        return []

    def rank(peer: peers_module.Peer) -> tuple[bool, int]:
        member = peer.member
        return not member.watches, _hash(own.member.mesh, member.mesh)

    zone_watchers.sort(key=rank)
    return zone_watchers[:SOURCE_COUNT]


class Sources:
    """The result of ``sources``, computed again only when peers change."""

    def __init__(self, peers: peers_module.PeerTable) -> None:
        """Creates the result for a table of peers."""
        self._peers = peers
        self._revision = -1
        self._sources: list[peers_module.Peer] = []

    def current(self) -> list[peers_module.Peer]:
        """Returns the watchers that the daemon polls; see ``sources``."""
        if self._revision != self._peers.revision:
            self._revision = self._peers.revision
            self._sources = sources(self._peers)
        return self._sources


def confirmed(
    own_sources: Iterable[peers_module.Peer], now: float, ttl_s: float
) -> list[peers_module.Peer]:
    """Returns the polled watchers that lately said that they hear the store.

    Args:
        own_sources: The watchers that the daemon polls.
        now: Time on the clock of ``time.monotonic``, in seconds.
        ttl_s: Time for which what a watcher said counts, in seconds.
    """
    return [peer for peer in own_sources if peer.is_watching(now, ttl_s)]


def must_watch(
    own_sources: Iterable[peers_module.Peer], now: float, ttl_s: float
) -> bool:
    """Tells whether a daemon must watch the store itself.

    Args:
        own_sources: The watchers that the daemon polls.
        now: Time on the clock of ``time.monotonic``, in seconds.
        ttl_s: Time for which what a watcher said counts, in seconds.
    """
    return len(confirmed(own_sources, now, ttl_s)) < MIN_CONFIRMED


def first(peers: peers_module.PeerTable, count: int) -> list[peers_module.Peer]:
    """Returns the daemons of the own zone that are the first to be watchers."""
    return _zone_watchers(_zone_peers(peers))[:count]
