"""Limits the bytes of call bodies that are on their way to the instance.

Bodies of many calls at the same time would fill the network link of a small
instance for longer than other daemons wait for an answer. Reports of the
peers, the configuration and short calls would then fail with them.

A body whose sender is slow does not fill the link, so its room is used for
others after the time in which the link could have carried it.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import math
from typing import NamedTuple

from rattangauge import futures

# Longest time for which requested bodies may fill the link. It is well below
# the time that daemons wait for the answer to a report.
MAX_LINK_TIME_S = 0.2
BYTES_PER_S_PER_MBPS = 125_000


class _Request(NamedTuple):
    """A body that waits to be received.

    Attributes:
        size: Size of the body, in bytes.
        granted: Done when the body may be requested.
    """

    size: float
    granted: "asyncio.Future[None]"


class _Reservation:
    """Room for one body, which is freed once."""

    def __init__(self, size: float, free: Callable[[float], None]) -> None:
        """Creates a reservation; ``free`` is called with its size."""
        self._size = size
        self._free = free
        self._is_freed = False

    def end(self) -> None:
        """Frees the room, unless this was done before."""
        if not self._is_freed:
            self._is_freed = True
            self._free(self._size)


class ReceiveBudget:
    """Decides when the body of a call may be requested from its sender.

    Bodies are requested in the order in which their calls got a slot.
    """

    def __init__(self, link_mbps: float) -> None:
        """Creates a budget.

        Args:
            link_mbps: Rate of the instance's network link in Mbit/s; 0 if it is
                unknown, which sets no limit.
        """
        self._bytes_per_s = link_mbps * BYTES_PER_S_PER_MBPS
        self._limit = self._bytes_per_s * MAX_LINK_TIME_S or math.inf
        self._reserved = 0.0
        self._waiting: deque[_Request] = deque()

    @property
    def reserved_bytes(self) -> float:
        """Bytes of the bodies that may be on their way."""
        return self._reserved

    @contextlib.asynccontextmanager
    async def reserve(self, size: int, deadline: float) -> AsyncIterator[None]:
        """Reserves room for a body while the block runs.

        A body that is larger than the limit waits until no other one is on its
        way.

        Args:
            size: Size of the body in bytes; 0 if it is unknown.
            deadline: Time on the clock of ``time.monotonic``, in seconds.

        Raises:
            TimeoutError: There was no room before the deadline.
        """
        if math.isinf(self._limit):
            yield
            return
        reserved = min(size or self._limit, self._limit)
        await self._wait(reserved, deadline)
        reservation = _Reservation(reserved, self._release)
        transfer_s = max(size, reserved) / self._bytes_per_s
        timer = asyncio.get_running_loop().call_later(
            MAX_LINK_TIME_S + transfer_s, reservation.end
        )
        try:
            yield
        finally:
            timer.cancel()
            reservation.end()

    async def _wait(self, size: float, deadline: float) -> None:
        granted = asyncio.get_running_loop().create_future()
        request = _Request(size, granted)
        self._waiting.append(request)
        self._grant()
        try:
            await futures.wait(granted, deadline)
        except BaseException:
            self._withdraw(request)
            raise

    def _withdraw(self, request: _Request) -> None:
        """Removes a request whose caller has ceased to wait."""
        if request in self._waiting:
            self._waiting.remove(request)
        else:
            self._reserved -= request.size
        self._grant()

    def _release(self, size: float) -> None:
        self._reserved -= size
        self._grant()

    def _grant(self) -> None:
        """Grants the waiting requests for which there is room."""
        while self._waiting:
            size = self._waiting[0].size
            if self._reserved and self._reserved + size > self._limit:
                return
            request = self._waiting.popleft()
            self._reserved += size
            futures.wake(request.granted)
