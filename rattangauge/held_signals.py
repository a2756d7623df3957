"""Holds signals back while no handler is installed for them.

A held signal waits in the kernel. Without this, a signal that arrives while a
daemon loads its modules, or after it has removed its handlers, ends the
process. This module is imported before all others and imports little.
"""

import signal

# Signals that stop a daemon, and the one that makes it read its settings.
STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
RELOAD_SIGNAL = signal.SIGHUP
# Signals without a meaning for a daemon. Their default action ends a process.
IGNORED_SIGNALS = frozenset((signal.SIGUSR1, signal.SIGUSR2))
ALL = STOP_SIGNALS | IGNORED_SIGNALS | {RELOAD_SIGNAL}

Signals = set[signal.Signals | int]


def hold() -> None:
    """Holds back all signals that a daemon handles."""
    signal.pthread_sigmask(signal.SIG_BLOCK, ALL)


def release() -> Signals:
    """Lets all signals through; returns those that were held before."""
    return signal.pthread_sigmask(signal.SIG_UNBLOCK, ALL)


def restore(held: Signals) -> None:
    """Holds back the signals that ``release`` returned, and no others."""
    signal.pthread_sigmask(signal.SIG_SETMASK, held)
