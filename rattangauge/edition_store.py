"""Reads and writes the head and the editions in the platform's store.

An edition is the encoded set of all objects of one version. The store keeps it
in parts, each under its digest; the head names the parts of the newest one.
"""

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
# Parts below this number are not collected, since each collection writes the
# head once more and all gateways watch the head.
MIN_COLLECTED_PARTS = 8
# Parts that one collection deletes at most. The head lists their digests, which
# this limit keeps below 20 KB.
MAX_COLLECTED_PARTS = 200


class CurrentHead(NamedTuple):
    """The head as read from the store, with the objects of its edition.

    Attributes:
        stored_version: Version of the head object in the store; 0 if none.
        head: The head; None if the store has none.
        objects: Objects of the head's edition.
    """

    stored_version: int
    head: head_module.Head | None
    objects: objects_module.ObjectSet

    @property
    def version(self) -> int:
        """Version of the newest edition; 0 if nothing was published."""
        return self.head.version if self.head else 0


async def read_head(
    store: object_store.Store,
) -> tuple[int, head_module.Head | None]:
    """Returns the version of the head object in the store, and the head.

    The result is ``(0, None)`` if the store has no head.

    Raises:
        errors.CodedError: The store does not answer or the head is damaged.
    """
    stored = await store.get(head_module.PATH)
    if stored is None:
        return 0, None
    return stored.version, head_module.parse(stored.data)


async def _read_parts(
    store: object_store.Store, parts: tuple[str, ...]
) -> bytes:
    blobs = []
    for digest in parts:
        stored = await store.get(head_module.part_path(digest))
        if stored is None:
            text = "a part of the edition is missing in the store"
            path = head_module.part_path(digest)
            raise errors.CodedError(errorcodes.PUBLISH_NOT_KEPT, text, path)
        blobs.append(stored.data)
    return b"".join(blobs)


async def _read_objects(
    store: object_store.Store, version: int, digest: str, parts: tuple[str, ...]
) -> objects_module.ObjectSet:
    data = await _read_parts(store, parts)
    try:
        return edition_module.decode(version, digest, data).objects
    except errors.FindingsError as error:
        text = f"the edition in the store is damaged: {error}"
        code = errorcodes.STORE_PROTOCOL
        raise errors.CodedError(code, text, f"version {version}") from error


async def read(
    store: object_store.Store, allow_damaged: bool = False
) -> CurrentHead:
    """Reads the head and the objects of its edition.

    Args:
        store: The platform's store.
        allow_damaged: Return an empty set of objects for an edition that
            fails its checks, so that operators can still read the status
            and publish old content as a replacement.

    Raises:
        errors.CodedError: The store does not answer, lacks a part or has a
            damaged edition that is not allowed.
    """
    stored_version, head = await read_head(store)
    if head is None:
        return CurrentHead(stored_version, None, objects_module.empty_set())
    try:
        objects = await _read_objects(
            store, head.version, head.digest, head.parts
        )
    except errors.CodedError as error:
        if not allow_damaged or error.code != errorcodes.STORE_PROTOCOL:
            raise
        objects = objects_module.empty_set()
    return CurrentHead(stored_version, head, objects)


async def objects_of(
    store: object_store.Store, current: CurrentHead, version: int
) -> objects_module.ObjectSet:
    """Returns the objects of a version that the head's log lists.

    Raises:
        errors.CodedError: ``publish.not_kept`` if the log no longer lists the
            version or the store no longer has its parts.
    """
    if version == 0:
        return objects_module.empty_set()
    if version == current.version:
        return current.objects
    entry = head_module.find_version(current.head, version)
    if entry is None or not entry.parts:
        text = f"the content of version {version} is not kept"
        raise errors.CodedError(errorcodes.PUBLISH_NOT_KEPT, text)
    return await _read_objects(store, version, entry.digest, entry.parts)


async def statuses(
    store: object_store.Store, objects: objects_module.ObjectSet
) -> list[zone_status.ZoneStatus]:
    """Returns the status of each zone.

    Zones are those with a status in the store and those that a pool names.
    """
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
    store: object_store.Store, path: str, data: bytes, rewrite: bool
) -> None:
    stored = await store.get(path)
    if stored is None:
        expected = 0
    elif rewrite or stored.data != data:
        # The write raises the part's version in the store, so that the
        # conditional delete of a concurrent collection fails.
        expected = stored.version
    else:
        return
    await store.put(path, data, expected)


async def upload(
    store: object_store.Store, head: head_module.Head | None, data: bytes
) -> tuple[str, ...]:
    """Uploads the parts of an edition that the store lacks.

    A part that a collection is about to delete is written again.

    Args:
        store: The platform's store.
        head: The present head; None if there is none.
        data: The encoded edition.

    Returns:
        Digests of all parts of the edition, in order.
    """
    digests = []
    for part in edition_module.split(data):
        digest = edition_module.digest_of(part)
        rewrite = head is not None and digest in head.collecting
        path = head_module.part_path(digest)
        await _upload_part(store, path, part, rewrite)
        digests.append(digest)
    return tuple(digests)


async def _find_unused_parts(
    store: object_store.Store,
    current: CurrentHead,
    stored: set[str],
    min_parts: int,
) -> dict[str, object_store.Stored]:
    zone_statuses = await statuses(store, current.objects)
    lowest = zone_status.lowest_version(zone_statuses)
    digests = retention.deletable_parts(current.head, lowest, stored)
    if len(digests) < min_parts:
        return {}
    found = {}
    for digest in digests[:MAX_COLLECTED_PARTS]:
        part = await store.get(head_module.part_path(digest))
        if part is not None:
            found[digest] = part
    return found


async def _delete(store: object_store.Store, part: object_store.Stored) -> None:
    try:
        await store.delete(part.path, part.version)
    except errors.CodedError as error:
        # A publisher wrote the part again, or another collection deleted it.
        if error.code != errorcodes.STORE_CONFLICT:
            raise


async def collect_unused_parts(
    store: object_store.Store, min_parts: int = MIN_COLLECTED_PARTS
) -> int:
    """Deletes parts that no zone runs and no rollback can use.

    A conditional update first lists the parts in the head. A concurrent
    publisher that read the head before this update fails its own conditional
    write of the head. A publisher that read it afterwards uploads the listed
    parts that it needs again, which raises their version; the deletes carry
    the version that was read before, so they fail for these parts.

    Args:
        store: The platform's store.
        min_parts: Least number of unused parts for which any are deleted.

    Returns:
        Number of parts for which a delete was sent.

    Raises:
        errors.CodedError: The store failed; a later collection deletes the
            remaining parts.
    """
    current = await read(store)
    if current.head is None:
        return 0
    paths = await store.list(PARTS_PREFIX)
    stored = {path.removeprefix(PARTS_PREFIX) for path in paths}
    found = await _find_unused_parts(store, current, stored, min_parts)
    if not found:
        return 0
    # Digests that an earlier collection listed stay while their part exists,
    # since that collection may be paused before its deletes.
    collecting = {*found, *stored.intersection(current.head.collecting)}
    head = current.head._replace(collecting=tuple(sorted(collecting)))
    data = head_module.format_head(head)
    await store.put(head_module.PATH, data, current.stored_version)
    for part in found.values():
        await _delete(store, part)
    return len(found)
