"""Opens the listening sockets of a daemon, as soon as their ports are free."""

from collections.abc import Sequence
import contextlib
import errno
import socket

import anyio
import loguru

from rattangauge import util

# Errors that pass by themselves: the daemon before this one has not ended, a
# connection of another process has the port, or a network interface is not up.
PASSING_ERRORS = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))
# Time between two attempts, and between two log lines about them.
RETRY_S = 0.05
LOG_PERIOD_S = 10.0


async def open_all(addresses: Sequence[util.Address]) -> list[socket.socket]:
    """Opens a listening socket for each address, all or none.

    Waits while an address is in use or does not belong to this host yet.

    Raises:
        OSError: An address cannot be listened at for another reason.
    """
    logged_at = -LOG_PERIOD_S
    while True:
        try:
            return _open_all(addresses)
        except OSError as error:
            if error.errno not in PASSING_ERRORS:
                raise
            now = anyio.current_time()
            if now - logged_at >= LOG_PERIOD_S:
                logged_at = now
                loguru.logger.warning("waiting for an address: {}", error)
        await anyio.sleep(RETRY_S)


def _open_all(addresses: Sequence[util.Address]) -> list[socket.socket]:
    """Opens all sockets before the first one listens.

    No connection is accepted for an attempt that fails at a later address.
    """
    with contextlib.ExitStack() as stack:
        listeners = [
            stack.enter_context(util.bind(*address)) for address in addresses
        ]
        for listener in listeners:
            util.start_listening(listener)
        stack.pop_all()
    return listeners
