"""Reads and writes editions and their parts in the platform's store."""

from typing import NamedTuple

from rattangauge import errors
from rattangauge.config import edition as edition_module
from rattangauge.config import head as head_module
from rattangauge.config import objects as objects_module
from rattangauge.config import retention
from rattangauge.config import zone_status
from rattangauge.generated import errorcodes
from rattangauge.net import object_store

PARTS_PREFIX = "parts/"
# A collection costs one more write of the head, which all gateways watch.
COLLECT_BATCH = 8
# Keeps the names of the parts in the head below 20 KB for one collection.
COLLECT_LIMIT = 200


class Current(NamedTuple):
    """The head as it was read, with its objects.

    Attributes:
        stored_version: Version of the head object in the store; 0 if none.
        head: The head, if any.
        objects: Objects of the head.
    """

    stored_version: int
    head: head_module.Head | None
    objects: objects_module.ObjectSet

    @property
    def version(self) -> int:
        """Version of the edition; 0 if there is none."""
        return self.head.version if self.head else 0


async def read_head(
    store: object_store.Store,
) -> tuple[int, head_module.Head | None]:
    """Returns the head and its version in the store."""
    stored = await store.get(head_module.PATH)
    if stored is None:
        return 0, None
    return stored.version, head_module.parse(stored.data)


async def _edition_data(
    store: object_store.Store, parts: tuple[str, ...]
) -> bytes:
    pieces = []
    for digest in parts:
        stored = await store.get(head_module.part_path(digest))
        if stored is None:
            text = "a part of the edition is missing in the store"
            path = head_module.part_path(digest)
            raise errors.CodedError(errorcodes.PUBLISH_NOT_KEPT, text, path)
        pieces.append(stored.data)
    return b"".join(pieces)


async def _objects(
    store: object_store.Store, version: int, digest: str, parts: tuple[str, ...]
) -> objects_module.ObjectSet:
    data = await _edition_data(store, parts)
    try:
        return edition_module.decode(version, digest, data).objects
    except errors.FindingsError as error:
        text = f"the edition in the store is damaged: {error}"
        code = errorcodes.STORE_PROTOCOL
        raise errors.CodedError(code, text, f"version {version}") from error


async def read(
    store: object_store.Store, allow_damaged: bool = False
) -> Current:
    """Reads the head with its objects.

    Args:
        store: The platform's store.
        allow_damaged: Return no objects for an edition that fails its checks,
            so that its status can be read and old content published over it.

    Raises:
        errors.CodedError: The store does not answer, lacks a part or has a
            damaged edition that is not allowed.
    """
    stored_version, head = await read_head(store)
    if head is None:
        return Current(stored_version, None, objects_module.empty_set())
    try:
        objects = await _objects(store, head.version, head.digest, head.parts)
    except errors.CodedError as error:
        if not allow_damaged or error.code != errorcodes.STORE_PROTOCOL:
            raise
        objects = objects_module.empty_set()
    return Current(stored_version, head, objects)


async def objects_of(
    store: object_store.Store, current: Current, version: int
) -> objects_module.ObjectSet:
    """Returns the objects of a version of the head's log.

    Raises:
        errors.CodedError: ``publish.not_kept`` if the log or the parts are
            no longer kept.
    """
    if version == 0:
        return objects_module.empty_set()
    if version == current.version:
        return current.objects
    entry = head_module.find_version(current.head, version)
    if entry is None or not entry.parts:
        text = f"the content of version {version} is not kept"
        raise errors.CodedError(errorcodes.PUBLISH_NOT_KEPT, text)
    return await _objects(store, version, entry.digest, entry.parts)


async def statuses(
    store: object_store.Store, objects: objects_module.ObjectSet
) -> list[zone_status.ZoneStatus]:
    """Returns the status of each zone that the store or a pool names."""
    names = {
        path.removeprefix(zone_status.STATUS_PREFIX)
        for path in await store.list(zone_status.STATUS_PREFIX)
    }
    for pool in objects["pool"].values():
        names.update(pool.zones)
    found = []
    for zone in sorted(names):
        stored = await store.get(zone_status.status_path(zone))
        found.append(zone_status.parse(zone, stored.data if stored else None))
    return found


async def _upload_part(
    store: object_store.Store, path: str, data: bytes, refresh: bool
) -> None:
    stored = await store.get(path)
    if stored is None:
        expected = 0
    elif refresh or stored.data != data:
        # A new version makes the delete of a concurrent collector fail.
        expected = stored.version
    else:
        return
    await store.put(path, data, expected)


async def upload(
    store: object_store.Store, head: head_module.Head | None, data: bytes
) -> tuple[str, ...]:
    """Uploads the missing parts of an edition; returns their digests."""
    digests = []
    for part in edition_module.split(data):
        digest = edition_module.digest_of(part)
        refresh = head is not None and digest in head.collecting
        path = head_module.part_path(digest)
        await _upload_part(store, path, part, refresh)
        digests.append(digest)
    return tuple(digests)


async def _garbage(
    store: object_store.Store, current: Current, stored: set[str], least: int
) -> dict[str, object_store.Stored]:
    zone_statuses = await statuses(store, current.objects)
    lowest = zone_status.lowest_version(zone_statuses)
    digests = retention.deletable_parts(current.head, lowest, stored)
    if len(digests) < least:
        return {}
    found = {}
    for digest in digests[:COLLECT_LIMIT]:
        part = await store.get(head_module.part_path(digest))
        if part is not None:
            found[digest] = part
    return found


async def _delete(store: object_store.Store, part: object_store.Stored) -> None:
    try:
        await store.delete(part.path, part.version)
    except errors.CodedError as error:
        # A publisher wrote the part again, or another collector deleted it.
        if error.code != errorcodes.STORE_CONFLICT:
            raise


async def collect(store: object_store.Store, least: int = COLLECT_BATCH) -> int:
    """Deletes parts that no zone and no operator needs.

    The parts are first named in the head by a conditional update. A publisher
    that has not seen this update fails its own; one that has seen it writes
    the parts that it needs again, so that the deletes below, which name the
    version that was read before, do not take them.

    Args:
        store: The platform's store.
        least: Number of parts below which nothing is done.

    Returns:
        Number of parts that were deleted.

    Raises:
        errors.CodedError: The store failed; what is left is collected later.
    """
    current = await read(store)
    if current.head is None:
        return 0
    paths = await store.list(PARTS_PREFIX)
    stored = {path.removeprefix(PARTS_PREFIX) for path in paths}
    found = await _garbage(store, current, stored, least)
    if not found:
        return 0
    # Earlier names stay while their part exists: the collector that named
    # them may be paused before its deletes.
    collecting = {*found, *stored.intersection(current.head.collecting)}
    head = current.head._replace(collecting=tuple(sorted(collecting)))
    data = head_module.format_head(head)
    await store.put(head_module.PATH, data, current.stored_version)
    for part in found.values():
        await _delete(store, part)
    return len(found)
