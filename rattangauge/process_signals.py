"""Signals by which the platform stops a daemon or has its settings read."""

from collections.abc import Callable
import signal

import anyio
import loguru

Action = Callable[[], None]


async def handle(stop: Action, reload: Action | None = None) -> None:
    """Acts on signals until cancelled.

    Args:
        stop: Called at SIGTERM and SIGINT, each time.
        reload: Called at SIGHUP; if None, SIGHUP keeps its default action.
    """
    numbers = [signal.SIGTERM, signal.SIGINT]
    if reload is not None:
        numbers.append(signal.SIGHUP)
    with anyio.open_signal_receiver(*numbers) as signals:
        async for number in signals:
            if reload is not None and number == signal.SIGHUP:
                reload()
                continue
            loguru.logger.info(
                "received {}, shutting down", signal.Signals(number).name
            )
            stop()
