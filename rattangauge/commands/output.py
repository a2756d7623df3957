"""Exit codes and output of the commands, as text or JSON."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import sys
from typing import Any

import anyio
import rich.console
import rich.markup
import rich.table

from rattangauge import errors
from rattangauge.generated import errorcodes

EXIT_OK = 0
EXIT_FINDINGS = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNAVAILABLE = 4
EXIT_UNFINISHED = 5
EXIT_NOT_EVERYWHERE = 6
EXIT_NOT_FOUND = 7
EXIT_INTERRUPTED = 130

# Width of tables that are not printed to a terminal.
PIPE_WIDTH_COLUMNS = 240

EXIT_CODES_HELP = """
Exit codes: 0 done; 1 the objects have findings; 2 wrong usage; 3 refused (a
conflict, a version or an object that does not exist, a zone above the head);
4 the store or the daemon did not answer as expected; 5 the publish could not
be confirmed; 6 the version is not in force everywhere in time; 7 the logs do
not name the request; 130 interrupted.
"""

_EXIT_CODE_BY_ERROR_CODE = {
    errorcodes.PUBLISH_CONFLICT: EXIT_REFUSED,
    errorcodes.PUBLISH_NO_OBJECT: EXIT_REFUSED,
    errorcodes.PUBLISH_NOT_KEPT: EXIT_REFUSED,
    errorcodes.PUBLISH_ABOVE_HEAD: EXIT_REFUSED,
    errorcodes.PUBLISH_UNFINISHED: EXIT_UNFINISHED,
    errorcodes.PUBLISH_NOT_EVERYWHERE: EXIT_NOT_EVERYWHERE,
    errorcodes.OPERATORS_REQUEST: EXIT_USAGE,
}


def print_error(error: object) -> None:
    """Prints an error to standard error."""
    print(error, file=sys.stderr)


def run(command: Callable[[], Awaitable[int]]) -> int:
    """Runs a command and turns its errors into an exit code."""
    try:
        return anyio.run(command)
    except errors.FindingsError as error:
        print_error(error)
        return EXIT_FINDINGS
    except errors.CodedError as error:
        print_error(error)
        return _EXIT_CODE_BY_ERROR_CODE.get(error.code, EXIT_UNAVAILABLE)
    except KeyboardInterrupt:
        print_error("interrupted")
        return EXIT_INTERRUPTED


def print_json(value: Any) -> None:
    """Prints a value as one JSON document."""
    print(json.dumps(value, indent=2))


def print_table(columns: list[str], rows: list[list[Any]]) -> None:
    """Prints rows as a table."""
    table = rich.table.Table(*columns, box=None, pad_edge=False)
    for row in rows:
        # Values may contain brackets, which rich would interpret as markup.
        table.add_row(*(rich.markup.escape(str(cell)) for cell in row))
    # Output to a pipe is wide, so that rows are not wrapped.
    width = None if sys.stdout.isatty() else PIPE_WIDTH_COLUMNS
    rich.console.Console(width=width).print(table)


def format_age(age_ms: int | None) -> str:
    """Formats an age in milliseconds; "-" if it is None.

    >>> format_age(90_000)
    '1m 30s'
    """
    if age_ms is None:
        return "-"
    minutes, seconds = divmod(age_ms // 1000, 60)
    hours, minutes = divmod(minutes, 60)
    if hours:
        return f"{hours}h {minutes}m"
    return f"{minutes}m {seconds}s" if minutes else f"{seconds}s"
