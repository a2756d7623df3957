"""Parses the status that each zone writes to ``status/<zone>`` in the store.

The status may come from a daemon of another version. A missing or malformed
field therefore counts as unknown and is not an error.
"""

from collections.abc import Iterable
import json
from typing import Any
from typing import NamedTuple

STATUS_PREFIX = "status/"


class HeardZone(NamedTuple):
    """What one zone reports of another zone.

    Attributes:
        zone: Name of the other zone.
        age_ms: Time from the receipt of the other zone's last summary to the
            writing of the status.
        version: Version in that summary.
    """

    zone: str
    age_ms: int
    version: int


class ZoneStatus(NamedTuple):
    """The status of an availability zone.

    Attributes:
        zone: Name of the zone.
        lowest_version: Lowest version in force in the zone; None if the
            status is missing or cannot be read.
        highest_version: Highest version in force; the lowest one if the
            status does not have it.
        written_ms: Time at which the status was written, in milliseconds since
            1970; 0 if not known.
        proxies: One table for each proxy, usually with ``instance``,
            ``version`` and ``state``.
        heard: What the zone reports of other zones.
    """

    zone: str
    lowest_version: int | None = None
    highest_version: int = 0
    written_ms: int = 0
    proxies: tuple[dict[str, Any], ...] = ()
    heard: tuple[HeardZone, ...] = ()

    @property
    def rejected(self) -> tuple[int, str]:
        """Highest version that a proxy rejected, and the error code.

        The version is 0 if no proxy rejected one.
        """
        found = (
            (
                _non_negative_int(member.get("rejected_version")) or 0,
                str(member.get("rejected_code") or "no code"),
            )
            for member in self.proxies
        )
        return max(found, default=(0, ""))


def _non_negative_int(value: Any) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        return None
    return value


def _dicts(value: Any) -> tuple[dict[str, Any], ...]:
    rows = value if isinstance(value, list) else []
    return tuple(row for row in rows if isinstance(row, dict))


def _parse_heard(value: Any) -> tuple[HeardZone, ...]:
    return tuple(
        HeardZone(
            str(row.get("zone", "")),
            _non_negative_int(row.get("age_ms")) or 0,
            _non_negative_int(row.get("version")) or 0,
        )
        for row in _dicts(value)
    )


def status_path(zone: str) -> str:
    """Returns the path of a zone's status in the store."""
    return f"{STATUS_PREFIX}{zone}"


def parse(zone: str, data: bytes | None) -> ZoneStatus:
    """Parses the status of a zone; a malformed one counts as missing.

    Args:
        zone: Name of the zone.
        data: The stored status; None if there is none.
    """
    try:
        table = json.loads(data or b"")
    except (ValueError, RecursionError):
        return ZoneStatus(zone)
    if not isinstance(table, dict):
        return ZoneStatus(zone)
    lowest = _non_negative_int(table.get("lowest_version"))
    return ZoneStatus(
        zone,
        lowest,
        max(_non_negative_int(table.get("highest_version")) or 0, lowest or 0),
        _non_negative_int(table.get("written_ms")) or 0,
        _dicts(table.get("proxies")),
        _parse_heard(table.get("heard")),
    )


def highest_version(statuses: Iterable[ZoneStatus]) -> int:
    """Returns the highest version in force in any zone, or 0."""
    return max((status.highest_version for status in statuses), default=0)


def lowest_version(statuses: Iterable[ZoneStatus]) -> int | None:
    """Returns the lowest version in force in any zone.

    Returns None if there is no status or if the lowest version of a zone is not
    known.
    """
    versions = [status.lowest_version for status in statuses]
    known = [version for version in versions if version is not None]
    return min(known) if known and len(known) == len(versions) else None
