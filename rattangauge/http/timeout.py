"""A timeout that is restarted often."""

import asyncio
from collections.abc import Callable
import math
import time


class Timeout:
    """Calls a function unless it is restarted within its time."""

    def __init__(self, handle: Callable[[], None]) -> None:
        """Creates a timeout that does not run yet.

        Args:
            handle: Called at the end of the time.
        """
        self._handle = handle
        self._ends_at = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf

    def restart(self, seconds: float) -> None:
        """Sets the time, counted from now; it may be infinite.

        A timer that runs out earlier is kept and restarted for the rest of the
        time, which is cheaper than a new timer for each restart.
        """
        self._ends_at = time.monotonic() + seconds
        if self._ends_at < self._timer_at:
            self._start_timer(seconds)

    def cancel(self) -> None:
        """Ends the timeout without a call."""
        self._ends_at = math.inf
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._timer_at = None, math.inf

    def _start_timer(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = time.monotonic() + seconds
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._handle_timer)

    def _handle_timer(self) -> None:
        """Handles the end of the timer, which may come before the time's."""
        self._timer, self._timer_at = None, math.inf
        remaining_s = self._ends_at - time.monotonic()
        if remaining_s <= 0.0:
            self._handle()
        elif remaining_s < math.inf:
            self._start_timer(remaining_s)
