"""Calls that wait for a slot of the upstream, as futures."""

import asyncio
from collections.abc import Callable
import time

from rattangauge import futures
from rattangauge.calls import call_queue

# Shortest delay of a timer.
MIN_TIMER_S = 0.001


class SlotWaiters:
    """Wakes the calls that the queue of the upstream starts or refuses."""

    def __init__(self, current_queue: Callable[[], call_queue.Queue]) -> None:
        """Starts without calls.

        Args:
            current_queue: Returns the queue of the present upstream process.
        """
        self._current_queue = current_queue
        # Futures by number of the call; the result is whether it got a slot.
        self._futures: dict[int, asyncio.Future[bool]] = {}
        # Starts the next call that waits beside a free slot.
        self._start_timer: asyncio.TimerHandle | None = None

    async def wait(
        self, queue: call_queue.Queue, waiter: call_queue.QueuedCall
    ) -> bool:
        """Offers a call to a queue and waits for its slot.

        Args:
            queue: The queue.
            waiter: The call.

        Returns:
            Whether it got a slot while that was of use.
        """
        slot_future = asyncio.get_running_loop().create_future()
        self._futures[waiter.number] = slot_future
        try:
            now = time.monotonic()
            self.resume(queue.offer(waiter, now))
            if not slot_future.done():
                hold_s = queue.hold_s(waiter.kind)
                limit = call_queue.give_up_at(waiter, hold_s, now)
                await futures.wait(slot_future, limit)
            return bool(slot_future.result())
        except TimeoutError:
            return False
        finally:
            del self._futures[waiter.number]

    def resume(self, outcome: call_queue.QueueDecision) -> None:
        """Resumes the calls that got a slot or were refused."""
        for waiter in outcome.started:
            self._resume_call(waiter, True)
        for waiter in outcome.refused:
            self._resume_call(waiter, False)
        self._schedule_start()

    def _resume_call(
        self, waiter: call_queue.QueuedCall, has_slot: bool
    ) -> None:
        slot_future = self._futures[waiter.number]
        if not slot_future.done():
            slot_future.set_result(has_slot)

    def _schedule_start(self) -> None:
        """Sets the timer for the next call that waits beside a free slot.

        It waits for the limit on the rate or for reserved slots. All other
        waiting calls start when a running one ends.
        """
        delay_s = self._current_queue().next_start_s(time.monotonic())
        if delay_s is None or self._start_timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._start_timer = loop.call_later(
            max(MIN_TIMER_S, delay_s), self._start_waiting
        )

    def _start_waiting(self) -> None:
        self._start_timer = None
        self.resume(self._current_queue().advance(time.monotonic()))
