"""Graceful shutdown: refuses new work and waits for the running calls."""

from collections.abc import AsyncIterator
import contextlib

import anyio

from rattangauge.calls import exchange
from rattangauge.generated import errorcodes


class Drain:
    """Whether the daemon shuts down, and what it still runs."""

    def __init__(self, run: exchange.Handler) -> None:
        """Creates a drain that has not begun.

        Args:
            run: Runs a call on the upstream beside the daemon.
        """
        self._run = run
        self._begun = anyio.Event()
        self._open = 0
        self._idle = anyio.Event()

    @property
    def begun(self) -> bool:
        """Whether the daemon shuts down."""
        return self._begun.is_set()

    def begin(self) -> None:
        """Starts the shutdown; repeats have no effect."""
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
