"""The command ``apply``: publishes objects and waits for them."""

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

POLL_S = 0.5


class ApplyOptions(NamedTuple):
    """Options of ``apply``; see the command line."""

    paths: list[pathlib.Path]
    deleted: list[str]
    from_version: int | None
    base: int | None
    operation: str
    author: str
    above_zones: bool
    wait_s: float | None
    as_json: bool


def parse_key(text: str) -> tuple[str, str]:
    """Parses ``KIND/NAME``.

    Raises:
        errors.CodedError: ``operators.request``.
    """
    kind, _, name = text.partition("/")
    if kind not in generated.KINDS or not name:
        kinds = ", ".join(generated.KINDS)
        message = f"{text!r} is not KIND/NAME with a kind of {kinds}"
        raise errors.CodedError(errorcodes.OPERATORS_REQUEST, message)
    return kind, name


def request_of(options: ApplyOptions) -> publisher.Request:
    """Reads the files and returns the publish to ask for.

    Raises:
        errors.FindingsError: The files have findings.
        errors.CodedError: ``operators.request`` if options do not fit.
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
        tuple(parse_key(text) for text in options.deleted),
        options.base,
        options.from_version,
        options.above_zones,
        files.places,
    )


async def _statuses(store: object_store.Store) -> list[zone_status.ZoneStatus]:
    current = await edition_store.read(store)
    return await edition_store.statuses(store, current.objects)


def _show(
    bars: rich.progress.Progress,
    tasks: dict[str, rich.progress.TaskID],
    report: progress_module.Report,
) -> None:
    for zone in report.zones:
        if zone.zone not in tasks:
            tasks[zone.zone] = bars.add_task(rich.markup.escape(zone.zone))
        proxies = [p for p in report.proxies if p.zone == zone.zone]
        done = sum(not proxy.behind for proxy in proxies)
        bars.update(
            tasks[zone.zone],
            total=len(proxies) or 1,
            completed=done if proxies else int(not zone.behind),
        )


async def _behind(
    store: object_store.Store,
    version: int,
    show: Callable[[progress_module.Report], None],
) -> str:
    """Returns which zones lack a version and why; empty if none does."""
    try:
        statuses = await _statuses(store)
    except errors.CodedError as error:
        return str(error)
    report = progress_module.report(version, None, statuses, util.now_ms())
    show(report)
    if not report.zones:
        return "no zone reports its status"
    return describe([zone for zone in report.zones if zone.behind])


async def wait(store: object_store.Store, version: int, limit_s: float) -> None:
    """Shows progress until all zones have a version in force.

    Raises:
        errors.CodedError: ``publish.not_everywhere`` after ``limit_s``.
    """
    console = rich.console.Console(stderr=True)
    tasks: dict[str, rich.progress.TaskID] = {}
    behind = "the store did not answer"
    with rich.progress.Progress(console=console) as bars:
        show = functools.partial(_show, bars, tasks)
        with anyio.move_on_after(limit_s):
            while behind := await _behind(store, version, show):
                await anyio.sleep(POLL_S)
            return
    text = f"version {version} is not everywhere after {limit_s} s: {behind}"
    raise errors.CodedError(errorcodes.PUBLISH_NOT_EVERYWHERE, text)


def describe(zones: list[progress_module.ZoneProgress]) -> str:
    """Names the zones that are behind, and why."""
    return ", ".join(f"{zone.zone} ({zone.reason})" for zone in zones)


async def _collect(store: object_store.Store) -> None:
    # The publish is done; what is not collected now is collected later.
    try:
        await edition_store.collect_unused_parts(store)
    except errors.CodedError as error:
        output.complain(f"old parts were not collected: {error}")


def _tell_retry(error: errors.CodedError, wait_s: float) -> None:
    # Retries take up to 40 s while the store does not answer.
    output.complain(f"trying again in {wait_s:.1f} s: {error}")


def _print(result: publisher.Result, as_json: bool) -> None:
    if as_json:
        output.print_json(result._asdict())
        return
    if not result.published:
        print(f"version {result.version} has these objects already")
        return
    print(f"published version {result.version}: operation {result.operation}")
    for name in result.changed:
        everything = name == head_module.EVERYTHING
        print("  many objects" if everything else f"  {name}")


async def run(
    store_options: store_module.StoreOptions, options: ApplyOptions
) -> int:
    """Publishes, and waits if that is asked for."""
    request = request_of(options)
    async with store_module.open_store(store_options) as store:
        result = await publisher.apply(store, request, notify=_tell_retry)
        _print(result, options.as_json)
        if result.published:
            await _collect(store)
        if options.wait_s is not None:
            await wait(store, result.version, options.wait_s)
    return output.EXIT_OK
