"""Bodies that are on their way over the network link of an instance."""

import time

import anyio
import pytest

from rattangauge.sidecar import receivebudget

# The limit is 100,000 bytes on their way.
LINK_MBPS = 100_000 / (
    receivebudget.BYTES_PER_S_PER_MBPS * receivebudget.MAX_LINK_TIME_S
)
TIMEOUT_S = 5.0


async def receive(budget, size, log, finish, timeout_s=TIMEOUT_S):
    """Reserves room for a body until an event is set."""
    async with budget.reserve(size, time.monotonic() + timeout_s):
        log.append(size)
        await finish.wait()


async def test_bodies_beyond_the_limit_wait_in_their_order():
    """Guards against a link that is full of bodies for seconds."""
    budget = receivebudget.ReceiveBudget(LINK_MBPS)
    granted = []
    finish = [anyio.Event() for _ in range(4)]
    async with anyio.create_task_group() as tasks:
        for number, size in enumerate((60_000, 30_000, 50_000, 10_000)):
            tasks.start_soon(receive, budget, size, granted, finish[number])
        await anyio.sleep(0.01)
        assert granted == [60_000, 30_000]
        finish[0].set()
        await anyio.sleep(0.01)
        assert granted == [60_000, 30_000, 50_000, 10_000]
        assert budget.reserved_bytes == 90_000
        for event in finish:
            event.set()
    assert budget.reserved_bytes == 0


async def test_a_body_above_the_limit_is_received_alone():
    """Guards against a large body that never gets its turn."""
    budget = receivebudget.ReceiveBudget(LINK_MBPS)
    granted = []
    first, large, last = (anyio.Event() for _ in range(3))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(receive, budget, 20_000, granted, first)
        await anyio.sleep(0.01)
        tasks.start_soon(receive, budget, 500_000, granted, large)
        await anyio.sleep(0.01)
        tasks.start_soon(receive, budget, 0, granted, last)
        await anyio.sleep(0.01)
        assert granted == [20_000]
        first.set()
        await anyio.sleep(0.01)
        assert granted == [20_000, 500_000]
        large.set()
        await anyio.sleep(0.01)
        assert granted == [20_000, 500_000, 0]
        last.set()
    assert budget.reserved_bytes == 0


async def test_a_call_that_ends_while_it_waits_frees_its_place():
    """Guards against room that is lost with cancelled and late calls."""
    budget = receivebudget.ReceiveBudget(LINK_MBPS)
    granted = []
    first = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(receive, budget, 90_000, granted, first)
        await anyio.sleep(0.01)
        with pytest.raises(TimeoutError):
            await receive(budget, 90_000, granted, anyio.Event(), 0.02)
        with anyio.move_on_after(0.02):
            await receive(budget, 90_000, granted, anyio.Event())
        first.set()
    assert granted == [90_000]
    assert budget.reserved_bytes == 0


async def test_a_body_that_does_not_come_frees_its_room():
    """Guards against a slow sender that keeps all others waiting."""
    budget = receivebudget.ReceiveBudget(LINK_MBPS)
    granted = []
    stalled, second = anyio.Event(), anyio.Event()
    second.set()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(receive, budget, 100_000, granted, stalled)
        await anyio.sleep(0.01)
        began = anyio.current_time()
        await receive(budget, 100_000, granted, second)
        waited_s = anyio.current_time() - began
        # The link carries the first body in MAX_LINK_TIME_S.
        assert waited_s >= 1.9 * receivebudget.MAX_LINK_TIME_S
        assert waited_s < 1.0
        assert budget.reserved_bytes == 0
        stalled.set()
    assert budget.reserved_bytes == 0


async def test_an_unknown_rate_sets_no_limit():
    """Guards against limits on links whose rate is not in the settings."""
    budget = receivebudget.ReceiveBudget(0.0)
    async with budget.reserve(10**9, 0.0), budget.reserve(10**9, 0.0):
        assert budget.reserved_bytes == 0
