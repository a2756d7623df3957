"""The head object: which edition is current, and how it came about."""

import json
from typing import Any
from typing import NamedTuple

from rattangauge import errors
from rattangauge.generated import errorcodes

PATH = "head"
LOG_ENTRIES = 100
# Entries that are kept even if the head object grows large.
LEAST_LOG_ENTRIES = 20
# Stays below the 1 MB that a value of the platform may have.
MAX_HEAD_BYTES = 900_000
# Keeps the least log entries with names of 63 characters below the limit.
MAX_CHANGED = 300
EVERYTHING = "*"


class Entry(NamedTuple):
    """One publish.

    Attributes:
        version: Version that it made.
        digest: Digest of its edition.
        operation: Identity of the operation, made by the publisher.
        author: Who published.
        published_ms: When, in milliseconds since 1970.
        changed: Objects that it changed, as ``kind/name``, or only
            ``EVERYTHING`` if they are too many.
        parts: Digests of the parts of its data; empty if not known.
    """

    version: int
    digest: str
    operation: str
    author: str
    published_ms: int
    changed: tuple[str, ...]
    parts: tuple[str, ...] = ()


class Head(NamedTuple):
    """The current edition.

    Attributes:
        version: Its version.
        digest: Its digest.
        parts: Digests of the parts of its data, in order.
        parent: Digest of the edition before it.
        log: The last publishes, the newest one last.
        collecting: Digests of parts that a collector may be deleting.
    """

    version: int
    digest: str
    parts: tuple[str, ...]
    parent: str
    log: tuple[Entry, ...]
    collecting: tuple[str, ...] = ()


def part_path(digest: str) -> str:
    """Returns the path of a part in the store."""
    return f"parts/{digest}"


def format_head(head: Head) -> bytes:
    """Formats the head object as JSON."""
    table = head._asdict()
    table["log"] = [entry._asdict() for entry in head.log]
    return json.dumps(table).encode()


def find_operation(head: Head | None, operation: str) -> Entry | None:
    """Returns the log entry of an operation, if the log has it."""
    entries = head.log if head else ()
    return next((e for e in entries if e.operation == operation), None)


def find_version(head: Head | None, version: int) -> Entry | None:
    """Returns the log entry of a version, if the log has it."""
    entries = head.log if head else ()
    return next((e for e in entries if e.version == version), None)


def append(head: Head | None, entry: Entry, parts: tuple[str, ...]) -> Head:
    """Returns the head after one more publish, with a bounded log."""
    if len(entry.changed) > MAX_CHANGED:
        entry = entry._replace(changed=(EVERYTHING,))
    log = (*(head.log if head else ()), entry._replace(parts=parts))
    collecting = head.collecting if head else ()
    made = Head(
        entry.version,
        entry.digest,
        parts,
        head.digest if head else "",
        log[-LOG_ENTRIES:],
        tuple(digest for digest in collecting if digest not in parts),
    )
    while (
        len(made.log) > LEAST_LOG_ENTRIES
        and len(format_head(made)) > MAX_HEAD_BYTES
    ):
        made = made._replace(log=made.log[1:])
    return made


def _entry(table: dict[str, Any]) -> Entry:
    entry = Entry(**table)
    return entry._replace(
        changed=tuple(entry.changed), parts=tuple(entry.parts)
    )


def parse(data: bytes) -> Head:
    """Parses the head object.

    Raises:
        errors.CodedError: The data are no head object.
    """
    try:
        head = Head(**json.loads(data))
        if not isinstance(head.version, int):
            raise TypeError(f"the version {head.version!r} is no number")
        return head._replace(
            parts=tuple(head.parts),
            log=tuple(_entry(table) for table in head.log),
            collecting=tuple(head.collecting),
        )
    except (ValueError, TypeError, RecursionError) as error:
        raise errors.CodedError(
            errorcodes.STORE_PROTOCOL, repr(error), PATH
        ) from error
