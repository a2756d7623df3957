"""Claims of plain idempotency keys in the object store of the platform.

A plain key is chosen by the caller. A claim maps it to an issued key, which
names the daemon that runs the call. Claims are stored in buckets, which are
changed by conditional updates only, so that daemons that race for one key agree
on one claim. A claim is never changed; it is removed after ``RETENTION_MS``.
"""

import collections
import hashlib
import itertools
import json
import random

import anyio
import anyio.abc

from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.calls import exchange
from rattangauge.calls import keys
from rattangauge.generated import errorcodes
from rattangauge.net import object_store

# A bucket below the store's limit of 1 MB holds about 7,000 claims.
BUCKETS = 1024
RETENTION_MS = 24 * 3600 * 1000
# Delay before a write, in which further claims for the bucket are collected.
BATCH_DELAY_S = 0.003
MAX_CACHED = 10_000
# Upper bound of the first random delay after a conflict; it doubles five times.
CONFLICT_DELAY_S = 0.02


def claim_name(tenant: str, key: str) -> str:
    """Returns the name of a plain key in its bucket, a hexadecimal hash."""
    data = f"{tenant}\0{key}".encode()
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def bucket_path(name: str) -> str:
    """Returns the store path of the bucket for the name of a key."""
    return f"claims/{int(name[:8], 16) % BUCKETS}"


def merge_claims(
    present: dict[str, str], wanted: dict[str, str], now_ms: int
) -> dict[str, str]:
    """Returns the claims of a bucket with new ones added.

    A present claim wins over a new one for the same key. Present claims older
    than ``RETENTION_MS`` are left out.
    """
    oldest_ms = now_ms - RETENTION_MS
    kept = {
        name: issued
        for name, issued in present.items()
        if keys.parse(issued).issued_ms >= oldest_ms
    }
    return {**wanted, **kept}


def _parse_bucket(stored: object_store.Stored | None) -> dict[str, str]:
    if stored is None:
        return {}
    try:
        table = json.loads(stored.data)
    except ValueError:
        table = None
    if isinstance(table, dict):
        return table
    text = "the bucket is not a JSON object"
    raise errors.CodedError(errorcodes.STORE_PROTOCOL, text, stored.path)


class _Batch:
    """Claims of one bucket that are written together.

    Attributes:
        wanted: Issued key for each name to claim.
        claimed: Issued key of each claim in force after the write.
        error: Error of the write, if it failed.
        done: Set when the write has ended.
    """

    def __init__(self) -> None:
        self.wanted: dict[str, str] = {}
        self.claimed: dict[str, str] = {}
        self.error: errors.CodedError | None = None
        self.done = anyio.Event()


class KeyClaims:
    """Claims plain keys for the calls of one daemon."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: object_store.Store,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the object; writes run in the task group."""
        self._timeout_s = settings.platform.timeout_s
        self._store = store
        self._tasks = tasks
        self._batches: dict[str, _Batch] = {}
        self._active_paths: set[str] = set()
        self._cache: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    async def claim(self, name: str, issued: str, limit_s: float) -> str:
        """Claims a key.

        Args:
            name: Name of the plain key, from ``identity``.
            issued: Issued key to claim it for if it is not claimed yet.
            limit_s: Time to wait for the store, in seconds.

        Returns:
            The issued key of the claim in force.

        Raises:
            exchange.CallFailed: The store did not confirm a claim in time.
        """
        if name in self._cache:
            return self._cache[name]
        batch = self._add_to_batch(name, issued)
        with anyio.move_on_after(min(limit_s, self._timeout_s)):
            await batch.done.wait()
        if name in batch.claimed:
            return batch.claimed[name]
        reason = batch.error or "the store did not answer in time"
        text = f"the idempotency key could not be claimed: {reason}"
        raise exchange.not_run(errorcodes.KEY_UNCLAIMED, text, 1000)

    def _add_to_batch(self, name: str, issued: str) -> _Batch:
        path = bucket_path(name)
        batch = self._batches.get(path)
        if batch is None:
            batch = self._batches[path] = _Batch()
            if path not in self._active_paths:
                self._active_paths.add(path)
                self._tasks.start_soon(self._write_batches, path)
        batch.wanted.setdefault(name, issued)
        return batch

    async def _write_batches(self, path: str) -> None:
        """Writes the batches of a bucket one after another."""
        try:
            while path in self._batches:
                await anyio.sleep(BATCH_DELAY_S)
                batch = self._batches.pop(path)
                try:
                    with anyio.fail_after(self._timeout_s):
                        await self._write(path, batch)
                except errors.CodedError as error:
                    batch.error = error
                except TimeoutError:
                    text = f"no claim in {self._timeout_s} s"
                    batch.error = errors.CodedError(
                        errorcodes.STORE_UNAVAILABLE, text, path
                    )
                batch.done.set()
        finally:
            self._active_paths.discard(path)

    async def _write(self, path: str, batch: _Batch) -> None:
        for attempt in itertools.count():
            stored = await self._store.get(path)
            present = _parse_bucket(stored)
            merged = merge_claims(present, batch.wanted, util.now_ms())
            is_present = all(
                merged[name] == present.get(name) for name in batch.wanted
            )
            if is_present or await self._put(path, stored, merged):
                batch.claimed = {name: merged[name] for name in batch.wanted}
                self._add_to_cache(batch.claimed)
                return
            limit_s = CONFLICT_DELAY_S * 2 ** min(attempt, 5)
            await anyio.sleep(random.uniform(0, limit_s))

    async def _put(
        self,
        path: str,
        stored: object_store.Stored | None,
        merged: dict[str, str],
    ) -> bool:
        """Writes a bucket; returns whether the write surely succeeded."""
        data = json.dumps(merged, separators=(",", ":")).encode()
        expected = stored.version if stored else 0
        try:
            await self._store.put(path, data, expected)
        except errors.CodedError as error:
            # After these errors the caller reads the bucket again, since the
            # write may have succeeded.
            retried_codes = (
                errorcodes.STORE_CONFLICT,
                errorcodes.STORE_OUTCOME_UNKNOWN,
                errorcodes.STORE_UNAVAILABLE,
            )
            if error.code in retried_codes:
                return False
            raise
        return True

    def _add_to_cache(self, claimed: dict[str, str]) -> None:
        self._cache.update(claimed)
        while len(self._cache) > MAX_CACHED:
            self._cache.popitem(last=False)
