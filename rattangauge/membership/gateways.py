"""Selection of the gateways of an availability zone.

Gateways are the members that watch the store and exchange state with other
zones. Every member selects them by rendezvous hashing, so that members which
know the same zone agree without an election and few gateways change when a
member joins or leaves.
"""

from collections.abc import Iterable
import functools

from rattangauge import util
from rattangauge.generated import messages

# With two gateways, one still watches the store while the failure of the other
# one is being detected.
GATEWAYS_PER_ZONE = 2

# Cached, because every member selects gateways several times a second.
_rank = functools.lru_cache(maxsize=4_096)(util.rendezvous_rank)

_LIVE_STATES = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)


def select_gateways(
    zone: str, members: Iterable[messages.Member]
) -> list[messages.Member]:
    """Returns the gateways of a zone, the first gateway first.

    Args:
        zone: Name of the zone.
        members: Members of the zone; those that are dead or have left are
            ignored.
    """
    live = [member for member in members if member.state in _LIVE_STATES]
    live.sort(
        key=lambda member: _rank(zone, member.instance),
        reverse=True,
    )
    return live[:GATEWAYS_PER_ZONE]
