"""HTTP/1.1 client for whole requests to one upstream.

httpcore does not fit here: an answer that belongs to another request must be
skipped, an idle connection must be checked before a call that may run once is
sent on it, and a response without a length that ends in a reset is not whole.
"""

import asyncio
import math
import os
import socket
import time
from typing import Any

import anyio
import loguru

from rattangauge import futures
from rattangauge import util
from rattangauge.http import messages
from rattangauge.http import parsing

CONNECT_TIMEOUT_S = 1.0
# Idle connections are closed this long before the upstream would do it.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_S = 4.0
MAX_HEADER_BYTES = 65_536
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Responses to other requests that are skipped before a connection is given up.
MAX_SKIPPED = 8

_BOUNDS = parsing.Bounds(MAX_HEADER_BYTES, MAX_RESPONSE_BYTES)


class NotSentError(Exception):
    """No byte of the request was sent."""


class BrokenError(Exception):
    """The request was sent and there is no whole response."""


class _Connection(asyncio.Protocol):
    """One connection to the upstream.

    Attributes:
        until: Time until which it may be used again.
    """

    def __init__(self) -> None:
        self._has_ended = False
        self.until = 0.0
        self._reader: parsing.ResponseReader | None = None
        self._fault: Exception | None = None
        self._receiver: asyncio.Future[None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent on it."""
        # uvloop refuses writes from the end of a connection on, which is
        # before it reports the end.
        return not self._has_ended and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        """Takes bytes of a response; those without a request end the use."""
        if self._reader is None:
            self.abort()
            return
        try:
            self._reader.feed(data)
        except parsing.MessageError as fault:
            self._fault = fault
        futures.wake(self._receiver)

    def eof_received(self) -> bool:
        """Takes the clean end of the connection; a reset is none."""
        self._has_ended = True
        if self._reader is not None and not _was_reset(self._transport):
            self._reader.end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes that the connection has ended."""
        self._has_ended = True
        self._fault = self._fault or exc or EOFError("the connection ended")
        futures.wake(self._receiver)

    def abort(self) -> None:
        """Ends the connection at once."""
        self._has_ended = True
        self._transport.abort()

    def send(self, data: bytes) -> None:
        """Sends a request; its responses are read from now on."""
        self._reader = parsing.ResponseReader(_BOUNDS)
        self._transport.write(data)

    async def receive(self, deadline: float) -> messages.Response:
        """Returns the next whole response.

        Raises:
            BrokenError: There is none.
            TimeoutError: There was none by the deadline.
        """
        assert self._reader is not None
        while not self._reader.responses:
            if self._fault is not None:
                raise BrokenError(repr(self._fault))
            self._receiver = asyncio.get_running_loop().create_future()
            await futures.wait(self._receiver, deadline)
        return self._reader.responses.popleft()

    def finish(self) -> bool:
        """Ends an exchange; returns whether the connection may be kept."""
        reader, self._reader = self._reader, None
        assert reader is not None
        has_more = reader.has_begun or bool(reader.responses)
        is_sent = not self._transport.get_write_buffer_size()
        return self.is_open and is_sent and not has_more


def _was_reset(transport: Any) -> bool:
    """Tells whether a connection that has ended was reset.

    uvloop reports a reset as a clean end if the socket hangs up before it is
    read again; the socket itself still knows.
    """
    pseudo = transport.get_extra_info("socket")
    try:
        if pseudo.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
        with socket.socket(fileno=os.dup(pseudo.fileno())) as duplicate:
            return bool(duplicate.recv(1, socket.MSG_PEEK))
    except OSError as error:
        loguru.logger.debug("a connection was reset: {!r}", error)
        return True


def _keep_alive_s(response: messages.Response) -> float:
    """Returns the time for which the upstream keeps the connection."""
    for part in response.header(b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return DEFAULT_IDLE_S


class Client:
    """Connections to one upstream."""

    def __init__(self, address: util.Address, identity: bytes) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            address: Address of the upstream.
            identity: Header that names the request in both directions.
        """
        self._address = address
        self._identity = identity
        self._idle: list[_Connection] = []

    @property
    def address(self) -> util.Address:
        """Address of the upstream."""
        return self._address

    def close(self) -> None:
        """Closes the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    async def exchange(
        self, request: messages.Request, deadline: float = math.inf
    ) -> messages.Response:
        """Sends a request and returns its response.

        Args:
            request: The request.
            deadline: Time on the clock of ``time.monotonic``, in seconds.

        Raises:
            NotSentError: The upstream cannot be reached.
            BrokenError: There is no whole response.
            TimeoutError: There was none by the deadline.
        """
        connection = await self._connect()
        response = None
        try:
            connection.send(messages.encode_request(request))
            response = await self._receive(connection, request, deadline)
        finally:
            is_reusable = connection.finish()
            if response is None or not (is_reusable and response.keeps_alive):
                connection.abort()
        if connection.is_open:
            idle_s = _keep_alive_s(response) - IDLE_MARGIN_S
            connection.until = time.monotonic() + idle_s
            self._idle.append(connection)
        return response

    async def _connect(self) -> _Connection:
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and now < connection.until:
                return connection
            connection.abort()
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _transport, connection = await loop.create_connection(
                    _Connection, self._address.host, self._address.port
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(repr(error)) from error
        if not connection.is_open:
            raise NotSentError("the connection was reset while it was set up")
        return connection

    async def _receive(
        self,
        connection: _Connection,
        request: messages.Request,
        deadline: float,
    ) -> messages.Response:
        """Receives the response of a request; skips those of others."""
        wanted = request.header(self._identity)
        for _ in range(MAX_SKIPPED):
            response = await connection.receive(deadline)
            identity = response.header(self._identity)
            if not wanted or not identity or identity == wanted:
                return response
        raise BrokenError("the responses belong to other requests")
