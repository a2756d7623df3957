"""HTTP/1.1 client for one upstream.

httpcore is not used for three reasons: a response that belongs to another
request must be skipped; an idle connection must be checked before a call that
must not run twice is sent on it; a response without a length is not complete if
the connection ends in a reset.
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
from rattangauge import receivememory
from rattangauge import util
from rattangauge.http import messages
from rattangauge.http import pacing
from rattangauge.http import parsing

CONNECT_TIMEOUT_S = 1.0
# An idle connection that the upstream closes within this time is not reused, so
# that no request is sent on a connection that is about to end.
IDLE_MARGIN_S = 1.0
# Keep-alive timeout of an upstream that does not announce one.
DEFAULT_IDLE_S = 4.0
MAX_HEADER_BYTES = 65_536
# Largest body of a response; less on a machine with little memory.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Limit of a response beside its headers and body.
FRAMING_BYTES = 256 * 1024
# Number of responses to other requests after which an exchange fails.
MAX_SKIPPED = 8


class NotSentError(Exception):
    """The request was not sent, so the upstream has not run it."""


class NoResponseError(Exception):
    """The request was sent and no complete response was received."""


class _Connection(asyncio.Protocol):
    """One connection to the upstream.

    Attributes:
        is_reused: Whether an earlier request was sent on it.
        reusable_until: Time until which the idle connection may be reused, on
            the clock of ``time.monotonic``, in seconds.
    """

    def __init__(self, memory: receivememory.ReceiveMemory) -> None:
        """Creates a connection.

        Args:
            memory: Memory of all messages that have been received in part.
        """
        self._memory = memory
        self._has_ended = False
        self.is_reused = False
        self.reusable_until = 0.0
        self._reader: parsing.ResponseReader | None = None
        self._error: Exception | None = None
        self._response_waiter: asyncio.Future[None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent on the connection."""
        # uvloop raises an error for a write after the end of the connection,
        # which may be before it calls connection_lost.
        return not self._has_ended and not self._transport.is_closing()

    @property
    def _is_sent(self) -> bool:
        """Whether the upstream's machine has confirmed the whole request.

        What the kernel has not sent yet, or the other side has not confirmed,
        the upstream cannot have read. A response to a request that was read
        whole confirms it.
        """
        if self._transport.get_write_buffer_size():
            return False
        transport_socket = self._transport.get_extra_info("socket")
        return not util.unconfirmed_bytes(transport_socket.fileno())

    @property
    def has_unread(self) -> bool:
        """Whether bytes, or the end, have arrived and were not read yet."""
        descriptor = self._transport.get_extra_info("socket").fileno()
        return util.has_unread([descriptor])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self._transport: Any = transport
        self._pacer = pacing.ReadPacer(transport)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; aborts if no request is waiting for them."""
        if self._reader is None:
            self.abort()
            return
        try:
            self._reader.feed(data)
        except parsing.MessageError as error:
            self._fail(error)
            return
        self._memory.update(self, self._reader.held_bytes)
        self._pacer.record_read(len(data))
        futures.wake(self._response_waiter)

    def give_up(self, reason: str) -> None:
        """Ends the connection, since its response takes too much memory."""
        self._fail(parsing.MessageError(413, reason))

    def _fail(self, error: parsing.MessageError) -> None:
        """Ends the connection and discards what it has received in part."""
        self._error = error
        self.abort()
        if self._reader is not None:
            self._reader.discard()
        self._memory.update(self, 0)
        futures.wake(self._response_waiter)

    def eof_received(self) -> bool:
        """Completes a response without a length.

        After a reset, or before the whole request was sent, it is a part of a
        response.
        """
        self._has_ended = True
        if self._reader is None or _was_reset(self._transport):
            return False
        if not self._is_sent:
            reason = "the connection ended before the whole request was sent"
            self._fail(parsing.MessageError(400, reason))
            return False
        try:
            self._reader.end()
        except parsing.MessageError as error:
            self._fail(error)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes the exchange that is waiting for a response."""
        self._has_ended = True
        self._error = self._error or exc or EOFError("the connection ended")
        futures.wake(self._response_waiter)

    def abort(self) -> None:
        """Closes the connection at once."""
        self._has_ended = True
        self._transport.abort()

    def send(self, data: bytes, has_body: bool) -> None:
        """Sends a request and prepares for its response.

        Args:
            data: The request.
            has_body: Whether the response may have a body.
        """
        body_bytes = min(MAX_RESPONSE_BYTES, self._memory.message_bytes)
        limits = parsing.MessageLimits(
            MAX_HEADER_BYTES, body_bytes, FRAMING_BYTES
        )
        self._reader = parsing.ResponseReader(limits, has_body)
        self._transport.write(data)

    async def receive(self, deadline: float) -> messages.Response:
        """Returns the next complete response.

        Raises:
            NoResponseError: The connection ended or the response is not valid.
            TimeoutError: No response was received by the deadline.
        """
        assert self._reader is not None
        while not self._reader.responses:
            if self._error is not None:
                raise NoResponseError(repr(self._error))
            self._response_waiter = asyncio.get_running_loop().create_future()
            await futures.wait(self._response_waiter, deadline)
        return self._reader.responses.popleft()

    def finish(self) -> bool:
        """Ends an exchange.

        Returns:
            Whether the connection may be reused: the request was sent
            completely and nothing was received after the response.
        """
        reader, self._reader = self._reader, None
        assert reader is not None
        self._memory.update(self, 0)
        has_more = reader.has_begun or bool(reader.responses)
        return self.is_open and not has_more and self._is_sent


def _was_reset(transport: Any) -> bool:
    """Tells whether a connection that has ended was reset.

    uvloop may report a reset as a regular end. The state of the socket shows
    the difference.
    """
    transport_socket = transport.get_extra_info("socket")
    try:
        if transport_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
        with socket.socket(
            fileno=os.dup(transport_socket.fileno())
        ) as duplicate:
            return bool(duplicate.recv(1, socket.MSG_PEEK))
    except OSError as error:
        loguru.logger.debug(
            "a connection to the upstream was reset: {!r}", error
        )
        return True


def _keep_alive_s(response: messages.Response) -> float:
    """Returns the keep-alive timeout of the upstream, in seconds."""
    for part in response.header(b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return DEFAULT_IDLE_S


class Client:
    """Client of one upstream with a pool of idle connections."""

    def __init__(
        self,
        address: util.Address,
        id_header: bytes,
        memory: receivememory.ReceiveMemory,
    ) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            address: Address of the upstream.
            id_header: Name of the header that identifies a request and its
                response.
            memory: Memory of all messages that have been received in part.
        """
        self._address = address
        self._id_header = id_header
        self._memory = memory
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
            deadline: Time by which the response must be complete, on the clock
                of ``time.monotonic``, in seconds.

        Raises:
            NotSentError: No connection could be opened, or the request has
                characters that HTTP cannot express.
            NoResponseError: No complete response was received.
            TimeoutError: No response was received by the deadline.
        """
        try:
            data = messages.encode_request(request)
        except UnicodeEncodeError as error:
            raise NotSentError(str(error)) from error
        # A response without a body must be the first of its connection.
        has_body = request.method != "HEAD"
        # Only an identity tells the response of a reused connection.
        may_reuse = has_body and bool(request.header(self._id_header))
        connection = await self._connect(may_reuse)
        response = None
        try:
            connection.send(data, has_body)
            response = await self._receive(connection, request, deadline)
        finally:
            is_reusable = connection.finish()
            if response is None or not (is_reusable and response.keeps_alive):
                connection.abort()
        if connection.is_open:
            idle_s = _keep_alive_s(response) - IDLE_MARGIN_S
            connection.reusable_until = time.monotonic() + idle_s
            connection.is_reused = True
            self._idle.append(connection)
        return response

    async def _connect(self, may_reuse: bool) -> _Connection:
        """Returns an idle connection that may be reused, or opens one.

        Args:
            may_reuse: Whether an idle connection may be returned.

        Raises:
            NotSentError: No connection could be opened.
        """
        now = time.monotonic()
        while may_reuse and self._idle:
            connection = self._idle.pop()
            is_current = now < connection.reusable_until
            if connection.is_open and is_current and not connection.has_unread:
                return connection
            connection.abort()
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _transport, connection = await loop.create_connection(
                    lambda: _Connection(self._memory),
                    self._address.host,
                    self._address.port,
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
        """Receives the response to a request and skips those to others.

        A response without an identity is that to the only request of its
        connection. On a reused connection it may repeat an earlier one, so the
        outcome of the request is unknown.

        Raises:
            NoResponseError: No response to this request was received.
            TimeoutError: No response was received by the deadline.
        """
        expected_id = request.header(self._id_header)
        for _ in range(MAX_SKIPPED):
            response = await connection.receive(deadline)
            response_id = response.header(self._id_header)
            if response_id and expected_id:
                if response_id == expected_id:
                    return response
                continue
            if not connection.is_reused:
                return response
            raise NoResponseError(
                f"a response with status {response.status} on a reused "
                "connection does not tell its request"
            )
        raise NoResponseError("the responses belong to other requests")
