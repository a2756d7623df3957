"""Tells which proxies and zones lack a version, and why."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from rattangauge.config import head as head_module
from rattangauge.config import zone_status

# A zone writes its status at least every 4 s (``statuswriter``), 2 s late at
# most. An older status says that the zone does not reach the store.
SILENT_MS = 10_000

_GONE = ("dead", "left")


class Proxy(NamedTuple):
    """One proxy.

    Attributes:
        zone: Its availability zone.
        instance: Its instance.
        version: Version in force; 0 if there is none.
        age_ms: Time since this version was published, or None if not known.
        seen_ms: Time since the proxy was last heard of when the status was
            written, or None if not known.
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


class Zone(NamedTuple):
    """One availability zone.

    Attributes:
        zone: Its name.
        lowest_version: Lowest version in force; None if not known.
        highest_version: Highest version in force.
        age_ms: Time since the lowest version was published, or None.
        status_age_ms: Time since the zone wrote its status, or None.
        gone: Proxies that are dead or have left.
        behind: Whether a proxy of the zone lacks the newest version.
        reason: Why it is behind or does not report, or empty.
        reporting: Whether the zone wrote its status lately.
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


class Report(NamedTuple):
    """Where the newest version is in force."""

    version: int
    zones: list[Zone]
    proxies: list[Proxy]


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
    # Only gateways read the store, so the others never see what they refuse.
    rejected, code = zone_rejected
    if rejected > version:
        return f"a gateway of its zone rejected version {rejected} [{code}]"
    return "it has not received the newest version yet"


def _proxy(
    status: zone_status.ZoneStatus,
    member: dict[str, Any],
    newest: int,
    head: head_module.Head | None,
    now_ms: int,
) -> Proxy:
    value = member.get("version")
    version = value if isinstance(value, int) else 0
    behind = version < newest
    reason = ""
    if behind:
        reason = _proxy_reason(member, version, status.rejected)
    instance = str(member.get("instance", ""))
    seen_ms = member.get("age_ms")
    return Proxy(
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


def _behind_reason(status: zone_status.ZoneStatus, proxies: list[Proxy]) -> str:
    reason = "it has not received the newest version yet"
    if proxies:
        behind = sum(proxy.behind for proxy in proxies)
        reason = f"{behind} of {len(proxies)} proxies are behind"
    rejected, code = status.rejected
    if rejected > (status.lowest_version or 0):
        reason += f"; version {rejected} was rejected [{code}]"
    return reason


def _silent_reasons(
    zone: str,
    status_age_ms: int,
    statuses: list[zone_status.ZoneStatus],
    now_ms: int,
) -> list[str]:
    """Tells since when a zone does not report and who still hears it."""
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


def _zone(
    status: zone_status.ZoneStatus,
    proxies: list[Proxy],
    statuses: list[zone_status.ZoneStatus],
    newest: int,
    head: head_module.Head | None,
    now_ms: int,
) -> Zone:
    lowest = status.lowest_version
    behind = lowest is None or lowest < newest
    age_ms = max(0, now_ms - status.written_ms) if status.written_ms else None
    is_silent = age_ms is not None and age_ms > SILENT_MS
    reasons = []
    if lowest is None:
        reasons.append("its status is missing or cannot be read")
    elif behind:
        reasons.append(_behind_reason(status, proxies))
    if is_silent:
        reasons += _silent_reasons(status.zone, age_ms, statuses, now_ms)
    return Zone(
        status.zone,
        lowest,
        status.highest_version,
        _age_ms(head, lowest, now_ms),
        age_ms,
        sum(member.get("state") in _GONE for member in status.proxies),
        behind,
        "; ".join(reasons),
        lowest is not None and not is_silent,
    )


def highest_rejected(members: Iterable[dict[str, Any]]) -> int:
    """Returns the highest version that a member rejected, or 0."""
    values = [member.get("rejected_version") for member in members]
    return max((v for v in values if isinstance(v, int)), default=0)


def report(
    newest: int,
    head: head_module.Head | None,
    statuses: Iterable[zone_status.ZoneStatus],
    now_ms: int,
) -> Report:
    """Compares what the zones report with the newest version.

    Args:
        newest: The newest version.
        head: The head with the log, if it could be read.
        statuses: The status of each zone.
        now_ms: The time, in milliseconds since 1970.
    """
    made = Report(newest, [], [])
    all_statuses = list(statuses)
    for status in all_statuses:
        proxies = [
            _proxy(status, member, newest, head, now_ms)
            for member in status.proxies
            if member.get("state") not in _GONE
        ]
        made.proxies.extend(proxies)
        made.zones.append(
            _zone(status, proxies, all_statuses, newest, head, now_ms)
        )
    return made


def from_members(members: Iterable[Any]) -> list[zone_status.ZoneStatus]:
    """Groups the members of a daemon's ``/status`` by zone."""
    by_zone: dict[str, list[dict[str, Any]]] = {}
    for member in members:
        if isinstance(member, dict):
            by_zone.setdefault(str(member.get("zone", "")), []).append(member)
    return [_grouped(zone, by_zone[zone]) for zone in sorted(by_zone) if zone]


def _grouped(
    zone: str, members: list[dict[str, Any]]
) -> zone_status.ZoneStatus:
    values = [m.get("version") for m in members if m.get("state") not in _GONE]
    versions = [value if isinstance(value, int) else 0 for value in values]
    lowest, highest = min(versions, default=0), max(versions, default=0)
    return zone_status.ZoneStatus(zone, lowest, highest, proxies=tuple(members))
