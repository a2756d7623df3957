"""The command ``apply``: publishes objects and waits for the zones."""

from collections.abc import Callable
import functools
import pathlib
from typing import NamedTuple

import anyio
import rich.console
import rich.markup
import rich.progress

from rattangauge import edition_store
from rattangauge import errors
from rattangauge import publisher
from rattangauge import util
from rattangauge.commands import checking
from rattangauge.commands import output
from rattangauge.commands import store as store_module
from rattangauge.config import head as head_module
from rattangauge.config import progress as progress_module
from rattangauge.config import zone_status
from rattangauge.generated import errorcodes
from rattangauge.generated import objects as generated
from rattangauge.net import object_store

# Time between two reads of the zones' statuses.
POLL_PERIOD_S = 0.5


class ApplyOptions(NamedTuple):
    """Options of ``apply``; ``cmdline.apply`` describes them.

    ``wait_s`` is None if the command does not wait for the zones.
    """

    paths: list[pathlib.Path]
    deleted: list[str]
    from_version: int | None
    base: int | None
    operation: str
    author: str
    above_zones: bool
    wait_s: float | None
    as_json: bool


def parse_object_key(text: str) -> tuple[str, str]:
    """Parses ``KIND/NAME`` of an object.

    Raises:
        errors.CodedError: ``operators.request`` if the text has another form
            or the kind does not exist.
    """
    kind, _, name = text.partition("/")
    if kind not in generated.KINDS or not name:
        kinds = ", ".join(generated.KINDS)
        message = f"{text!r} is not KIND/NAME with a kind of {kinds}"
        raise errors.CodedError(errorcodes.OPERATORS_REQUEST, message)
    return kind, name


def build_request(options: ApplyOptions) -> publisher.Request:
    """Reads the files and returns the publish request.

    Raises:
        errors.FindingsError: The files have findings.
        errors.CodedError: ``operators.request`` if the options do not fit
            together.
    """
    if options.from_version is not None and (options.paths or options.deleted):
        message = "--from-version takes neither files nor --delete"
        raise errors.CodedError(errorcodes.OPERATORS_REQUEST, message)
    if not any(
        (
            options.paths,
            options.deleted,
            options.from_version is not None,
            options.above_zones,
        )
    ):
        message = "nothing to apply: name files or an option"
        raise errors.CodedError(errorcodes.OPERATORS_REQUEST, message)
    files = checking.read(options.paths)
    if files.findings:
        raise errors.FindingsError(files.findings)
    return publisher.Request(
        files.objects,
        options.author,
        options.operation or publisher.new_operation_id(),
        tuple(parse_object_key(text) for text in options.deleted),
        options.base,
        options.from_version,
        options.above_zones,
        files.places,
    )


async def _read_statuses(
    store: object_store.Store,
) -> list[zone_status.ZoneStatus]:
    current = await edition_store.read(store)
    return await edition_store.statuses(store, current.objects)


def _show_progress(
    bars: rich.progress.Progress,
    tasks: dict[str, rich.progress.TaskID],
    report: progress_module.ProgressReport,
) -> None:
    for zone in report.zones:
        if zone.zone not in tasks:
            tasks[zone.zone] = bars.add_task(rich.markup.escape(zone.zone))
        proxies = [p for p in report.proxies if p.zone == zone.zone]
        current_count = sum(not proxy.behind for proxy in proxies)
        bars.update(
            tasks[zone.zone],
            total=len(proxies) or 1,
            completed=current_count if proxies else int(not zone.behind),
        )


async def _describe_zones_behind(
    store: object_store.Store,
    version: int,
    show_progress: Callable[[progress_module.ProgressReport], None],
) -> str:
    """Returns which zones lack a version and why; empty if none does.

    The error of a failed read is returned as text, since the wait goes on.
    """
    try:
        statuses = await _read_statuses(store)
    except errors.CodedError as error:
        return str(error)
    report = progress_module.build_report(
        version, None, statuses, util.now_ms()
    )
    show_progress(report)
    if not report.zones:
        return "no zone reports its status"
    return describe([zone for zone in report.zones if zone.behind])


async def wait(store: object_store.Store, version: int, limit_s: float) -> None:
    """Shows progress until all zones have a version in force.

    Raises:
        errors.CodedError: ``publish.not_everywhere`` after ``limit_s`` seconds.
    """
    console = rich.console.Console(stderr=True)
    tasks: dict[str, rich.progress.TaskID] = {}
    behind = "the store did not answer"
    with rich.progress.Progress(console=console) as bars:
        show_progress = functools.partial(_show_progress, bars, tasks)
        with anyio.move_on_after(limit_s):
            while behind := await _describe_zones_behind(
                store, version, show_progress
            ):
                await anyio.sleep(POLL_PERIOD_S)
            return
    text = f"version {version} is not everywhere after {limit_s} s: {behind}"
    raise errors.CodedError(errorcodes.PUBLISH_NOT_EVERYWHERE, text)


def describe(zones: list[progress_module.ZoneProgress]) -> str:
    """Returns the names of zones, each with the reason why it is behind."""
    return ", ".join(f"{zone.zone} ({zone.reason})" for zone in zones)


async def _collect_unused_parts(store: object_store.Store) -> None:
    # The publish has succeeded, so a failure here is only reported. A later
    # collection deletes the remaining parts.
    try:
        await edition_store.collect_unused_parts(store)
    except errors.CodedError as error:
        output.print_error(f"old parts were not collected: {error}")


def _report_retry(error: errors.CodedError, wait_s: float) -> None:
    # All attempts together take up to 40 s while the store does not answer, so
    # each retry is reported.
    output.print_error(f"trying again in {wait_s:.1f} s: {error}")


def _print(result: publisher.Result, as_json: bool) -> None:
    if as_json:
        output.print_json(result._asdict())
        return
    if not result.published:
        print(f"version {result.version} has these objects already")
        return
    print(f"published version {result.version}: operation {result.operation}")
    for name in result.changed:
        is_everything = name == head_module.EVERYTHING
        print("  many objects" if is_everything else f"  {name}")


async def run(
    store_options: store_module.StoreOptions, options: ApplyOptions
) -> int:
    """Publishes objects, and waits for the zones if the options say so."""
    request = build_request(options)
    async with store_module.open_store(store_options) as store:
        result = await publisher.apply(store, request, notify=_report_retry)
        _print(result, options.as_json)
        if result.published:
            await _collect_unused_parts(store)
        if options.wait_s is not None:
            await wait(store, result.version, options.wait_s)
    return output.EXIT_OK
