"""Command line of ``rattangauged``, the daemon beside each upstream."""

import importlib.metadata
import pathlib
import sys

import anyio
import cyclopts

from rattangauge import errors
from rattangauge import log
from rattangauge import node
from rattangauge import settings as settings_module
from rattangauge.generated import errorcodes

# Later versions use io_uring, which the instances do not permit.
UVLOOP_VERSION = "0.17.0"

EXIT_FINDINGS = 2

app = cyclopts.App(name="rattangauged", help="Daemon of the service mesh.")


def check_uvloop(version: str) -> None:
    """Checks the installed version of uvloop.

    Raises:
        errors.FindingsError: The version is not ``UVLOOP_VERSION``.
    """
    if version == UVLOOP_VERSION:
        return
    message = f"uvloop {version} is installed, {UVLOOP_VERSION} is required"
    code = errorcodes.SETTINGS_LIBRARY
    raise errors.FindingsError([errors.Finding("uvloop", "", message, code)])


@app.default
def rattangauged(*, settings: pathlib.Path, check: bool = False) -> int:
    """Runs the daemon.

    Args:
        settings: TOML file with the settings.
        check: Check the settings and exit.
    """
    try:
        loaded = settings_module.load(settings)
        check_uvloop(importlib.metadata.version("uvloop"))
    except errors.FindingsError as error:
        print(error, file=sys.stderr)
        return EXIT_FINDINGS
    if check:
        print(f"{settings}: no findings")
        return 0
    log.configure(loaded)
    options = {"use_uvloop": True}
    anyio.run(node.run, loaded, backend_options=options)
    return 0


def main() -> None:
    """Runs the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
