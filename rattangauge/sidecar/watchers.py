"""Chooses which daemons of an availability zone watch the store.

In a small zone each daemon watches. In a large one a few do, since each change
brings the whole configuration: the others pull what has changed from them. A
daemon that does not hear enough watchers watches the store itself.
"""

import collections
from collections.abc import Iterable
import zlib

from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module

# Zones up to this number of daemons have no followers.
SMALL_ZONE = 8
# Watchers of a larger zone: at least this number, or this share.
MIN_WATCHERS = 5
WATCHER_SHARE = 1 / 8
# Watchers that a follower asks, and those of them that it must hear.
SOURCES = 3
MIN_HEARD = 2
# A follower asks its sources at this period, in seconds.
SOURCE_PERIOD_S = 0.5
# A watcher that has not told for this time is not heard any more.
HEARD_S = 1.2


def _weight(*names: str) -> int:
    """Returns a number that all daemons compute alike."""
    return zlib.crc32(" ".join(names).encode())


def _zone_peers(peers: peers_module.PeerTable) -> list[peers_module.Peer]:
    zone = peers.own.member.zone
    return [
        peer
        for peer in peers
        if peer.member.zone == zone
        and peer.member.state == messages.MemberState.ALIVE
        and not peer.failures
    ]


def _chosen(zone_peers: list[peers_module.Peer]) -> list[peers_module.Peer]:
    """Returns the watchers of a zone.

    Those of the service with the most instances go first: each of them has the
    smallest part of its service's calls, so its link has most room.
    """
    count = max(MIN_WATCHERS, round(len(zone_peers) * WATCHER_SHARE))
    instances = collections.Counter(peer.member.service for peer in zone_peers)

    def rank(peer: peers_module.Peer) -> tuple[int, int]:
        return -instances[peer.member.service], _weight(peer.member.mesh)

    return sorted(zone_peers, key=rank)[:count]


def sources(peers: peers_module.PeerTable) -> list[peers_module.Peer]:
    """Returns the watchers that a daemon asks; none if it watches itself."""
    zone_peers = _zone_peers(peers)
    if len(zone_peers) <= SMALL_ZONE:
        return []
    chosen = _chosen(zone_peers)
    own = peers.own
    if own in chosen:
        return []
    chosen.sort(key=lambda peer: _weight(own.member.mesh, peer.member.mesh))
    return chosen[:SOURCES]


def must_watch(sources_of_own: Iterable[peers_module.Peer], now: float) -> bool:
    """Tells whether a daemon watches the store itself.

    Args:
        sources_of_own: The watchers that it asks.
        now: Time on the clock of ``time.monotonic``, in seconds.
    """
    heard = [peer for peer in sources_of_own if peer.watches(now, HEARD_S)]
    return len(heard) < MIN_HEARD
