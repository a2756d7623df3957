"""Outgoing connections to other daemons."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import time

import anyio
import anyio.abc

from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import connections
from rattangauge.net import streams

BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 1.0
# Purpose of the connections that carry short calls.
CALLS = "calls"
# Purpose of those that carry calls with larger bodies, so that a slow link
# delays no other call and no ping.
BODIES = "bodies"

Connection = connections.Connection
Handler = connections.Handler
Stream = streams.Stream


def backoff_s(failures: int, chance: float) -> float:
    """Returns the time to the next attempt after failures in a row, in seconds.

    Args:
        failures: Failures before the last one.
        chance: Random number from 0 to 1, which spreads the attempts.

    >>> backoff_s(0, 1.0), backoff_s(50, 0.0)
    (0.05, 0.5)
    """
    longest_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** min(failures, 10))
    return longest_s * (0.5 + chance / 2)


class Links:
    """Outgoing connections of a daemon, by address and purpose."""

    def __init__(
        self, settings: settings_module.Settings, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Creates the pool, whose connections the task group checks."""
        self._settings = settings
        self._owner = connections.Connections(settings.mesh.silence_s)
        tasks.start_soon(self._owner.run)
        self._connections: dict[tuple[str, str], Connection] = {}
        self._locks: dict[tuple[str, str], anyio.Lock] = {}
        self._idle_long: dict[str, list[Connection]] = {}
        # Failures in a row and the time before which no attempt is made.
        self._backoff: dict[str, tuple[int, float]] = {}

    async def _connect(self, address: str) -> Connection:
        failures, not_before = self._backoff.get(address, (0, 0.0))
        if time.monotonic() < not_before:
            text = f"{failures} attempts have failed; the next one is delayed"
            raise errors.CodedError(errorcodes.LINK_CONNECT, text, address)
        try:
            connection = await self._open(address)
        except errors.CodedError:
            delay_s = backoff_s(failures, random.random())
            not_before = time.monotonic() + delay_s
            self._backoff[address] = (failures + 1, not_before)
            raise
        self._backoff.pop(address, None)
        return connection

    async def _open(self, address: str) -> Connection:
        host, port = util.parse_address(address)
        own = util.parse_address(self._settings.listen.mesh)
        loop = asyncio.get_running_loop()
        connection = Connection(self._owner)
        is_made = False
        try:
            with anyio.fail_after(self._settings.mesh.connect_timeout_s):
                await loop.create_connection(
                    lambda: connection, host, port, local_addr=(own.host, 0)
                )
            is_made = True
        except (OSError, TimeoutError) as error:
            raise errors.CodedError(
                errorcodes.LINK_CONNECT, str(error) or "timeout", address
            ) from error
        finally:
            if not is_made:
                connection.abandon()
        return connection

    async def shared(self, address: str, purpose: str) -> Connection:
        """Returns the shared connection for a purpose, opened if needed.

        Raises:
            errors.CodedError: The connection cannot be opened.
        """
        key = (address, purpose)
        connection = self._connections.get(key)
        if connection is not None and connection.is_open:
            return connection
        async with self._locks.setdefault(key, anyio.Lock()):
            connection = self._connections.get(key)
            if connection is None or not connection.is_open:
                connection = await self._connect(address)
                self._connections[key] = connection
        return connection

    def is_suspect(self, address: str) -> bool:
        """Tells whether the daemon at an address leaves a ping unanswered."""
        connection = self._connections.get((address, CALLS))
        if connection is None or not connection.is_open:
            return False
        return connection.is_suspect(time.monotonic())

    @contextlib.asynccontextmanager
    async def stream(
        self, address: str, purpose: str = "control"
    ) -> AsyncIterator[Stream]:
        """Opens a stream on the shared connection for a purpose.

        Raises:
            errors.CodedError: The connection cannot be opened.
        """
        connection = await self.shared(address, purpose)
        stream = connection.open_stream()
        try:
            yield stream
        finally:
            stream.discard()

    @contextlib.asynccontextmanager
    async def long_stream(self, address: str) -> AsyncIterator[Stream]:
        """Opens a stream on a connection that it has for itself.

        Raises:
            errors.CodedError: The connection cannot be opened.
        """
        idle = self._idle_long.setdefault(address, [])
        connection = None
        while idle and connection is None:
            candidate = idle.pop()
            connection = candidate if candidate.is_open else None
        if connection is None:
            connection = await self._connect(address)
        stream = connection.open_stream()
        try:
            yield stream
        finally:
            stream.discard()
            if connection.is_open:
                idle.append(connection)

    async def request(
        self,
        address: str,
        message: messages.Message,
        timeout_s: float,
        purpose: str = "control",
    ) -> messages.Message:
        """Sends a message and returns the first one that answers it.

        Raises:
            errors.CodedError: No answer came in time.
        """
        deadline = time.monotonic() + timeout_s
        try:
            connection = self._connections.get((address, purpose))
            if connection is None or not connection.is_open:
                with anyio.fail_after(timeout_s):
                    connection = await self.shared(address, purpose)
            return await _ask(connection, message, deadline)
        except TimeoutError as error:
            text = f"no answer in {timeout_s} s"
            raise errors.CodedError(
                errorcodes.LINK_SILENT, text, address
            ) from error


async def _ask(
    connection: Connection, message: messages.Message, deadline: float
) -> messages.Message:
    stream = connection.open_stream()
    try:
        await stream.send(message)
        return await stream.receive(deadline)
    finally:
        stream.discard()
