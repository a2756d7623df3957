"""The command ``status``: the version in force per proxy and per zone."""

from typing import Any

from rattangauge import edition_store
from rattangauge import errors
from rattangauge import util
from rattangauge.commands import daemon
from rattangauge.commands import output
from rattangauge.commands import store as store_module
from rattangauge.config import objects as objects_module
from rattangauge.config import progress
from rattangauge.config import zone_status
from rattangauge.generated import errorcodes
from rattangauge.net import object_store

_DAMAGED_CODES = (errorcodes.STORE_PROTOCOL, errorcodes.PUBLISH_NOT_KEPT)


async def _read_damaged(
    store: object_store.Store, error: errors.CodedError
) -> edition_store.CurrentHead:
    """Returns the head, if it can be read, without its objects.

    The statuses of the zones still show the versions that are in force and
    those that were rejected.
    """
    output.print_error(error)
    try:
        stored_version, head = await edition_store.read_head(store)
    except errors.CodedError as head_error:
        if head_error.code not in _DAMAGED_CODES:
            raise
        stored_version, head = 0, None
    return edition_store.CurrentHead(
        stored_version, head, objects_module.empty_set()
    )


async def _from_store(
    options: store_module.StoreOptions,
) -> progress.ProgressReport:
    async with store_module.open_store(options) as store:
        try:
            current = await edition_store.read(store)
        except errors.CodedError as error:
            if error.code not in _DAMAGED_CODES:
                raise
            current = await _read_damaged(store, error)
        statuses = await edition_store.statuses(store, current.objects)
    newest = current.version
    if current.head is None:
        newest = zone_status.highest_version(statuses)
    return progress.build_report(newest, current.head, statuses, util.now_ms())


async def _from_daemon(
    address: str, timeout_s: float
) -> progress.ProgressReport:
    table = await daemon.request("GET", address, "/status", timeout_s)
    members = table.get("members")
    if not isinstance(members, list):
        text = "the answer has no list of members"
        raise errors.CodedError(errorcodes.OPERATORS_REFUSED, text, address)
    statuses = progress.zone_statuses_from_members(members)
    own_version = table.get("version")
    # The daemon's status does not contain the head. The newest version is the
    # highest one that a member runs or rejected.
    newest = max(
        [own_version if isinstance(own_version, int) else 0]
        + [status.highest_version for status in statuses]
        + [progress.highest_rejected(status.proxies) for status in statuses]
    )
    return progress.build_report(newest, None, statuses, util.now_ms())


def _state_text(behind: bool, reporting: bool = True) -> str:
    if not reporting:
        return "not reporting"
    return "behind" if behind else "current"


def _print(report: progress.ProgressReport) -> None:
    print(f"newest version: {report.version}\n")
    if not report.zones:
        print("no zone has written its status yet")
        return
    rows: list[list[Any]] = [
        [
            zone.zone,
            "-" if zone.lowest_version is None else zone.lowest_version,
            output.format_age(zone.age_ms),
            output.format_age(zone.status_age_ms),
            zone.gone,
            _state_text(zone.behind, zone.reporting),
            zone.reason,
        ]
        for zone in report.zones
    ]
    columns = [
        "zone",
        "version",
        "age",
        "status age",
        "gone",
        "state",
        "reason",
    ]
    output.print_table(columns, rows)
    rows = [
        [
            proxy.zone,
            proxy.instance,
            proxy.version,
            output.format_age(proxy.age_ms),
            output.format_age(proxy.seen_ms),
            proxy.member,
            proxy.upstream,
            _state_text(proxy.behind),
            proxy.reason,
        ]
        for proxy in report.proxies
    ]
    print()
    columns = [
        *("zone", "proxy", "version", "age", "seen", "member", "upstream"),
        *("state", "reason"),
    ]
    output.print_table(columns, rows)


async def run(
    options: store_module.StoreOptions, address: str, as_json: bool
) -> int:
    """Prints the status of all zones and proxies."""
    if address:
        report = await _from_daemon(address, options.timeout_s)
    else:
        report = await _from_store(options)
    if as_json:
        table = {
            "version": report.version,
            "zones": [zone._asdict() for zone in report.zones],
            "proxies": [proxy._asdict() for proxy in report.proxies],
        }
        output.print_json(table)
    else:
        _print(report)
    return output.EXIT_OK
