"""What the zones report in the store's ``status/<zone>`` objects."""

from collections.abc import Iterable
import json
from typing import Any
from typing import NamedTuple

PREFIX = "status/"


class Heard(NamedTuple):
    """What one zone has heard of another zone.

    Attributes:
        zone: The other zone.
        age_ms: Time since it was last heard from when the status was written.
        version: Highest version that it reported.
    """

    zone: str
    age_ms: int
    version: int


class ZoneStatus(NamedTuple):
    """The status that a zone wrote.

    Attributes:
        zone: Name of the zone.
        lowest_version: Lowest version in force in the zone; None if the
            status is missing or cannot be read.
        highest_version: Highest version in force; the lowest one if the
            status does not name it.
        written_ms: When it was written, in milliseconds since 1970, or 0.
        proxies: One table for each proxy, with at least ``instance``,
            ``version`` and ``state``.
        heard: What the zone has heard of other zones.
    """

    zone: str
    lowest_version: int | None = None
    highest_version: int = 0
    written_ms: int = 0
    proxies: tuple[dict[str, Any], ...] = ()
    heard: tuple[Heard, ...] = ()

    @property
    def rejected(self) -> tuple[int, str]:
        """Highest version that a proxy rejected, and its code; 0 if none."""
        found = (
            (
                _number(member.get("rejected_version")) or 0,
                str(member.get("rejected_code") or "no code"),
            )
            for member in self.proxies
        )
        return max(found, default=(0, ""))


def _number(value: Any) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        return None
    return value


def _tables(value: Any) -> tuple[dict[str, Any], ...]:
    rows = value if isinstance(value, list) else []
    return tuple(row for row in rows if isinstance(row, dict))


def _heard(value: Any) -> tuple[Heard, ...]:
    return tuple(
        Heard(
            str(row.get("zone", "")),
            _number(row.get("age_ms")) or 0,
            _number(row.get("version")) or 0,
        )
        for row in _tables(value)
    )


def path(zone: str) -> str:
    """Returns the path of a zone's status in the store."""
    return f"{PREFIX}{zone}"


def parse(zone: str, data: bytes | None) -> ZoneStatus:
    """Parses the status of a zone; a faulty one counts as missing."""
    try:
        table = json.loads(data or b"")
    except (ValueError, RecursionError):
        return ZoneStatus(zone)
    if not isinstance(table, dict):
        return ZoneStatus(zone)
    lowest = _number(table.get("lowest_version"))
    return ZoneStatus(
        zone,
        lowest,
        max(_number(table.get("highest_version")) or 0, lowest or 0),
        _number(table.get("written_ms")) or 0,
        _tables(table.get("proxies")),
        _heard(table.get("heard")),
    )


def highest(statuses: Iterable[ZoneStatus]) -> int:
    """Returns the highest version that any zone runs, or 0."""
    return max((status.highest_version for status in statuses), default=0)


def lowest(statuses: Iterable[ZoneStatus]) -> int | None:
    """Returns the lowest version that any zone runs; None if not known."""
    versions = [status.lowest_version for status in statuses]
    known = [version for version in versions if version is not None]
    return min(known) if known and len(known) == len(versions) else None
