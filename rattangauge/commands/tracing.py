"""The commands ``trace`` and ``why``, which read logs of daemons.

``trace`` prints the log lines of one request in order; ``why`` counts failed
requests by cause.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib
import sys
from typing import Any
from typing import NamedTuple
from typing import TextIO

from rattangauge.commands import output
from rattangauge.generated import errorcodes

# Order of the events of one request within the same second, since the clocks of
# the instances differ.
_EVENT_ORDER = (
    "call_begun",
    "call_placed",
    "upstream_refused",
    "upstream_ran",
    "attempt_failed",
    "call_ended",
    "call_failed",
)
_COMMON_FIELDS = ("time", "level", "event", "instance", "zone", "request")

_CAUSE_BY_CODE = {
    errorcodes.CALL_NOT_READY: "the daemon had no configuration yet",
    errorcodes.CALL_NO_ROUTE: "no route of the version in force matched",
    errorcodes.CALL_BAD_HEADER: "a header was not valid",
    errorcodes.CALL_OVERLOADED: "no upstream had room in time",
    errorcodes.CALL_NO_UPSTREAM: "no upstream could be reached",
    errorcodes.CALL_UPSTREAM_REFUSED: "the upstreams themselves refused it",
    errorcodes.CALL_DEADLINE: "the upstream did not answer by the deadline",
    errorcodes.CALL_OUTCOME_UNKNOWN: "a connection ended while the call ran",
    errorcodes.CALL_UPSTREAM_FAILED: "the upstream sent no whole answer",
    errorcodes.CALL_CANCELLED: "the caller left",
}


class Line(NamedTuple):
    """One line of a daemon's log.

    Attributes:
        time: Time on the clock of its instance, in ISO 8601.
        event: Name of the event.
        instance: Instance that wrote it.
        zone: Its availability zone.
        fields: The other fields.
    """

    time: str
    event: str
    instance: str
    zone: str
    fields: dict[str, Any]


class Trace(NamedTuple):
    """Log lines of one request.

    Attributes:
        request: Id of the request.
        lines: Its lines, ordered by second and kind of event.
        unreadable: Number of lines that are not of a daemon's log.
        dropped: Number of lines that the daemons dropped.
    """

    request: str
    lines: list[Line]
    unreadable: int
    dropped: int


class Totals(NamedTuple):
    """Failures of all requests by cause, route and status.

    Attributes:
        counts: Number of failures by cause, route and status.
        unreadable: Number of lines that are not of a daemon's log.
    """

    counts: dict[tuple[str, str, int], int]
    unreadable: int


def _parse_line(text: str) -> Line | None:
    """Parses a line; returns None if it is not of a daemon's log.

    Text before the JSON object, such as the prefix of a log collector, is
    ignored.
    """
    try:
        table = json.loads(text[text.index("{") :])
    except ValueError:
        return None
    if not isinstance(table, dict) or not isinstance(table.get("event"), str):
        return None
    fields = {k: v for k, v in table.items() if k not in _COMMON_FIELDS}
    fields["request"] = table.get("request", "")
    origin = (str(table.get(name, "")) for name in ("instance", "zone"))
    return Line(str(table.get("time", "")), table["event"], *origin, fields)


def read(files: Iterable[TextIO]) -> Iterator[Line | None]:
    """Yields the lines of logs; None for lines that cannot be parsed."""
    for file in files:
        for text in file:
            if text.strip():
                yield _parse_line(text)


def _sort_key(line: Line) -> tuple[str, int]:
    # Clocks of instances differ by more than a call takes, so only the seconds
    # are compared; the kind of event decides within a second.
    order = (
        _EVENT_ORDER.index(line.event)
        if line.event in _EVENT_ORDER
        else len(_EVENT_ORDER)
    )
    return line.time[:19], order


def _count_dropped(line: Line) -> int:
    parts = str(line.fields.get("dropped", "")).split()
    numbers = (part.rpartition("=")[2] for part in parts)
    return sum(int(number) for number in numbers if number.isdigit())


def collect(request: str, lines: Iterable[Line | None]) -> Trace:
    """Collects the lines of one request."""
    found: list[Line] = []
    unreadable = dropped = 0
    for line in lines:
        if line is None:
            unreadable += 1
        elif line.event == "lines_dropped":
            dropped += _count_dropped(line)
        elif line.fields["request"] == request:
            found.append(line)
    return Trace(request, sorted(found, key=_sort_key), unreadable, dropped)


def summarize(lines: Iterable[Line | None]) -> Totals:
    """Counts failed requests by cause, route and status."""
    counts: collections.Counter[tuple[str, str, int]] = collections.Counter()
    unreadable = 0
    for line in lines:
        if line is None:
            unreadable += 1
        elif line.event == "call_failed":
            code = line.fields.get("code", "")
            cause = _CAUSE_BY_CODE.get(code, code)
            key = cause, line.fields.get("route", ""), line.fields["status"]
            counts[key] += 1
    return Totals(dict(counts.most_common()), unreadable)


def cause(trace: Trace) -> str:
    """Returns the likely cause of the request's outcome, in one sentence."""
    call_lines = [
        line for line in trace.lines if line.event.startswith("call_")
    ]
    final_line = next(
        (ln for ln in call_lines if ln.event in ("call_failed", "call_ended")),
        None,
    )
    if final_line is None:
        if not trace.lines:
            return "no line of the logs names the request"
        return "the request has no end in these logs; its caller may have left"
    if final_line.event == "call_ended":
        status = final_line.fields.get("status")
        return (
            f"an upstream answered with {status} after "
            f"{final_line.fields.get('elapsed_ms')} ms"
        )
    code = final_line.fields.get("code", "")
    text = _CAUSE_BY_CODE.get(code, code)
    return (
        f"{text}: {final_line.fields.get('reason')} "
        f"(version {final_line.fields.get('version')}, "
        f"{final_line.fields.get('attempts')} attempts)"
    )


def _print_trace(trace: Trace) -> None:
    for line in trace.lines:
        shown = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name != "request"
        )
        print(f"{line.time} {line.zone}/{line.instance} {line.event} {shown}")
    print(f"cause: {cause(trace)}")


def _warn(unreadable: int, dropped: int) -> None:
    if unreadable:
        output.print_error(f"{unreadable} lines are not of a daemon's log")
    if dropped:
        output.print_error(f"the daemons left out {dropped} lines")


def _open(files: tuple[pathlib.Path, ...]) -> list[TextIO]:
    if not files:
        return [sys.stdin]
    return [file.open(encoding="utf-8", errors="replace") for file in files]


def trace(request: str, files: tuple[pathlib.Path, ...], as_json: bool) -> int:
    """Prints the log lines of a request and the likely cause.

    Args:
        request: Id of the request.
        files: Log files; standard input if empty.
        as_json: Print one JSON document.

    Returns:
        Exit code.
    """
    try:
        found = collect(request, read(_open(files)))
    except OSError as error:
        output.print_error(error)
        return output.EXIT_UNAVAILABLE
    if as_json:
        table = {
            "request": request,
            "lines": [line._asdict() for line in found.lines],
            "cause": cause(found),
            "unreadable": found.unreadable,
            "dropped": found.dropped,
        }
        print(json.dumps(table))
    else:
        _print_trace(found)
    _warn(found.unreadable, found.dropped)
    return output.EXIT_OK if found.lines else output.EXIT_NOT_FOUND


def why(files: tuple[pathlib.Path, ...]) -> int:
    """Prints the failed requests by cause; returns the exit code."""
    try:
        totals = summarize(read(_open(files)))
    except OSError as error:
        output.print_error(error)
        return output.EXIT_UNAVAILABLE
    for (text, route, status), count in totals.counts.items():
        print(f"{count:>7} {status} {route or '-':<16} {text}")
    _warn(totals.unreadable, 0)
    return output.EXIT_OK
