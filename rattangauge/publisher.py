"""Applies a publish against the platform's store."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import NamedTuple
import uuid

import anyio

from rattangauge import archive
from rattangauge import errors
from rattangauge import util
from rattangauge.config import check
from rattangauge.config import edition as edition_module
from rattangauge.config import head as head_module
from rattangauge.config import objects as objects_module
from rattangauge.config import publish
from rattangauge.config import zone_status
from rattangauge.generated import errorcodes
from rattangauge.net import object_store

ATTEMPTS = 8
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

_RETRIED = (
    errorcodes.STORE_CONFLICT,
    errorcodes.STORE_UNAVAILABLE,
    errorcodes.STORE_OUTCOME_UNKNOWN,
)

# A server error, reported as unavailable, may follow a write that took effect.
_UNCONFIRMED = (
    errorcodes.STORE_UNAVAILABLE,
    errorcodes.STORE_OUTCOME_UNKNOWN,
)

Sleep = Callable[[float], Awaitable[None]]
# Told of each error that is retried, and of the time until then in seconds.
Notify = Callable[[errors.CodedError, float], None]


class Request(NamedTuple):
    """A publish that an operator asks for.

    Attributes:
        objects: Objects to add or to replace.
        author: Who asks.
        operation: Identity of the operation; a repeat uses the same one.
        deleted: Kind and name of objects to delete.
        base: Version on which the objects are based; None for the head.
        from_version: Version whose content replaces the whole set, or None.
        above_zones: Take a version above all that zones report, after the
            store was restored from a backup.
        places: File of each object by kind and name, for findings.
    """

    objects: objects_module.ObjectSet
    author: str
    operation: str
    deleted: tuple[tuple[str, str], ...] = ()
    base: int | None = None
    from_version: int | None = None
    above_zones: bool = False
    places: dict[tuple[str, str], str] | None = None


class Result(NamedTuple):
    """Outcome of a publish.

    Attributes:
        version: Version that has the operator's change.
        digest: Digest of its edition.
        operation: Identity of the operation.
        changed: Objects that the operation changed.
        published: Whether a version was made now; False if nothing had to
            change or an earlier run with this operation id had done it.
    """

    version: int
    digest: str
    operation: str
    changed: tuple[str, ...]
    published: bool


class _Base(NamedTuple):
    """What the operation is based on, for all its attempts."""

    wanted: publish.RequestedChange
    seen: publish.BaseConfiguration


def new_operation() -> str:
    """Returns a new operation id."""
    return uuid.uuid4().hex


def backoff_s(attempt: int) -> float:
    """Returns the time before the next attempt, in seconds, with jitter."""
    limit = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt)
    return random.uniform(limit / 2, limit)


def _result_of(entry: head_module.Entry) -> Result:
    return Result(
        entry.version, entry.digest, entry.operation, entry.changed, False
    )


async def _base(
    store: object_store.Store, request: Request, current: archive.Current
) -> _Base:
    base = current.version if request.base is None else request.base
    objects = await archive.objects_of(store, current, base)
    wanted = publish.RequestedChange(request.objects, request.deleted)
    if request.from_version is not None:
        old = await archive.objects_of(store, current, request.from_version)
        wanted = publish.RequestedChange(old, exact=True)
    return _Base(wanted, publish.BaseConfiguration(base, objects))


def _next_version(
    request: Request,
    current: archive.Current,
    statuses: list[zone_status.ZoneStatus],
) -> int:
    reported = zone_status.highest_version(statuses)
    if reported <= current.version:
        return current.version + 1
    if request.above_zones:
        return reported + 1
    ahead = [s.zone for s in statuses if s.highest_version > current.version]
    text = (
        f"the head has version {current.version}, zones report {reported}"
        f" ({', '.join(ahead)}); use --above-zones"
    )
    raise errors.CodedError(errorcodes.PUBLISH_ABOVE_HEAD, text)


def _edition(
    version: int, plan: publish.PublishPlan, request: Request
) -> edition_module.Edition:
    """Checks the whole set as daemons will.

    Raises:
        errors.FindingsError: The set may not be published.
    """
    findings = check.check_objects(plan.objects, request.places)
    if findings:
        raise errors.FindingsError(findings)
    data = edition_module.encode(plan.objects)
    digest = edition_module.digest_of(data)
    return edition_module.decode(version, digest, data)


async def _next_head(
    store: object_store.Store,
    request: Request,
    current: archive.Current,
    plan: publish.PublishPlan,
    version: int,
) -> head_module.Head:
    """Checks the set, uploads its parts and returns the head to write."""
    edition = _edition(version, plan, request)
    parts = await archive.upload(store, current.head, edition.data)
    entry = head_module.Entry(
        version,
        edition.digest,
        request.operation,
        request.author,
        util.now_ms(),
        plan.changed,
    )
    return head_module.append(current.head, entry, parts)


class _Operation:
    """One publish with its attempts."""

    def __init__(self, store: object_store.Store, request: Request) -> None:
        self._store = store
        self._request = request
        self._base: _Base | None = None
        # Whether a write may have taken effect without a reply.
        self.is_unconfirmed = False

    @property
    def seen_version(self) -> int | None:
        """Version on which the operation is based; None if not yet known."""
        return self._base.seen.version if self._base else self._request.base

    async def attempt(self) -> Result:
        """Tries once to publish."""
        request = self._request
        # Old content replaces the whole set, so a bad one need not be read.
        current = await archive.read(
            self._store, allow_damaged=request.from_version is not None
        )
        done = head_module.find_operation(current.head, request.operation)
        if done is not None:
            return _result_of(done)
        if self._base is None:
            self._base = await _base(self._store, request, current)
        statuses = await archive.statuses(self._store, current.objects)
        version = _next_version(request, current, statuses)
        plan = publish.plan(
            current.head, current.objects, self._base.wanted, self._base.seen
        )
        if not plan.changed and version == current.version + 1:
            digest = current.head.digest if current.head else ""
            return Result(current.version, digest, request.operation, (), False)
        head = await _next_head(self._store, request, current, plan, version)
        await self._write_head(head, current.stored_version)
        return _result_of(head.log[-1])._replace(published=True)

    async def _write_head(self, head: head_module.Head, expected: int) -> None:
        data = head_module.format_head(head)
        try:
            await self._store.put(head_module.PATH, data, expected)
        except errors.CodedError as error:
            if error.code in _UNCONFIRMED:
                self.is_unconfirmed = True
            raise

    def unfinished(self, last: errors.CodedError) -> errors.CodedError:
        """Returns the error after the last attempt."""
        if not self.is_unconfirmed:
            return last
        text = (
            f"the publish could not be confirmed ({last}); run it again with"
            f" --operation {self._request.operation}"
            f" --base {self.seen_version}"
        )
        return errors.CodedError(errorcodes.PUBLISH_UNFINISHED, text)


def _ignore(_error: errors.CodedError, _wait_s: float) -> None:
    """Tells nobody of a retry."""


async def apply(
    store: object_store.Store,
    request: Request,
    sleep: Sleep = anyio.sleep,
    notify: Notify = _ignore,
) -> Result:
    """Publishes an operator's objects.

    Args:
        store: The platform's store.
        request: What to publish.
        sleep: Waits between two attempts, in seconds.
        notify: Told of each error that is retried.

    Raises:
        errors.FindingsError: The whole set has findings; nothing was written
            to the head.
        errors.CodedError: ``publish.conflict``, ``publish.no_object``,
            ``publish.not_kept``, ``publish.above_head``,
            ``publish.unfinished`` or an error of the store.
    """
    operation = _Operation(store, request)
    for attempt in range(ATTEMPTS):
        try:
            return await operation.attempt()
        except errors.CodedError as error:
            if error.code not in _RETRIED:
                raise
            last = error
        if attempt + 1 < ATTEMPTS:
            wait_s = backoff_s(attempt)
            notify(last, wait_s)
            await sleep(wait_s)
    raise operation.unfinished(last)
