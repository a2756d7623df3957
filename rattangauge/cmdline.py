"""Command line of ``rattangauge``, the operators' tool."""

import dataclasses
import functools
import getpass
import os
import pathlib
import sys
from typing import Annotated

import cyclopts

from rattangauge.commands import applying
from rattangauge.commands import checking
from rattangauge.commands import daemon as daemon_module
from rattangauge.commands import output
from rattangauge.commands import reading
from rattangauge.commands import status as status_module
from rattangauge.commands import store as store_module
from rattangauge.commands import tracing

app = cyclopts.App(
    name="rattangauge",
    help="Publishes and shows the configuration of the mesh.",
    help_epilogue=output.EXIT_CODES_HELP,
)

Json = Annotated[bool, cyclopts.Parameter(name="--json", negative="")]
Daemon = Annotated[str, cyclopts.Parameter(name="--daemon")]
_POSITIVE = cyclopts.validators.Number(gt=0)
Timeout = Annotated[
    float, cyclopts.Parameter(name="--timeout-s", validator=_POSITIVE)
]
Count = Annotated[
    int, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=1))
]
Limit = Annotated[float, cyclopts.Parameter(validator=_POSITIVE)]
Version = Annotated[
    int | None,
    cyclopts.Parameter(validator=cyclopts.validators.Number(gte=0)),
]


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class Store:
    """Options that locate the platform's store.

    Attributes:
        store: Base URL of the platform's object API.
        timeout_s: Time to wait for one answer, in seconds.
    """

    store: Annotated[
        str, cyclopts.Parameter(name="--store", env_var="RATTANGAUGE_STORE")
    ] = ""
    timeout_s: Timeout = 5.0

    @property
    def options(self) -> store_module.StoreOptions:
        """The options in the form that the commands take."""
        return store_module.StoreOptions(self.store, self.timeout_s)


def _user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        # The system's user database has no entry for the user id.
        return "unknown"


@app.command
def check(
    *paths: pathlib.Path,
    against: tuple[pathlib.Path, ...] = (),
    json: Json = False,
) -> int:
    """Checks object files as a whole set, without the store.

    Entries that can never match, and limits that contradict each other, are
    notes; they do not change the exit code.

    Args:
        paths: TOML files and folders of them.
        against: File or folder with the objects in force, to show what differs;
            may be repeated.
        json: Print one JSON document.
    """
    if not paths:
        output.print_error("nothing to check: name files [operators.request]")
        return output.EXIT_USAGE
    return checking.run(list(paths), list(against), json)


@app.command
def apply(
    *paths: pathlib.Path,
    delete: tuple[str, ...] = (),
    from_version: Version = None,
    base: Version = None,
    operation: str = "",
    author: str = "",
    above_zones: bool = False,
    wait: bool = False,
    wait_s: Limit = 60.0,
    store: Store = Store(),
    json: Json = False,
) -> int:
    """Publishes objects as one new version.

    Args:
        paths: TOML files and folders with objects to add or to replace.
        delete: KIND/NAME of an object to delete; may be repeated.
        from_version: Publish the content of an old version as a new version.
        base: Version on which the files are based; the newest one by default.
        operation: Operation id of a publish that could not be confirmed.
        author: Who publishes; the user of the system by default.
        above_zones: Take a version above all that zones report, after the
            store was restored from a backup.
        wait: Show progress until all zones have the version in force.
        wait_s: Time to wait for the zones, in seconds.
        store: Where the platform's store is.
        json: Print one JSON document.
    """
    options = applying.ApplyOptions(
        list(paths),
        list(delete),
        from_version,
        base,
        operation,
        author or _user(),
        above_zones,
        wait_s if wait else None,
        json,
    )
    return output.run(functools.partial(applying.run, store.options, options))


@app.command
def get(
    subject: str = "",
    *,
    version: Version = None,
    store: Store = Store(),
    json: Json = False,
) -> int:
    """Prints objects as TOML.

    Args:
        subject: KIND or KIND/NAME; all objects if it is left out.
        version: A kept version; the newest one by default.
        store: Where the platform's store is.
        json: Print one JSON document.
    """
    command = functools.partial(
        reading.get, store.options, subject, version, json
    )
    return output.run(command)


@app.command
def diff(
    *paths: pathlib.Path,
    version: Version = None,
    store: Store = Store(),
    json: Json = False,
) -> int:
    """Prints what files would change, or what changed since a version.

    Args:
        paths: TOML files and folders to compare.
        version: A kept version to compare with; the newest one by default.
        store: Where the platform's store is.
        json: Print one JSON document.
    """
    command = functools.partial(
        reading.diff, store.options, list(paths), version, json
    )
    return output.run(command)


@app.command
def history(
    *,
    limit: Count = 20,
    store: Store = Store(),
    json: Json = False,
) -> int:
    """Prints the last publishes, the newest one first.

    Args:
        limit: Number of publishes to print.
        store: Where the platform's store is.
        json: Print one JSON document.
    """
    command = functools.partial(reading.history, store.options, limit, json)
    return output.run(command)


@app.command
def status(
    *,
    daemon: Daemon = "",
    store: Store = Store(),
    json: Json = False,
) -> int:
    """Prints the version in force per zone and per proxy, and who is behind.

    Args:
        daemon: IP:PORT of a daemon's operators' port to ask instead of the
            store.
        store: Where the platform's store is.
        json: Print one JSON document.
    """
    command = functools.partial(status_module.run, store.options, daemon, json)
    return output.run(command)


@app.command
def explain(
    subject: str,
    *,
    daemon: Daemon,
    timeout_s: Timeout = 5.0,
    json: Json = False,
) -> int:
    """Prints what a daemon decided about a subject, and why.

    Args:
        subject: Such as "version 7", "instance a" or "upstream a".
        daemon: IP:PORT of the daemon's operators' port.
        timeout_s: Time to wait for the answer, in seconds.
        json: Print one JSON document.
    """
    command = functools.partial(
        daemon_module.explain, daemon, subject, timeout_s, json
    )
    return output.run(command)


@app.command
def drain(
    *, daemon: Daemon, timeout_s: Timeout = 5.0, json: Json = False
) -> int:
    """Starts the graceful shutdown of a daemon.

    Args:
        daemon: IP:PORT of the daemon's operators' port.
        timeout_s: Time to wait for the answer, in seconds.
        json: Print one JSON document.
    """
    command = functools.partial(daemon_module.drain, daemon, timeout_s, json)
    return output.run(command)


@app.command
def trace(request: str, *logs: pathlib.Path, json: Json = False) -> int:
    """Prints the way of one request through the logs of the daemons.

    Args:
        request: Id of the request.
        logs: Files with the logs; standard input if there are none.
        json: Print one JSON document.
    """
    return tracing.trace(request, logs, json)


@app.command
def why(*logs: pathlib.Path) -> int:
    """Counts the failed requests in the logs of the daemons by cause.

    Args:
        logs: Files with the logs; standard input if there are none.
    """
    return tracing.why(logs)


def run(tokens: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    try:
        code = app(tokens, exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:
        # cyclopts has written the error to standard error.
        return output.EXIT_USAGE
    return code if isinstance(code, int) else output.EXIT_OK


def main() -> None:
    """Runs the command line."""
    try:
        code = run()
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe. Python flushes standard output again at
        # exit, which must not fail a second time.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = output.EXIT_INTERRUPTED
    sys.exit(code)


if __name__ == "__main__":
    main()
