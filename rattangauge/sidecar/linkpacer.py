"""Sends large answers to other daemons no faster than the link carries them."""

import asyncio
from collections.abc import AsyncIterator
import itertools
import math
import time

from rattangauge.calls import exchange
from rattangauge.calls import transfer_schedule
from rattangauge.generated import messages

# An answer from this size on is sent in pieces, in bytes.
LARGE_ANSWER_BYTES = 16_384
BYTES_PER_S_PER_MBPS = 125_000
# Shortest delay of a timer.
MIN_TIMER_S = 0.001


class LinkPacer:
    """The network link of the instance and the answers that wait for it."""

    def __init__(self, link_mbps: float) -> None:
        """Creates a pacer.

        Args:
            link_mbps: Rate of the instance's network link in Mbit/s; 0 if it is
                unknown, which delays nothing.
        """
        rate = link_mbps * BYTES_PER_S_PER_MBPS or math.inf
        self._is_paced = rate < math.inf
        self._schedule = transfer_schedule.TransferSchedule(rate)
        self._numbers = itertools.count()
        # Futures of the transfers that wait for their turn; the result is the
        # size of the next piece.
        self._turns: dict[int, asyncio.Future[int]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def backlog_s(self) -> float:
        """Time that the link needs for the answers that wait, in seconds."""
        return self._schedule.backlog_s(time.monotonic())

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
