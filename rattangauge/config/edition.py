"""Immutable, content-addressed snapshots of the whole set of objects."""

import hashlib
import json
from typing import Any
from typing import NamedTuple
import zlib

from rattangauge import errors
from rattangauge import receivememory
from rattangauge.config import check
from rattangauge.config import objects as objects_module
from rattangauge.generated import errorcodes

# Stays below 1 MB, the limit of the platform's store for a value.
PART_BYTES = 900_000
# Limit on the size of a decompressed edition. On machines with little memory it
# is lower, see ``max_edition_bytes``.
MAX_EDITION_BYTES = 64_000_000


class Edition(NamedTuple):
    """A complete configuration.

    Attributes:
        version: Version number; a later edition has a higher one.
        digest: SHA-256 of the encoded objects, in hexadecimal.
        objects: All objects.
        data: The encoded objects.
    """

    version: int
    digest: str
    objects: objects_module.ObjectSet
    data: bytes


def max_edition_bytes() -> int:
    """Returns the largest size of a decompressed edition on this machine."""
    memory_bytes = receivememory.machine_bytes()
    return receivememory.document_limit(memory_bytes, MAX_EDITION_BYTES)


def digest_of(data: bytes) -> str:
    """Returns the SHA-256 of data in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def encode(objects: objects_module.ObjectSet) -> bytes:
    """Encodes objects as compressed canonical JSON."""
    tables = objects_module.to_tables(objects)
    text = json.dumps(tables, sort_keys=True, separators=(",", ":"))
    return zlib.compress(text.encode(), 6)


def split(data: bytes) -> list[bytes]:
    """Splits encoded objects into parts that fit into values of the store."""
    return [
        data[start : start + PART_BYTES]
        for start in range(0, len(data), PART_BYTES)
    ]


def _malformed_error(message: str, place: str) -> errors.FindingsError:
    code = errorcodes.EDITION_MALFORMED
    return errors.FindingsError([errors.Finding(place, "", message, code)])


def decode_table(data: bytes, place: str) -> dict[str, Any]:
    """Decodes a compressed JSON object of bounded size.

    Args:
        data: The compressed text.
        place: Source of the data, for the findings.

    Raises:
        errors.FindingsError: The data are truncated or malformed.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, max_edition_bytes())
        tables = json.loads(text)
    except (zlib.error, ValueError, RecursionError) as error:
        raise _malformed_error(str(error), place) from error
    if not decompressor.eof or not isinstance(tables, dict):
        raise _malformed_error(
            "the data are truncated or not a JSON object", place
        )
    return tables


def _check_digest(digest: str, data: bytes, place: str) -> None:
    """Checks the digest of received data.

    Raises:
        errors.FindingsError: The data have another digest.
    """
    actual = digest_of(data)
    if actual != digest:
        message = f"the data have the digest {actual}, not {digest}"
        code = errorcodes.EDITION_DIGEST
        raise errors.FindingsError([errors.Finding(place, "", message, code)])


def decode(version: int, digest: str, data: bytes) -> Edition:
    """Decodes a published edition and checks its digest and all its objects.

    Args:
        version: Version under which the data were received.
        digest: Expected digest of the data.
        data: The encoded objects.

    Raises:
        errors.FindingsError: The data have another digest or are malformed, or
            an object or a reference is not valid.
    """
    place = f"version {version}"
    _check_digest(digest, data, place)
    loaded = objects_module.read_tables(decode_table(data, place), place)
    objects, collected = objects_module.build_set(loaded.objects)
    findings = (
        loaded.findings + collected.findings + check.check_objects(objects)
    )
    if findings:
        raise errors.FindingsError(findings)
    return Edition(version, digest, objects, data)


def decode_received(version: int, digest: str, data: bytes) -> Edition:
    """Decodes an edition that another daemon has in force.

    Its digest and the types of its fields are checked, and its references, on
    which the daemon relies; see ``objects.read_received`` for the values.

    Args:
        version: Version under which the data were received.
        digest: Expected digest of the data.
        data: The encoded objects.

    Raises:
        errors.FindingsError: The data have another digest or cannot be read.
    """
    place = f"version {version}"
    _check_digest(digest, data, place)
    loaded = objects_module.read_received(decode_table(data, place), place)
    objects, collected = objects_module.build_set(loaded.objects)
    findings = loaded.findings + collected.findings
    findings += check.check_references(objects)
    if findings:
        raise errors.FindingsError(findings)
    return Edition(version, digest, objects, data)
