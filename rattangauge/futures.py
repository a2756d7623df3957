"""Waits with a deadline, and sets of tasks, on plain asyncio.

The code that handles calls uses these in place of the cancel scopes and task
groups of anyio, which cost several times as much. Each call needs several of
them at both of its daemons.
"""

import asyncio
from collections.abc import Coroutine
import math
import time
from typing import Any


def _expire(future: "asyncio.Future[Any]") -> None:
    if not future.done():
        future.set_exception(TimeoutError())


async def wait(future: "asyncio.Future[Any]", deadline: float) -> Any:
    """Waits for a future.

    Args:
        future: The future; nothing else may wait for it, since it fails at
            the deadline.
        deadline: Time on the clock of ``time.monotonic``, in seconds;
            ``math.inf`` for none.

    Returns:
        Result of the future.

    Raises:
        TimeoutError: The future had no result by the deadline.
    """
    if deadline == math.inf:
        return await future
    left_s = max(0.0, deadline - time.monotonic())
    timer = asyncio.get_running_loop().call_later(left_s, _expire, future)
    try:
        return await future
    finally:
        timer.cancel()


def wake(future: "asyncio.Future[None] | None") -> None:
    """Sets the result of a future, unless it is None or already done."""
    if future is not None and not future.done():
        future.set_result(None)


class Tasks:
    """Set of running tasks, which can be cancelled together."""

    def __init__(self) -> None:
        """Creates an empty set."""
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Returns the number of tasks that run."""
        return len(self._tasks)

    def start(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Starts a task; the coroutine must handle its own errors."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()
