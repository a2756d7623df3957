"""A store in memory with faults."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import anyio

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.net import object_store


class MemoryStore:
    """The ``Store`` interface in memory.

    Attributes:
        fail: Number of calls that fail before they have an effect.
        lose_replies: Number of writes of ``lose_path`` whose reply is lost.
        lose_path: Path whose replies are lost.
        lose_code: Error code of a lost reply.
        late_writes: Number of writes of ``lose_path`` that take effect only
            at the next write, after their caller was told of a time-out.
        delay_s: Time that each call takes, in seconds.
        before_put: Called with the path before each write.
        calls: Number of calls by method.
    """

    def __init__(self) -> None:
        """Creates an empty store without faults."""
        self.values: dict[str, tuple[int, bytes]] = {}
        self.fail = 0
        self.lose_replies = 0
        self.lose_path = "head"
        self.lose_code = errorcodes.STORE_OUTCOME_UNKNOWN
        self.late_writes = 0
        self.delay_s = 0.0
        self.before_put: Callable[[str], Awaitable[None]] | None = None
        self.calls: collections.Counter[str] = collections.Counter()
        self._late: list[tuple[str, bytes, int]] = []
        self._version = 0

    async def _begin(self, method: str, path: str) -> None:
        self.calls[method] += 1
        await anyio.sleep(self.delay_s)
        if self.fail:
            self.fail -= 1
            code = errorcodes.STORE_UNAVAILABLE
            raise errors.CodedError(code, "down", path)

    def _check(self, path: str, expected: int) -> None:
        if self.values.get(path, (0, b""))[0] != expected:
            code = errorcodes.STORE_CONFLICT
            raise errors.CodedError(code, f"not {expected}", path)

    def _reply(self, path: str) -> None:
        if self.lose_replies and path.startswith(self.lose_path):
            self.lose_replies -= 1
            raise errors.CodedError(self.lose_code, "no reply", path)

    async def get(self, path: str) -> object_store.Stored | None:
        """See ``object_store.Store.get``."""
        await self._begin("get", path)
        if path not in self.values:
            return None
        return object_store.Stored(path, *self.values[path])

    async def put(self, path: str, data: bytes, expected: int) -> int:
        """See ``object_store.Store.put``."""
        await self._begin("put", path)
        if self.before_put is not None:
            await self.before_put(path)
        if len(data) > object_store.MAX_VALUE_BYTES:
            code = errorcodes.STORE_TOO_LARGE
            raise errors.CodedError(code, "too large", path)
        if self.late_writes and path.startswith(self.lose_path):
            self.late_writes -= 1
            self._late.append((path, data, expected))
            code = errorcodes.STORE_OUTCOME_UNKNOWN
            raise errors.CodedError(code, "timed out", path)
        while self._late:
            with contextlib.suppress(errors.CodedError):
                self._write(*self._late.pop())
        self._write(path, data, expected)
        self._reply(path)
        return self._version

    def _write(self, path: str, data: bytes, expected: int) -> None:
        self._check(path, expected)
        self._version += 1
        self.values[path] = (self._version, data)

    async def watch(
        self, path: str, version: int, timeout_s: float
    ) -> object_store.Stored | None:
        """See ``object_store.Store.watch``."""
        raise NotImplementedError

    async def list(self, prefix: str) -> list[str]:
        """See ``object_store.Store.list``."""
        await self._begin("list", prefix)
        return sorted(path for path in self.values if path.startswith(prefix))

    async def delete(self, path: str, expected: int) -> None:
        """See ``object_store.Store.delete``."""
        await self._begin("delete", path)
        self._check(path, expected)
        del self.values[path]
        self._reply(path)
