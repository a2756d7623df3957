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

import anyio
import loguru

from rattangauge import util
from rattangauge.net import synfilter

# Iterations of the event loop after which each connection that the loop has
# accepted has been passed to its protocol.
ACCEPT_TURNS = 4
# Time between two checks whether the event loop still listens. It closes the
# listening socket after an error, such as that no descriptor is left.
CHECK_PERIOD_S = 0.5


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

    async def run(self, listener: socket.socket) -> None:
        """Accepts connections until cancelled or stopped.

        Listens again whenever the event loop has closed the socket.

        Args:
            listener: A socket from ``util.listen``; the acceptor closes it.
        """
        host, port = listener.getsockname()[:2]
        await self._start(listener)
        while self._listener is not None:
            await anyio.sleep(CHECK_PERIOD_S)
            if self._listener is None or self._listener.fileno() >= 0:
                continue
            try:
                await self._start(util.listen(host, port))
            except OSError as error:
                loguru.logger.warning(
                    "cannot listen at {}:{} again: {}", host, port, error
                )
            else:
                loguru.logger.warning("listening at {}:{} again", host, port)

    async def _start(self, listener: socket.socket) -> None:
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
        listener = self._listener
        if listener is None or listener.fileno() < 0:
            self.close()
            return
        # The loop of asyncio loses connections that it has accepted and not yet
        # set up when the server is closed.
        asyncio.get_running_loop().remove_reader(listener)
        await _run_turns()
        for connection in self._accept_waiting():
            await self._open(connection)
        await _run_turns()

    def _accept_waiting(self) -> list[socket.socket]:
        """Closes the listening socket once no connection waits there."""
        if self._listener is None or self._listener.fileno() < 0:
            return []
        _refuse_more(self._listener)
        try:
            # The copy keeps the socket open when the event loop closes it.
            listener = self._listener.dup()
        except OSError as error:
            loguru.logger.warning(
                "connections that wait are not accepted: {}", error
            )
            self.close()
            return []
        with listener:
            self.close()
            return _accept_all(listener)

    async def _open(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._factory, connection)
        except OSError as error:
            loguru.logger.info("a caller left at once: {}", error)


def _refuse_more(listener: socket.socket) -> None:
    """Keeps connections from coming between the last accept and the close."""
    try:
        synfilter.attach(listener)
    except OSError as error:  # without it a connection may be reset
        loguru.logger.info("no filter at the listening socket: {}", error)


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
