"""Graceful shutdown: refuses new calls and waits for the running ones."""

from collections.abc import AsyncIterator
import contextlib

import anyio

from rattangauge.calls import exchange
from rattangauge.generated import errorcodes


class Drain:
    """State of the shutdown and number of the calls that are still open."""

    def __init__(self, run: exchange.Handler, limit_s: float) -> None:
        """Creates the state of a daemon that is not shutting down.

        Args:
            run: Runs a call on the upstream of the daemon.
            limit_s: Time that open calls have to finish, in seconds.
        """
        self._run_call = run
        self._limit_s = limit_s
        self._begun_at = 0.0
        self._begun = anyio.Event()
        self._open_calls = 0
        self._idle = anyio.Event()

    @property
    def begun(self) -> bool:
        """Whether the shutdown has started."""
        return self._begun.is_set()

    @property
    def seconds_left(self) -> float:
        """Time that open calls still have to finish, in seconds."""
        if not self.begun:
            return self._limit_s
        return self._begun_at + self._limit_s - anyio.current_time()

    def begin(self) -> None:
        """Starts the shutdown; later calls have no effect."""
        if not self.begun:
            self._begun_at = anyio.current_time()
        self._begun.set()

    async def wait_begun(self) -> None:
        """Waits until the shutdown starts."""
        await self._begun.wait()

    async def wait_idle(self) -> None:
        """Waits until no call is open."""
        while self._open_calls:
            self._idle = anyio.Event()
            await self._idle.wait()

    @contextlib.asynccontextmanager
    async def hold(self) -> AsyncIterator[None]:
        """Counts a call as open, so that ``wait_idle`` waits for the block."""
        self._open_calls += 1
        try:
            yield
        finally:
            self._open_calls -= 1
            if not self._open_calls:
                self._idle.set()

    async def run(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Runs a call on the upstream unless the shutdown has started.

        Raises:
            exchange.CallFailed: The daemon is shutting down, or the upstream
                gave no complete response.
        """
        if self.begun:
            text = "the daemon shuts down and takes no new work"
            raise exchange.not_run(errorcodes.CALL_DRAINING, text, 1000)
        async with self.hold():
            await self._run_call(request, respond)
