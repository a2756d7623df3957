"""Publishes objects as a new version in the platform's store.

The head is written conditionally. After a concurrent publish or a failed
request, the whole operation is tried again under the same operation id.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import NamedTuple
import uuid

import anyio

from rattangauge import edition_store
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

MAX_ATTEMPTS = 8
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

_RETRIED_CODES = (
    errorcodes.STORE_CONFLICT,
    errorcodes.STORE_UNAVAILABLE,
    errorcodes.STORE_OUTCOME_UNKNOWN,
)

# Codes after which a write may have taken effect. The store may also answer a
# server error, which is reported as unavailable, after it has written.
_UNCONFIRMED_CODES = (
    errorcodes.STORE_UNAVAILABLE,
    errorcodes.STORE_OUTCOME_UNKNOWN,
)

# Waits for a time in seconds.
Sleep = Callable[[float], Awaitable[None]]
# Called with each error that is retried and the time to the retry in seconds.
NotifyRetry = Callable[[errors.CodedError, float], None]


class Request(NamedTuple):
    """A publish that an operator requests.

    Attributes:
        objects: Objects to add or replace.
        author: Name of the operator.
        operation: Id of the operation; a repeated run passes the same id, so
            that the change is published once.
        deleted: Kind and name of objects to delete.
        base: Version on which the objects are based; None for the newest.
        from_version: Version whose content replaces the whole set, or None.
        above_zones: Take a version number above all that zones report. This
            is needed after the store was restored from a backup, since
            daemons ignore versions older than their own.
        places: File of each object by kind and name, named in findings.
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
        version: Version that contains the operator's change.
        digest: Digest of the edition of that version.
        operation: Id of the operation.
        changed: KIND/NAME of each object that the operation changed.
        published: Whether this run published a version; False if nothing had
            to change or an earlier run with this operation id had
            published it.
    """

    version: int
    digest: str
    operation: str
    changed: tuple[str, ...]
    published: bool


class _PublishBase(NamedTuple):
    """Wanted objects and base version, the same for all attempts."""

    wanted: publish.RequestedChange
    seen: publish.BaseConfiguration


def new_operation_id() -> str:
    """Returns a random operation id."""
    return uuid.uuid4().hex


def backoff_s(attempt: int) -> float:
    """Returns the time before the next attempt, in seconds, with jitter."""
    limit = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt)
    return random.uniform(limit / 2, limit)


def _result_of(entry: head_module.Entry) -> Result:
    return Result(
        entry.version, entry.digest, entry.operation, entry.changed, False
    )


async def _read_base(
    store: object_store.Store,
    request: Request,
    current: edition_store.CurrentHead,
) -> _PublishBase:
    base = current.version if request.base is None else request.base
    objects = await edition_store.objects_of(store, current, base)
    wanted = publish.RequestedChange(request.objects, request.deleted)
    if request.from_version is not None:
        old = await edition_store.objects_of(
            store, current, request.from_version
        )
        wanted = publish.RequestedChange(old, exact=True)
    return _PublishBase(wanted, publish.BaseConfiguration(base, objects))


def _next_version(
    request: Request,
    current: edition_store.CurrentHead,
    statuses: list[zone_status.ZoneStatus],
) -> int:
    max_reported = zone_status.highest_version(statuses)
    if max_reported <= current.version:
        return current.version + 1
    if request.above_zones:
        return max_reported + 1
    ahead = [s.zone for s in statuses if s.highest_version > current.version]
    text = (
        f"the head has version {current.version}, zones report {max_reported}"
        f" ({', '.join(ahead)}); use --above-zones"
    )
    raise errors.CodedError(errorcodes.PUBLISH_ABOVE_HEAD, text)


def _checked_edition(
    version: int, plan: publish.PublishPlan, request: Request
) -> edition_module.Edition:
    """Checks the whole set by the same rules as the daemons.

    Raises:
        errors.FindingsError: The set has findings and must not be published.
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
    current: edition_store.CurrentHead,
    plan: publish.PublishPlan,
    version: int,
) -> head_module.Head:
    """Checks the set, uploads its parts and returns the head to write."""
    edition = _checked_edition(version, plan, request)
    parts = await edition_store.upload(store, current.head, edition.data)
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
    """One publish, which is tried up to ``MAX_ATTEMPTS`` times."""

    def __init__(self, store: object_store.Store, request: Request) -> None:
        self._store = store
        self._request = request
        self._base: _PublishBase | None = None
        # Whether a write of the head may have taken effect although no reply
        # confirmed it.
        self.is_unconfirmed = False

    @property
    def seen_version(self) -> int | None:
        """Version on which the operation is based; None before it is read."""
        return self._base.seen.version if self._base else self._request.base

    async def attempt(self) -> Result:
        """Makes one attempt to publish.

        Raises:
            errors.FindingsError: The whole set has findings.
            errors.CodedError: The attempt failed; see ``apply``.
        """
        request = self._request
        # Content of an old version replaces the whole set, so a damaged
        # present edition does not stop the publish.
        current = await edition_store.read(
            self._store, allow_damaged=request.from_version is not None
        )
        earlier_entry = head_module.find_operation(
            current.head, request.operation
        )
        if earlier_entry is not None:
            return _result_of(earlier_entry)
        if self._base is None:
            self._base = await _read_base(self._store, request, current)
        statuses = await edition_store.statuses(self._store, current.objects)
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
            if error.code in _UNCONFIRMED_CODES:
                self.is_unconfirmed = True
            raise

    def final_error(self, last: errors.CodedError) -> errors.CodedError:
        """Returns the error to raise after the last attempt."""
        if not self.is_unconfirmed:
            return last
        text = (
            f"the publish could not be confirmed ({last}); run it again with"
            f" --operation {self._request.operation}"
            f" --base {self.seen_version}"
        )
        return errors.CodedError(errorcodes.PUBLISH_UNFINISHED, text)


def _ignore_retry(_error: errors.CodedError, _wait_s: float) -> None:
    """Default of ``notify``: retries are not reported."""


async def apply(
    store: object_store.Store,
    request: Request,
    sleep: Sleep = anyio.sleep,
    notify: NotifyRetry = _ignore_retry,
) -> Result:
    """Publishes an operator's objects.

    Args:
        store: The platform's store.
        request: What to publish.
        sleep: Waits between two attempts; takes the time in seconds.
        notify: Called before each retry with the error and the wait in
            seconds.

    Raises:
        errors.FindingsError: The whole set has findings; nothing was written
            to the head.
        errors.CodedError: ``publish.conflict``, ``publish.no_object``,
            ``publish.not_kept``, ``publish.above_head``,
            ``publish.unfinished`` or an error of the store.
    """
    operation = _Operation(store, request)
    for attempt in range(MAX_ATTEMPTS):
        try:
            return await operation.attempt()
        except errors.CodedError as error:
            if error.code not in _RETRIED_CODES:
                raise
            last = error
        if attempt + 1 < MAX_ATTEMPTS:
            wait_s = backoff_s(attempt)
            notify(last, wait_s)
            await sleep(wait_s)
    raise operation.final_error(last)
