"""Timeouts that are restarted."""

import math

import anyio
import pytest

from rattangauge.http import timeout as timeout_module

pytestmark = pytest.mark.anyio


async def ends(*steps):
    """Returns how often a timeout has ended after each step.

    Args:
        *steps: Times to restart it with, in seconds; None cancels it. Each step
            is followed by a wait of 40 ms.
    """
    count = 0

    def handle():
        nonlocal count
        count += 1

    timeout = timeout_module.Timeout(handle)
    counts = []
    for seconds in steps:
        if seconds is None:
            timeout.cancel()
        else:
            timeout.restart(seconds)
        await anyio.sleep(0.04)
        counts.append(count)
    return counts


async def test_a_timeout_ends_once():
    """Guards against a timer that is never started or runs again."""
    assert await ends(0.01, math.inf) == [1, 1]


async def test_a_restart_with_more_time_postpones_the_end():
    """Guards against a kept timer that ends the time too early."""
    assert await ends(0.06, 0.06, 0.06, math.inf) == [0, 0, 0, 0]


async def test_a_restart_with_less_time_ends_earlier():
    """Guards against a kept timer that ends the time too late."""
    assert await ends(60.0, 0.01) == [0, 1]


async def test_a_cancelled_timeout_ends_only_after_a_restart():
    """Guards against an end after the connection is lost."""
    assert await ends(0.06, None, None, 0.01) == [0, 0, 0, 1]
