"""The head object: which edition is current, and how it came about."""

import json
from typing import NamedTuple

from rattangauge import errors
from rattangauge.generated import errorcodes

PATH = "head"
LOG_ENTRIES = 100


class Entry(NamedTuple):
    """One publish.

    Attributes:
        version: Version that it made.
        digest: Digest of its edition.
        operation: Identity of the operation, made by the publisher.
        author: Who published.
        published_ms: When, in milliseconds since 1970.
        changed: Objects that it changed, as ``kind name``.
    """

    version: int
    digest: str
    operation: str
    author: str
    published_ms: int
    changed: tuple[str, ...]


class Head(NamedTuple):
    """The current edition.

    Attributes:
        version: Its version.
        digest: Its digest.
        parts: Digests of the parts of its data, in order.
        parent: Digest of the edition before it.
        log: The last publishes, the newest one last.
    """

    version: int
    digest: str
    parts: tuple[str, ...]
    parent: str
    log: tuple[Entry, ...]


def part_path(digest: str) -> str:
    """Returns the path of a part in the store."""
    return f"parts/{digest}"


def format_head(head: Head) -> bytes:
    """Formats the head object as JSON."""
    table = head._asdict()
    table["log"] = [entry._asdict() for entry in head.log]
    return json.dumps(table).encode()


def parse(data: bytes) -> Head:
    """Parses the head object.

    Raises:
        errors.CodedError: The data are no head object.
    """
    try:
        table = json.loads(data)
        table["log"] = tuple(
            Entry(**{**entry, "changed": tuple(entry["changed"])})
            for entry in table["log"]
        )
        return Head(**{**table, "parts": tuple(table["parts"])})
    except (ValueError, TypeError, KeyError) as error:
        raise errors.CodedError(
            errorcodes.STORE_PROTOCOL, repr(error), PATH
        ) from error
