"""Selects the gateways of an availability zone."""

from collections.abc import Iterable
import functools

from rattangauge import util
from rattangauge.generated import messages

# One gateway watches while the failure of the other is being detected.
GATEWAYS_PER_ZONE = 2

# Every member selects gateways several times a second.
_rank = functools.lru_cache(maxsize=4_096)(util.rendezvous_rank)

_LIVE = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)


def gateways(
    zone: str, members: Iterable[messages.Member]
) -> list[messages.Member]:
    """Returns the gateways of a zone, the first one first.

    Args:
        zone: Name of the zone.
        members: Members of the zone; dead ones are passed over.
    """
    live = [member for member in members if member.state in _LIVE]
    live.sort(
        key=lambda member: _rank(zone, member.instance),
        reverse=True,
    )
    return live[:GATEWAYS_PER_ZONE]
