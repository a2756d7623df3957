"""Progress of a configuration version: proxies and zones that lack it, and why.

The fields of the classes are the keys of the JSON output of the command line.
"""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from rattangauge.config import head as head_module
from rattangauge.config import zone_status

# A zone writes its status at least every 4 s (``net/statuswriter.py``), at most
# 2 s late. An older status means that the zone cannot reach the store.
MAX_STATUS_AGE_MS = 10_000

_GONE_STATES = ("dead", "left")


class ProxyProgress(NamedTuple):
    """Version and state of one proxy.

    Attributes:
        zone: Its availability zone.
        instance: Name of the instance.
        version: Version in force; 0 if there is none.
        age_ms: Time since this version was published; None if not known.
        seen_ms: Time from the proxy's last answer to the writing of the
            status; None if not known.
        member: State of its daemon, such as ``alive``, or empty.
        upstream: State of its upstream, such as ``serving``, or empty.
        behind: Whether it lacks the newest version.
        reason: Why it is behind, or empty.
    """

    zone: str
    instance: str
    version: int
    age_ms: int | None
    seen_ms: int | None
    member: str
    upstream: str
    behind: bool
    reason: str


class ZoneProgress(NamedTuple):
    """Versions and state of one availability zone.

    Attributes:
        zone: Name of the zone.
        lowest_version: Lowest version in force; None if not known.
        highest_version: Highest version in force.
        age_ms: Time since the lowest version was published; None if not known.
        status_age_ms: Time since the zone wrote its status; None if not known.
        gone: Number of proxies that are dead or have left.
        behind: Whether a proxy of the zone lacks the newest version.
        reason: Why the zone is behind or does not report, or empty.
        reporting: Whether the zone has a status that is recent enough.
    """

    zone: str
    lowest_version: int | None
    highest_version: int
    age_ms: int | None
    status_age_ms: int | None
    gone: int
    behind: bool
    reason: str
    reporting: bool


class ProgressReport(NamedTuple):
    """Progress of the newest version in all zones.

    Attributes:
        version: The newest version.
        zones: Progress of each zone.
        proxies: Progress of each proxy that is not dead and has not left.
    """

    version: int
    zones: list[ZoneProgress]
    proxies: list[ProxyProgress]


def _age_ms(
    head: head_module.Head | None, version: int | None, now_ms: int
) -> int | None:
    entry = head_module.find_version(head, version) if version else None
    return max(0, now_ms - entry.published_ms) if entry else None


def _proxy_reason(
    member: dict[str, Any], version: int, zone_rejected: tuple[int, str]
) -> str:
    rejected = member.get("rejected_version")
    if rejected:
        code = member.get("rejected_code") or "no code"
        return f"it rejected version {rejected} [{code}]"
    state = member.get("state")
    if state == "suspect":
        return "it does not answer pings"
    if not version:
        return "it reports no configuration in force"
    # Only the gateways of a zone read the store. The other proxies never
    # receive a version that the gateways rejected.
    rejected, code = zone_rejected
    if rejected > version:
        return f"a gateway of its zone rejected version {rejected} [{code}]"
    return "it has not received the newest version yet"


def _proxy_progress(
    status: zone_status.ZoneStatus,
    member: dict[str, Any],
    newest: int,
    head: head_module.Head | None,
    now_ms: int,
) -> ProxyProgress:
    value = member.get("version")
    version = value if isinstance(value, int) else 0
    behind = version < newest
    reason = ""
    if behind:
        reason = _proxy_reason(member, version, status.rejected)
    instance = str(member.get("instance", ""))
    seen_ms = member.get("age_ms")
    return ProxyProgress(
        status.zone,
        instance,
        version,
        _age_ms(head, version, now_ms),
        seen_ms if isinstance(seen_ms, int) else None,
        str(member.get("state", "")),
        str(member.get("upstream", "")),
        behind,
        reason,
    )


def _zone_reason(
    status: zone_status.ZoneStatus, proxies: list[ProxyProgress]
) -> str:
    reason = "it has not received the newest version yet"
    if proxies:
        behind = sum(proxy.behind for proxy in proxies)
        reason = f"{behind} of {len(proxies)} proxies are behind"
    rejected, code = status.rejected
    if rejected > (status.lowest_version or 0):
        reason += f"; version {rejected} was rejected [{code}]"
    return reason


def _stale_status_reasons(
    zone: str,
    status_age_ms: int,
    statuses: list[zone_status.ZoneStatus],
    now_ms: int,
) -> list[str]:
    """Returns the age of a stale status and which zones heard of the zone.

    The other zones show whether the zone is down or only cut off from the
    store.
    """
    reasons = [f"its status is {status_age_ms // 1000} s old"]
    for other in statuses:
        for heard in other.heard:
            if heard.zone == zone != other.zone:
                age_ms = max(0, now_ms - other.written_ms) + heard.age_ms
                reasons.append(
                    f"{other.zone} heard from it {age_ms // 1000} s ago"
                    f" at version {heard.version}"
                )
    return reasons


def _zone_progress(
    status: zone_status.ZoneStatus,
    proxies: list[ProxyProgress],
    statuses: list[zone_status.ZoneStatus],
    newest: int,
    head: head_module.Head | None,
    now_ms: int,
) -> ZoneProgress:
    lowest = status.lowest_version
    behind = lowest is None or lowest < newest
    age_ms = max(0, now_ms - status.written_ms) if status.written_ms else None
    is_stale = age_ms is not None and age_ms > MAX_STATUS_AGE_MS
    reasons = []
    if lowest is None:
        reasons.append("its status is missing or cannot be read")
    elif behind:
        reasons.append(_zone_reason(status, proxies))
    if is_stale:
        reasons += _stale_status_reasons(status.zone, age_ms, statuses, now_ms)
    return ZoneProgress(
        status.zone,
        lowest,
        status.highest_version,
        _age_ms(head, lowest, now_ms),
        age_ms,
        sum(member.get("state") in _GONE_STATES for member in status.proxies),
        behind,
        "; ".join(reasons),
        lowest is not None and not is_stale,
    )


def highest_rejected(members: Iterable[dict[str, Any]]) -> int:
    """Returns the highest version that a member rejected, or 0."""
    values = [member.get("rejected_version") for member in members]
    return max((v for v in values if isinstance(v, int)), default=0)


def build_report(
    newest: int,
    head: head_module.Head | None,
    statuses: Iterable[zone_status.ZoneStatus],
    now_ms: int,
) -> ProgressReport:
    """Compares the versions that the zones report with the newest version.

    Args:
        newest: The newest version.
        head: The head with the publish log, if it could be read.
        statuses: The status of each zone.
        now_ms: Time in milliseconds since 1970.
    """
    result = ProgressReport(newest, [], [])
    status_list = list(statuses)
    for status in status_list:
        proxies = [
            _proxy_progress(status, member, newest, head, now_ms)
            for member in status.proxies
            if member.get("state") not in _GONE_STATES
        ]
        result.proxies.extend(proxies)
        result.zones.append(
            _zone_progress(status, proxies, status_list, newest, head, now_ms)
        )
    return result


def zone_statuses_from_members(
    members: Iterable[Any],
) -> list[zone_status.ZoneStatus]:
    """Returns a status per zone from the members in a daemon's ``/status``."""
    by_zone: dict[str, list[dict[str, Any]]] = {}
    for member in members:
        if isinstance(member, dict):
            by_zone.setdefault(str(member.get("zone", "")), []).append(member)
    return [
        _status_of_members(zone, by_zone[zone])
        for zone in sorted(by_zone)
        if zone
    ]


def _status_of_members(
    zone: str, members: list[dict[str, Any]]
) -> zone_status.ZoneStatus:
    values = [
        m.get("version") for m in members if m.get("state") not in _GONE_STATES
    ]
    versions = [value if isinstance(value, int) else 0 for value in values]
    lowest, highest = min(versions, default=0), max(versions, default=0)
    return zone_status.ZoneStatus(zone, lowest, highest, proxies=tuple(members))
