"""Keeps one fast sender from holding the event loop.

The event loop reads a connection again and again while bytes are there, before
it runs anything else. After a large read a connection therefore waits until all
else that is due has run.
"""

import asyncio
from collections.abc import Callable
from typing import Any

# A read of at least this size is a large one, in bytes.
LARGE_READ_BYTES = 65_536


class ReadPacer:
    """Decides when a connection reads."""

    def __init__(self, transport: Any) -> None:
        """Creates the state of a connection that reads.

        Args:
            transport: Transport of the connection.
        """
        self._transport = transport
        self._is_held = False
        self._is_waiting = False

    def hold(self, is_held: bool) -> None:
        """Stops the reading until it is called again with False."""
        self._is_held = is_held
        self._apply()

    def record_read(self, size: int) -> None:
        """Lets all else run first that is due after a large read."""
        if size < LARGE_READ_BYTES or self._is_waiting:
            return
        self._is_waiting = True
        self._apply()
        asyncio.get_running_loop().call_soon(self._end_wait)

    def _end_wait(self) -> None:
        self._is_waiting = False
        self._apply()

    def _apply(self) -> None:
        if self._transport.is_closing():
            return
        may_read = not (self._is_held or self._is_waiting)
        change: Callable[[], None] = self._transport.resume_reading
        if not may_read:
            change = self._transport.pause_reading
        if may_read is not self._transport.is_reading():
            change()
