"""The head object of the store: the current edition and the publish log."""

import json
from typing import Any
from typing import NamedTuple

from rattangauge import errors
from rattangauge.generated import errorcodes

PATH = "head"
MAX_LOG_ENTRIES = 100
# Number of newest log entries that are kept even if the head object is large.
MIN_LOG_ENTRIES = 20
# Stays below 1 MB, the limit of the platform's store for a value.
MAX_HEAD_BYTES = 900_000
# With MIN_LOG_ENTRIES entries of this many 63-character names, the head object
# stays below MAX_HEAD_BYTES.
MAX_CHANGED_NAMES = 300
# Stands for all objects in the list of objects that a publish changed.
EVERYTHING = "*"


class Entry(NamedTuple):
    """The log entry of one publish.

    Attributes:
        version: Version of the published edition.
        digest: Digest of the published edition.
        operation: Id of the operation, chosen by the publisher.
        author: User who published.
        published_ms: Time of the publish, in milliseconds since 1970.
        changed: Objects that the publish changed, as ``kind/name``, or only
            ``EVERYTHING`` if there are more than ``MAX_CHANGED_NAMES``.
        parts: Digests of the parts of the edition's data; empty if not known.
    """

    version: int
    digest: str
    operation: str
    author: str
    published_ms: int
    changed: tuple[str, ...]
    parts: tuple[str, ...] = ()


class Head(NamedTuple):
    """The head object.

    Attributes:
        version: Version of the current edition.
        digest: Digest of the current edition.
        parts: Digests of the parts of its data, in order.
        parent: Digest of the previous edition; empty if there was none.
        log: Entries of the last publishes, the newest one last.
        collecting: Digests of parts that garbage collection may be deleting.
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
    """Returns the head after one more publish, with a bounded log.

    Args:
        head: The current head, if any.
        entry: Log entry of the publish.
        parts: Digests of the parts of the new edition, in order.
    """
    if len(entry.changed) > MAX_CHANGED_NAMES:
        entry = entry._replace(changed=(EVERYTHING,))
    log = (*(head.log if head else ()), entry._replace(parts=parts))
    collecting = head.collecting if head else ()
    result = Head(
        entry.version,
        entry.digest,
        parts,
        head.digest if head else "",
        log[-MAX_LOG_ENTRIES:],
        tuple(digest for digest in collecting if digest not in parts),
    )
    while (
        len(result.log) > MIN_LOG_ENTRIES
        and len(format_head(result)) > MAX_HEAD_BYTES
    ):
        result = result._replace(log=result.log[1:])
    return result


def _parse_entry(table: dict[str, Any]) -> Entry:
    entry = Entry(**table)
    return entry._replace(
        changed=tuple(entry.changed), parts=tuple(entry.parts)
    )


def parse(data: bytes) -> Head:
    """Parses the head object.

    Raises:
        errors.CodedError: ``store.protocol``: the data are not a head object.
    """
    try:
        head = Head(**json.loads(data))
        if not isinstance(head.version, int):
            raise TypeError(f"the version {head.version!r} is not an integer")
        return head._replace(
            parts=tuple(head.parts),
            log=tuple(_parse_entry(table) for table in head.log),
            collecting=tuple(head.collecting),
        )
    except (ValueError, TypeError, RecursionError) as error:
        raise errors.CodedError(
            errorcodes.STORE_PROTOCOL, repr(error), PATH
        ) from error
