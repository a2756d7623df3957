"""Runs the loops of the daemon again after unexpected errors.

All loops run in one task group, in which an error of one of them ends all.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
import random
import time
from typing import Any
from typing import NamedTuple

import anyio
import loguru

from rattangauge import errors
from rattangauge import metrics
from rattangauge.generated import logevents

# Pause before a loop runs again. It doubles with each failure in a row, up to
# the second value.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
# A failure of a loop that has run for longer is none in a row.
STEADY_S = 30.0
# Characters of an error in the log.
MAX_ERROR_CHARACTERS = 500


class Loop(NamedTuple):
    """Identity of a loop in the log and the metrics.

    Attributes:
        name: Name; one of a small number.
        subject: What it works on, such as a mesh address; may be empty.
    """

    name: str
    subject: str = ""


class CancelledFutureError(Exception):
    """A loop waited for a future that was cancelled, but the loop was not.

    The task group of the loop would end all of its tasks without any error.
    """


# Records that a loop has failed.
Record = Callable[[logevents.LoopFailed], None]


def log_failure(failure: logevents.LoopFailed) -> None:
    """Records a failure in the log of messages."""
    loguru.logger.error("a loop has failed: {}", failure)


def next_pause_s(failures: int, fraction: float) -> float:
    """Returns the pause before a loop runs again, in seconds.

    Args:
        failures: Number of failures in a row.
        fraction: Random number from 0 to 1. It spreads over time what several
            daemons do after the same error.

    >>> next_pause_s(1, 1.0), next_pause_s(50, 0.0)
    (0.1, 2.5)
    """
    longest_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(failures - 1, 10))
    return longest_s * (0.5 + fraction / 2)


def report(
    record: Record,
    loop: Loop,
    error: Exception,
    failures: int = 1,
    pause_s: float = 0.0,
) -> None:
    """Logs and counts an unexpected error.

    Args:
        record: Records the failure.
        loop: Loop in which it was raised.
        error: The error.
        failures: Number of failures in a row.
        pause_s: Time until the loop runs again, in seconds; 0 if it goes on.
    """
    metrics.LOOP_FAILURES.labels(loop.name).inc()
    first: BaseException = error
    if isinstance(error, ExceptionGroup):
        first = errors.first_error(error)
    raised = first
    if isinstance(first, CancelledFutureError) and first.__cause__ is not None:
        raised = first.__cause__
    record(
        logevents.LoopFailed(
            loop=loop.name,
            subject=loop.subject[:MAX_ERROR_CHARACTERS],
            error=repr(first)[:MAX_ERROR_CHARACTERS],
            place=errors.describe_place(raised),
            failures=failures,
            pause_s=round(pause_s, 3),
        )
    )


async def run(
    record: Record,
    loop: Loop,
    function: Callable[..., Awaitable[None]],
    *args: Any,
) -> None:
    """Runs a loop until it returns; runs it again after unexpected errors.

    Args:
        record: Records each failure.
        loop: Identity of the loop.
        function: The loop. Each call must continue from the state that a
            failed one has left.
        args: Arguments of the function.
    """
    failures = 0
    while True:
        began_at = time.monotonic()
        try:
            await _call(function, args)
        except Exception as error:  # one loop must not end all others
            if time.monotonic() - began_at > STEADY_S:
                failures = 0
            failures += 1
            wait_s = next_pause_s(failures, random.random())
            report(record, loop, error, failures, wait_s)
        else:
            return
        await anyio.sleep(wait_s)


async def attempt(
    record: Record,
    loop: Loop,
    function: Callable[..., Awaitable[object]],
    *args: Any,
) -> None:
    """Calls a function once; an unexpected error is only reported."""
    try:
        await _call(function, args)
    except Exception as error:  # one task must not end all others
        report(record, loop, error)


def guard(
    record: Record, loop: Loop, function: Callable[[], None]
) -> Callable[[], None]:
    """Returns a function whose unexpected errors are only reported.

    Args:
        record: Records each failure.
        loop: Loop that calls the function.
        function: The function.
    """

    def call() -> None:
        try:
            function()
        except Exception as error:  # the caller must go on
            report(record, loop, error)

    return call


def watch_callbacks(record: Record) -> None:
    """Reports unexpected errors in callbacks and in tasks that nobody awaits.

    The event loop goes on after them, and would write them to standard error.
    It also tells of connections that fail; these are logged as messages.

    Args:
        record: Records each failure.
    """

    def handle(
        _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        text = str(context.get("message", ""))[:MAX_ERROR_CHARACTERS]
        error = context.get("exception")
        if isinstance(error, Exception) and not isinstance(error, OSError):
            report(record, Loop("event loop", text), error)
        else:
            loguru.logger.warning("event loop: {} {!r}", text, error)

    asyncio.get_running_loop().set_exception_handler(handle)


async def _call(
    function: Callable[..., Awaitable[object]], args: tuple[Any, ...]
) -> None:
    """Calls a function.

    Raises:
        CancelledFutureError: It ended with the cancellation of something that
            it waited for.
    """
    try:
        await function(*args)
    except asyncio.CancelledError as error:
        if _is_cancelled():
            raise
        raise CancelledFutureError("a cancelled future") from error


def _is_cancelled() -> bool:
    """Tells whether the current task is to end."""
    if anyio.current_effective_deadline() == -math.inf:
        return True
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
