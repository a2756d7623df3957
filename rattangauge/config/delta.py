"""Encodes and applies the difference between two editions.

A delta contains the objects that were added or changed and the names of those
that were removed.
"""

from collections.abc import Callable
import json
from typing import Any
import zlib

from rattangauge import errors
from rattangauge.config import check
from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import errorcodes

# Reads the changed objects of a delta; see ``objects.read_tables``.
_ReadTables = Callable[[dict[str, Any], str], objects_module.LoadResult]


def encode_delta(
    base: edition_module.Edition, target: edition_module.Edition
) -> bytes:
    """Encodes the delta between two editions; the digest identifies the base.

    Args:
        base: Edition that the delta starts from.
        target: Edition that results from applying the delta.
    """
    return _encode(base, target, base.digest)


def encode_delta_by_version(
    base: edition_module.Edition, target: edition_module.Edition
) -> bytes:
    """Encodes the delta between two editions; the version identifies the base.

    Args:
        base: Edition that the delta starts from.
        target: Edition that results from applying the delta.
    """
    return _encode(base, target, str(base.version))


def _encode(
    base: edition_module.Edition, target: edition_module.Edition, base_id: str
) -> bytes:
    changed = {
        kind: [
            item._asdict()
            for name, item in sorted(named.items())
            if base.objects[kind].get(name) != item
        ]
        for kind, named in target.objects.items()
    }
    removed = {
        kind: sorted(named.keys() - target.objects[kind].keys())
        for kind, named in base.objects.items()
    }
    table = {"base": base_id, "changed": changed, "removed": removed}
    text = json.dumps(table, sort_keys=True, separators=(",", ":"))
    return zlib.compress(text.encode(), 6)


def _error(message: str, place: str, code: str) -> errors.FindingsError:
    return errors.FindingsError([errors.Finding(place, "", message, code)])


def _get_lists(table: dict[str, Any], key: str, place: str) -> dict[str, list]:
    value = table.get(key)
    if isinstance(value, dict) and all(
        isinstance(entries, list) for entries in value.values()
    ):
        return value
    text = f"the delta has no table {key!r} of lists"
    raise _error(text, place, errorcodes.EDITION_MALFORMED)


def _apply_changes(
    base: objects_module.ObjectSet,
    table: dict[str, Any],
    place: str,
    read_tables: _ReadTables,
) -> objects_module.ObjectSet:
    merged = {kind: dict(named) for kind, named in base.items()}
    for kind, names in _get_lists(table, "removed", place).items():
        for name in names:
            if merged.get(kind, {}).pop(str(name), None) is None:
                text = (
                    f"the delta removes {kind} {name!r}, which the base lacks"
                )
                raise _error(text, place, errorcodes.EDITION_MALFORMED)
    changed = _get_lists(table, "changed", place)
    loaded = read_tables(changed, place)
    if loaded.findings:
        raise errors.FindingsError(loaded.findings)
    for located in loaded.objects:
        merged[located.kind][located.object.name] = located.object
    return merged


def apply_delta(
    base: edition_module.Edition, version: int, digest: str, data: bytes
) -> edition_module.Edition:
    """Applies a delta and checks the resulting edition.

    Args:
        base: Edition that the delta starts from.
        version: Version of the result.
        digest: Expected digest of the result.
        data: The encoded delta.

    Raises:
        errors.FindingsError: The delta starts from another edition or is
            malformed, or the result has another digest or a bad reference.
    """
    merged = _decode_and_apply(
        base, base.digest, version, data, objects_module.read_tables
    )
    return edition_module.decode(version, digest, edition_module.encode(merged))


def apply_delta_by_version(
    base: edition_module.Edition, version: int, data: bytes
) -> edition_module.Edition:
    """Applies a delta whose base is identified by its version.

    The sender has the result in force, so only the types of the changed objects
    and the references are checked. The result is not encoded and has no digest.

    Args:
        base: Edition that the delta starts from.
        version: Version of the result.
        data: The encoded delta.

    Raises:
        errors.FindingsError: The delta starts from another edition or is
            malformed, or the result has a bad reference.
    """
    merged = _decode_and_apply(
        base, str(base.version), version, data, objects_module.read_received
    )
    findings = check.check_references(merged)
    if findings:
        raise errors.FindingsError(findings)
    return edition_module.Edition(version, "", merged, b"")


def _decode_and_apply(
    base: edition_module.Edition,
    base_id: str,
    version: int,
    data: bytes,
    read_tables: _ReadTables,
) -> objects_module.ObjectSet:
    place = f"delta to version {version}"
    table = edition_module.decode_table(data, place)
    if table.get("base") != base_id:
        text = f"the delta starts from {table.get('base')}, not {base_id}"
        raise _error(text, place, errorcodes.EDITION_DELTA_BASE)
    return _apply_changes(base.objects, table, place, read_tables)
