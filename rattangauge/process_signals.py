"""Signals by which the platform stops a daemon or has its settings read."""

from collections.abc import Callable
import signal

import anyio
import loguru

from rattangauge import held_signals

Action = Callable[[], None]


async def handle(stop: Action, reload: Action | None = None) -> None:
    """Acts on signals until cancelled.

    Signals that were held back before are acted on first, and are held back
    again at the end, before the handlers are removed.

    Args:
        stop: Called at SIGTERM and SIGINT, each time.
        reload: Called at SIGHUP; if None, SIGHUP keeps its default action.
    """
    numbers = held_signals.STOP_SIGNALS | held_signals.IGNORED_SIGNALS
    if reload is not None:
        numbers |= {held_signals.RELOAD_SIGNAL}
    with anyio.open_signal_receiver(*numbers) as signals:
        held = held_signals.release()
        try:
            async for number in signals:
                _act(number, stop, reload)
        finally:
            held_signals.restore(held)


def _act(number: signal.Signals, stop: Action, reload: Action | None) -> None:
    name = signal.Signals(number).name
    if number in held_signals.STOP_SIGNALS:
        loguru.logger.info("received {}, shutting down", name)
        stop()
    elif reload is not None and number == held_signals.RELOAD_SIGNAL:
        reload()
    else:
        loguru.logger.info("received {}, which has no meaning here", name)
