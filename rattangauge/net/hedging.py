"""Hedges a call: runs a second attempt if the first one is late."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from rattangauge import errors
from rattangauge.calls import exchange
from rattangauge.calls import hedge

# Runs one attempt: calls the given ``Respond`` once, or raises ``CallFailed``.
Attempt = Callable[[exchange.Respond], Awaitable[None]]


class _Race:
    """Concurrent attempts of one call.

    The attempt whose response begins first wins and cancels the others.
    """

    def __init__(self, respond: exchange.Respond) -> None:
        self._respond = respond
        self._scopes: list[anyio.CancelScope] = []
        self._winner: anyio.CancelScope | None = None
        self._winner_failure: exchange.CallFailed | None = None
        self._failures: list[exchange.CallFailed] = []

    @property
    def is_first_decisive(self) -> bool:
        """Whether the end of the first attempt decides the outcome of the call.

        It does if the first attempt won or no second one was started.
        """
        return self._winner is self._scopes[0] or len(self._scopes) == 1

    @property
    def is_won(self) -> bool:
        """Whether the response of an attempt has begun."""
        return self._winner is not None

    async def run(self, attempt: Attempt) -> None:
        """Runs one attempt and records its failure."""
        scope = anyio.CancelScope()
        self._scopes.append(scope)

        async def respond(response: exchange.Response) -> None:
            self._win(scope)
            # An attempt that lost is cancelled here, before it can respond.
            await anyio.lowlevel.checkpoint_if_cancelled()
            await self._respond(response)

        with scope:
            try:
                await attempt(respond)
            except exchange.CallFailed as failure:
                if self._winner is scope:
                    self._winner_failure = failure
                self._failures.append(failure)

    def _win(self, scope: anyio.CancelScope) -> None:
        """Makes an attempt the winner if there is none; cancels the others."""
        if self._winner is None:
            self._winner = scope
        for other in self._scopes:
            if other is not self._winner:
                other.cancel()

    def raise_failure(self) -> None:
        """Raises the failure of the call if no complete response arrived.

        Raises:
            exchange.CallFailed: The winner failed after its response began, or
                all attempts failed.
        """
        if self._winner is not None:
            if self._winner_failure is not None:
                raise self._winner_failure
        elif len(self._failures) > 1:
            raise hedge.failure_to_report(*self._failures)
        elif self._failures:
            raise self._failures[0]


async def run(
    first: Attempt,
    find_second: Callable[[], Attempt | None],
    delay_s: float,
    respond: exchange.Respond,
) -> None:
    """Runs a call, with a second attempt if no response begins in time.

    Args:
        first: The first attempt.
        find_second: Returns the second attempt, or None if none is allowed.
        delay_s: Time after which the first attempt is late, in seconds.
        respond: Called with the response that begins first.

    Raises:
        exchange.CallFailed: No complete response arrived.
    """
    race = _Race(respond)

    async def run_second() -> None:
        await anyio.sleep(delay_s)
        second = None if race.is_won else find_second()
        if second is not None:
            await race.run(second)

    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_second)
            await race.run(first)
            if race.is_first_decisive:
                tasks.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        raise errors.first_error(group) from group
    race.raise_failure()
