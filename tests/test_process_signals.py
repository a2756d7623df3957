"""Signals that stop a daemon or have its settings read."""

import os
import signal

import anyio
import pytest

from rattangauge import process_signals


@pytest.mark.parametrize(
    ("number", "expected"),
    [
        (signal.SIGTERM, "stop"),
        (signal.SIGINT, "stop"),
        (signal.SIGHUP, "reload"),
    ],
)
async def test_each_signal_has_its_action_each_time(number, expected):
    """Guards against a second signal that ends the daemon at once."""
    actions = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            process_signals.handle,
            lambda: actions.append("stop"),
            lambda: actions.append("reload"),
        )
        await anyio.sleep(0.05)
        for _ in range(2):
            os.kill(os.getpid(), number)
            await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    assert actions == [expected] * 2
