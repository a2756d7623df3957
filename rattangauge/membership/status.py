"""The status report of an availability zone, built from its members' records.

The fields of the ``TypedDict`` classes are the keys of the stored JSON object.
"""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from rattangauge.generated import messages
from rattangauge.membership import members as members_module


class ProxyStatus(TypedDict):
    """Status of one proxy.

    ``age_ms`` is the time since the proxy's last answer or new record.
    """

    instance: str
    version: int
    age_ms: int
    upstream: str
    service: str
    state: str
    rejected_version: int
    rejected_code: str


class HeardZone(TypedDict):
    """The newest summary of another zone.

    ``age_ms`` is the time since it was received and ``version`` the lowest
    version in force among the members of that zone.
    """

    zone: str
    age_ms: int
    version: int


class ZoneStatus(TypedDict):
    """Status of a zone.

    ``first_ms`` and ``all_ms`` are the times at which the first and the last
    live proxy were known to have the highest version; 0 if not yet.
    ``slowest`` is a proxy with the lowest version while proxies lack the
    highest one, and afterwards the last proxy that lacked it. ``writer`` is the
    instance that writes the status.
    """

    zone: str
    region: str
    written_ms: int
    writer: str
    lowest_version: int
    highest_version: int
    first_ms: int
    all_ms: int
    slowest: str
    store_reachable: bool | None
    proxies: list[ProxyStatus]
    heard: list[HeardZone]


class DistributionProgress(NamedTuple):
    """How far the highest version has been distributed in the zone.

    The fields have the same meaning as in ``ZoneStatus``.
    """

    version: int = 0
    first_ms: int = 0
    all_ms: int = 0
    slowest: str = ""


def advance(
    progress: DistributionProgress, live: Iterable[messages.Member], now_ms: int
) -> DistributionProgress:
    """Returns the progress after the versions that are now in force.

    Args:
        progress: The previous progress.
        live: Members of the zone that are not dead.
        now_ms: Time in milliseconds since 1970.
    """
    members = sorted(live, key=lambda member: member.instance)
    highest = max((member.version for member in members), default=0)
    if highest > progress.version:
        progress = DistributionProgress(highest, now_ms)
    behind = [m for m in members if m.version < progress.version]
    if behind:
        slowest = min(behind, key=lambda member: member.version)
        return progress._replace(slowest=slowest.instance)
    if progress.version and not progress.all_ms:
        return progress._replace(all_ms=now_ms)
    return progress


def _proxy_status(
    member: messages.Member, table: members_module.MemberTable, now: float
) -> ProxyStatus:
    return ProxyStatus(
        instance=member.instance,
        version=member.version,
        age_ms=round(1000 * table.age_s(member.instance, now)),
        upstream=member.upstream.name.lower(),
        service=member.service,
        state=member.state.name.lower(),
        rejected_version=member.rejected_version,
        rejected_code=member.rejected_code,
    )


def _heard_zones(
    table: members_module.MemberTable, now: float
) -> list[HeardZone]:
    summaries = table.summaries
    return [
        HeardZone(
            zone=zone,
            age_ms=round(1000 * summaries.age_s(zone, now)),
            version=summary.version,
        )
        for zone, summary in sorted(summaries.summaries.items())
        if zone != table.own.zone
    ]


def build_zone_status(
    table: members_module.MemberTable,
    progress: DistributionProgress,
    store_reachable: bool | None,
    now: float,
    now_ms: int,
) -> ZoneStatus:
    """Returns the status of the zone.

    Args:
        table: Members of the zone.
        progress: How far the highest version has been distributed.
        store_reachable: Whether the store answered; None if unknown.
        now: Monotonic time in seconds.
        now_ms: Time in milliseconds since 1970.
    """
    own = table.own
    records = sorted(table.members.values(), key=lambda m: m.instance)
    versions = [member.version for member in table.live]
    return ZoneStatus(
        zone=own.zone,
        region=own.region,
        written_ms=now_ms,
        writer=own.instance,
        lowest_version=min(versions, default=0),
        highest_version=max(versions, default=0),
        first_ms=progress.first_ms,
        all_ms=progress.all_ms,
        slowest=progress.slowest,
        store_reachable=store_reachable,
        proxies=[_proxy_status(member, table, now) for member in records],
        heard=_heard_zones(table, now),
    )


def without_times(status: ZoneStatus) -> dict[str, Any]:
    """Returns a status without the times and ages, to compare two of them.

    These change with every status, even if nothing has happened in the zone.
    """
    table: dict[str, Any] = {**status}
    del table["written_ms"]
    table["proxies"] = [{**proxy, "age_ms": 0} for proxy in status["proxies"]]
    table["heard"] = [{**heard, "age_ms": 0} for heard in status["heard"]]
    return table
