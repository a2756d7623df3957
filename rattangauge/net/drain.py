"""Graceful shutdown: refuses new work and waits for the running calls."""

from collections.abc import AsyncIterator
import contextlib

import anyio

from rattangauge.calls import exchange
from rattangauge.generated import errorcodes


class Drain:
    """Whether the daemon shuts down, and what it still runs."""

    def __init__(self, run: exchange.Handler, limit_s: float) -> None:
        """Creates a drain that has not begun.

        Args:
            run: Runs a call on the upstream beside the daemon.
            limit_s: Time that running calls may take to finish, in seconds.
        """
        self._run = run
        self._limit_s = limit_s
        self._begun_at = 0.0
        self._begun = anyio.Event()
        self._open = 0
        self._idle = anyio.Event()

    @property
    def begun(self) -> bool:
        """Whether the daemon shuts down."""
        return self._begun.is_set()

    @property
    def seconds_left(self) -> float:
        """Time that running calls still have, in seconds."""
        if not self.begun:
            return self._limit_s
        return self._begun_at + self._limit_s - anyio.current_time()

    def begin(self) -> None:
        """Starts the shutdown; repeats have no effect."""
        if not self.begun:
            self._begun_at = anyio.current_time()
        self._begun.set()

    async def wait_begun(self) -> None:
        """Waits until the shutdown starts."""
        await self._begun.wait()

    async def wait_idle(self) -> None:
        """Waits until no call is open."""
        while self._open:
            self._idle = anyio.Event()
            await self._idle.wait()

    @contextlib.asynccontextmanager
    async def hold(self) -> AsyncIterator[None]:
        """Keeps the daemon running while the block lasts."""
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1
            if not self._open:
                self._idle.set()

    async def run(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Runs a call on the upstream unless the daemon shuts down.

        Raises:
            exchange.CallFailed: There is no whole answer.
        """
        if self.begun:
            text = "the daemon shuts down and takes no new work"
            raise exchange.not_run(errorcodes.CALL_DRAINING, text, 1000)
        async with self.hold():
            await self._run(request, respond)
