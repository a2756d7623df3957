"""Sends large answers to other daemons no faster than the link carries them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import itertools
import math
import time
from typing import NamedTuple

from rattangauge import futures
from rattangauge import metrics
from rattangauge import receivememory
from rattangauge.calls import exchange
from rattangauge.calls import transfer_schedule
from rattangauge.generated import messages

# An answer from this size on is sent in pieces, in bytes.
LARGE_ANSWER_BYTES = 16_384
BYTES_PER_S_PER_MBPS = 125_000
# Shortest delay of a timer.
MIN_TIMER_S = 0.001


class Transfer(NamedTuple):
    """An expected large answer to another daemon.

    Attributes:
        size: Its size, in bytes.
        wait_s: Time that the link needs for the answers before it, in seconds.
        send_s: Time that the link needs for it, in seconds.
    """

    size: int
    wait_s: float
    send_s: float


NO_TRANSFER = Transfer(0, 0.0, 0.0)


class LinkPacer:
    """The network link of the instance and the answers that wait for it."""

    def __init__(
        self, link_mbps: float, memory: receivememory.ReceiveMemory
    ) -> None:
        """Creates a pacer.

        Args:
            link_mbps: Rate of the instance's network link in Mbit/s; 0 if it is
                unknown, which delays nothing.
            memory: Memory of all messages that have been received in part;
                answers that leave may take as much of it as one message.
        """
        self._memory = memory
        self._held_bytes = 0
        self._room_waiters: set[asyncio.Future[None]] = set()
        rate = link_mbps * BYTES_PER_S_PER_MBPS or math.inf
        self._is_paced = rate < math.inf
        self._schedule = transfer_schedule.TransferSchedule(rate)
        self._expected_bytes = 0
        self._numbers = itertools.count()
        # Futures of the transfers that wait for their turn; the result is the
        # size of the next piece.
        self._turns: dict[int, asyncio.Future[int]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def backlog_s(self) -> float:
        """Time that the link needs for the answers that wait, in seconds.

        Those that are expected of running calls count as well.
        """
        expected_s = self._schedule.duration_s(self._expected_bytes)
        return self._schedule.backlog_s(time.monotonic()) + expected_s

    @contextlib.contextmanager
    def expect(self, size: int) -> Iterator[None]:
        """Counts an answer that a running call will have.

        Args:
            size: Its expected size, in bytes.
        """
        self._expected_bytes += size
        try:
            yield
        finally:
            self._expected_bytes -= size

    def record_sent(self, message: messages.Message, size: int) -> None:
        """Counts a message to another daemon; pieces were counted before.

        Args:
            message: The message.
            size: Its size on the link, in bytes.
        """
        if self._is_paced and not isinstance(message, messages.AnswerData):
            self._schedule.record_sent(size, time.monotonic())

    def plan(self, size: int) -> Transfer:
        """Returns what an answer of an expected size needs, in bytes.

        Short answers wait for no others.
        """
        if size < LARGE_ANSWER_BYTES:
            return NO_TRANSFER
        return Transfer(size, self.backlog_s, self._schedule.duration_s(size))

    @property
    def held_bytes(self) -> int:
        """Size of the answers that have not been sent completely."""
        return self._held_bytes

    async def wait_for_room(self, deadline: float) -> None:
        """Waits while the answers that leave take too much memory.

        Args:
            deadline: Time on the clock of ``time.monotonic``, in seconds, after
                which it does not wait.
        """
        while self._held_bytes >= self._memory.message_bytes:
            waiter = asyncio.get_running_loop().create_future()
            self._room_waiters.add(waiter)
            try:
                await futures.wait(waiter, deadline)
            except TimeoutError:
                return
            finally:
                self._room_waiters.discard(waiter)

    @contextlib.contextmanager
    def hold(self, answer: messages.AnswerOpen) -> Iterator[None]:
        """Counts the memory of an answer while it is sent."""
        size = len(answer.body)
        self._held_bytes += size
        self._memory.pin(size)
        metrics.LEAVING_BYTES.set(self._held_bytes)
        try:
            yield
        finally:
            self._held_bytes -= size
            self._memory.unpin(size)
            metrics.LEAVING_BYTES.set(self._held_bytes)
            for waiter in self._room_waiters:
                futures.wake(waiter)

    def response(self, answer: messages.AnswerOpen) -> exchange.Response:
        """Returns an answer as a response, whose large body comes in pieces."""
        if not self._is_paced or len(answer.body) < LARGE_ANSWER_BYTES:
            return exchange.Response(answer, None)
        head = answer._replace(body=b"", last=False)
        return exchange.Response(head, self.pieces(answer.body))

    async def pieces(self, body: bytes) -> AsyncIterator[bytes]:
        """Yields the pieces of a body, each when the link has room for it."""
        number = next(self._numbers)
        began_at = time.monotonic()
        offset = 0
        try:
            while offset < len(body):
                left_bytes = len(body) - offset
                size = await self._turn(number, left_bytes, began_at)
                yield body[offset : offset + size]
                offset += size
        finally:
            self._schedule.withdraw(number)
            self._turns.pop(number, None)

    async def _turn(self, number: int, left_bytes: int, began_at: float) -> int:
        """Waits for the turn of a transfer; returns the size of its piece."""
        turn = asyncio.get_running_loop().create_future()
        self._turns[number] = turn
        self._schedule.request(number, left_bytes, began_at)
        self._grant()
        return await turn

    def _grant(self) -> None:
        """Hands out the pieces for which the link has room now."""
        now = time.monotonic()
        while (piece := self._schedule.take(now)) is not None:
            number, size = piece
            turn = self._turns.pop(number)
            if not turn.done():
                turn.set_result(size)
        if self._schedule.waiting_bytes and self._timer is None:
            delay_s = max(MIN_TIMER_S, self._schedule.delay_s(now))
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        self._grant()
