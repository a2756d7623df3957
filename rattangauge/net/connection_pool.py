"""Pool of outgoing connections to other daemons."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import time

import anyio
import anyio.abc

from rattangauge import errors
from rattangauge import metrics
from rattangauge import settings as settings_module
from rattangauge import supervision
from rattangauge import util
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import connection_monitor
from rattangauge.net import connections
from rattangauge.net import streams

BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 1.0
# Purpose of the connections for calls with small bodies.
SMALL_BODIES = "calls"
# Purpose of the connections for calls with larger bodies. They are separate,
# so that a body on a slow network does not delay small calls and pings.
LARGE_BODIES = "bodies"

Connection = connections.Connection
Handler = connections.Handler
Stream = streams.Stream


def backoff_s(failures: int, fraction: float) -> float:
    """Returns the delay before the next attempt to connect, in seconds.

    Args:
        failures: Consecutive failures before the last one.
        fraction: Random number from 0 to 1. It spreads the attempts of several
            daemons over time.

    >>> backoff_s(0, 1.0), backoff_s(50, 0.0)
    (0.05, 0.5)
    """
    max_delay_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** min(failures, 10))
    return max_delay_s * (0.5 + fraction / 2)


class Links:
    """Outgoing connections of a daemon, by address and purpose.

    A purpose has one connection for each address, which all its streams share.
    Connections for long calls carry one stream at a time.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        tasks: anyio.abc.TaskGroup,
        record: supervision.Record = supervision.log_failure,
        record_sent: connection_monitor.RecordSent = metrics.observe_sent,
    ) -> None:
        """Creates the pool and starts the keepalive check in the task group.

        Args:
            settings: Settings of the daemon.
            tasks: Task group that runs the check.
            record: Records its unexpected errors.
            record_sent: Called with each message that is sent and its size in
                bytes.
        """
        self._settings = settings
        self._monitor = connection_monitor.ConnectionMonitor(
            settings.mesh.silence_s, record, record_sent
        )
        tasks.start_soon(self._monitor.run)
        self._connections: dict[tuple[str, str], Connection] = {}
        self._locks: dict[tuple[str, str], anyio.Lock] = {}
        self._idle_exclusive: dict[str, list[Connection]] = {}
        # For each address: consecutive failures to connect, and the time before
        # which no new attempt is made.
        self._backoff: dict[str, tuple[int, float]] = {}

    async def _connect(self, address: str) -> Connection:
        failures, not_before = self._backoff.get(address, (0, 0.0))
        if time.monotonic() < not_before:
            text = f"{failures} attempts have failed; the next one is delayed"
            raise errors.CodedError(errorcodes.LINK_CONNECT, text, address)
        try:
            connection = await self._establish(address)
        except errors.CodedError:
            delay_s = backoff_s(failures, random.random())
            not_before = time.monotonic() + delay_s
            self._backoff[address] = (failures + 1, not_before)
            raise
        self._backoff.pop(address, None)
        return connection

    async def _establish(self, address: str) -> Connection:
        """Opens a connection.

        Raises:
            errors.CodedError: The connection cannot be opened, or the text is
                no address: other daemons tell their addresses themselves.
        """
        try:
            host, port = util.parse_remote_address(address)
        except ValueError as error:
            raise errors.CodedError(
                errorcodes.LINK_CONNECT, str(error), address
            ) from error
        own_address = util.parse_address(self._settings.listen.mesh)
        loop = asyncio.get_running_loop()
        connection = Connection(self._monitor)
        is_established = False
        try:
            with anyio.fail_after(self._settings.mesh.connect_timeout_s):
                await loop.create_connection(
                    lambda: connection,
                    host,
                    port,
                    local_addr=(own_address.host, 0),
                )
            is_established = True
        except (OSError, TimeoutError) as error:
            raise errors.CodedError(
                errorcodes.LINK_CONNECT, str(error) or "timeout", address
            ) from error
        finally:
            if not is_established:
                connection.abandon()
        return connection

    async def shared(self, address: str, purpose: str) -> Connection:
        """Returns the shared connection for a purpose; opens it if needed.

        Raises:
            errors.CodedError: The connection cannot be opened.
        """
        key = (address, purpose)
        connection = self._connections.get(key)
        if connection is not None and connection.is_usable:
            return connection
        async with self._locks.setdefault(key, anyio.Lock()):
            connection = self._connections.get(key)
            if connection is None or not connection.is_usable:
                connection = await self._connect(address)
                self._connections[key] = connection
        return connection

    def is_suspect(self, address: str) -> bool:
        """Returns whether a ping to the daemon at an address is overdue.

        Only the connection for small calls is considered.
        """
        connection = self._connections.get((address, SMALL_BODIES))
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
        """Opens a stream on a connection that carries no other stream.

        The connection is reused for a later stream.

        Raises:
            errors.CodedError: The connection cannot be opened.
        """
        idle_connections = self._idle_exclusive.setdefault(address, [])
        connection = None
        while idle_connections and connection is None:
            candidate = idle_connections.pop()
            connection = candidate if candidate.is_usable else None
        if connection is None:
            connection = await self._connect(address)
        stream = connection.open_stream()
        try:
            yield stream
        finally:
            stream.discard()
            if connection.is_usable:
                idle_connections.append(connection)

    async def request(
        self,
        address: str,
        message: messages.Message,
        timeout_s: float,
        purpose: str = "control",
    ) -> messages.Message:
        """Sends a message on a new stream and returns the first reply.

        Raises:
            errors.CodedError: The connection failed, or no reply came within
                ``timeout_s`` seconds.
        """
        deadline = time.monotonic() + timeout_s
        try:
            connection = self._connections.get((address, purpose))
            if connection is None or not connection.is_usable:
                with anyio.fail_after(timeout_s):
                    connection = await self.shared(address, purpose)
            return await _request_on_stream(connection, message, deadline)
        except TimeoutError as error:
            text = f"no answer in {timeout_s} s"
            raise errors.CodedError(
                errorcodes.LINK_SILENT, text, address
            ) from error


async def _request_on_stream(
    connection: Connection, message: messages.Message, deadline: float
) -> messages.Message:
    stream = connection.open_stream()
    try:
        await stream.send(message)
        return await stream.receive(deadline)
    finally:
        stream.discard()
