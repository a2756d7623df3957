"""Accepts the connections of one address until it is closed in order.

A connection that waits in the kernel's queue when its listening socket is
closed is reset, though its caller may have sent a request already. The event
loops have no means against this, so the queue is emptied right before the
close.
"""

import asyncio
from collections.abc import Callable
import errno
import socket

import loguru

from rattangauge import util

# Iterations of the event loop after which each connection that the loop has
# accepted has been passed to its protocol.
ACCEPT_TURNS = 4


class Acceptor:
    """Accepts connections at one listening socket."""

    def __init__(self, factory: Callable[[], asyncio.Protocol]) -> None:
        """Creates an acceptor.

        Args:
            factory: Returns the protocol of a new connection.
        """
        self._factory = factory
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None

    async def start(self, listener: socket.socket) -> None:
        """Starts to accept.

        Args:
            listener: A socket from ``util.listen``; the acceptor closes it.
        """
        self._listener = listener
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._factory, sock=listener, backlog=util.LISTEN_BACKLOG
        )

    def close(self) -> None:
        """Closes the listening socket at once."""
        if self._server is not None:
            self._server.close()
        self._listener = None

    async def stop(self) -> None:
        """Accepts the connections that wait and closes the listening socket.

        All of them have been passed to their protocols when it returns.
        """
        if self._listener is None:
            return
        # The loop of asyncio loses connections that it has accepted and not yet
        # set up when the server is closed.
        asyncio.get_running_loop().remove_reader(self._listener)
        await _run_turns()
        for connection in self._accept_waiting():
            await self._open(connection)
        await _run_turns()

    def _accept_waiting(self) -> list[socket.socket]:
        """Closes the listening socket once no connection waits there."""
        if self._listener is None:
            return []
        # The copy keeps the socket open when the event loop closes it.
        with self._listener.dup() as listener:
            self.close()
            return _accept_all(listener)

    async def _open(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._factory, connection)
        except OSError as error:
            loguru.logger.info("a caller left at once: {}", error)


def _accept_all(listener: socket.socket) -> list[socket.socket]:
    """Returns the connections that wait at a listening socket."""
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _address = listener.accept()
        except BlockingIOError:
            return accepted
        except OSError as error:
            if error.errno == errno.ECONNABORTED:
                continue  # the caller has left; others may wait behind it
            loguru.logger.warning("connections are not accepted: {}", error)
            return accepted
        connection.setblocking(False)
        accepted.append(connection)


async def _run_turns() -> None:
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)
