"""HTTP/1.1 client for whole requests to one upstream.

httpcore does not fit here: an answer that belongs to another request must be
skipped, an idle connection must be checked before a call that may run once is
sent on it, and a response without a length that ends in a reset is not whole.
"""

import select
from typing import NamedTuple

import anyio
import anyio.abc
import loguru

from rattangauge import util
from rattangauge.http import messages
from rattangauge.http import parsing

RECEIVE_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# Idle connections are closed this long before the upstream would do it.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_S = 4.0
MAX_HEADER_BYTES = 65_536
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Responses to other requests that are skipped before a connection is given up.
MAX_SKIPPED = 8
# Bodies above this size are sent while the response is awaited.
LARGE_BODY_BYTES = 32_768

_BOUNDS = parsing.Bounds(MAX_HEADER_BYTES, MAX_RESPONSE_BYTES)
_ENDED = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class NotSentError(Exception):
    """No byte of the request was sent."""


class BrokenError(Exception):
    """The request was sent and there is no whole response."""


class _Idle(NamedTuple):
    """A connection that waits for its next request."""

    stream: anyio.abc.SocketStream
    until: float


def _has_input(stream: anyio.abc.SocketStream) -> bool:
    """Tells whether an idle connection has bytes or has ended."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


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
        self._idle: list[_Idle] = []

    @property
    def address(self) -> util.Address:
        """Address of the upstream."""
        return self._address

    async def aclose(self) -> None:
        """Closes the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await anyio.aclose_forcefully(connection.stream)

    async def exchange(self, request: messages.Request) -> messages.Response:
        """Sends a request and returns its response.

        Raises:
            NotSentError: The upstream cannot be reached.
            BrokenError: There is no whole response.
        """
        stream = await self._connect()
        is_reusable = False
        try:
            response, is_reusable = await self._exchange(stream, request)
        except (*_ENDED, parsing.SyntaxFault) as error:
            raise BrokenError(repr(error)) from error
        finally:
            if not is_reusable:
                await anyio.aclose_forcefully(stream)
        if is_reusable:
            idle_s = _keep_alive_s(response) - IDLE_MARGIN_S
            until = anyio.current_time() + idle_s
            self._idle.append(_Idle(stream, until))
        return response

    async def _connect(self) -> anyio.abc.SocketStream:
        now = anyio.current_time()
        while self._idle:
            idle = self._idle.pop()
            if now < idle.until and not _has_input(idle.stream):
                return idle.stream
            await anyio.aclose_forcefully(idle.stream)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await anyio.connect_tcp(
                    self._address.host, self._address.port
                )
        except (OSError, TimeoutError, AttributeError) as error:
            # uvloop raises AttributeError for a connection that is reset while
            # it is set up.
            raise NotSentError(repr(error)) from error

    async def _exchange(
        self, stream: anyio.abc.SocketStream, request: messages.Request
    ) -> tuple[messages.Response, bool]:
        """Returns the response and whether the connection may be used again."""
        data = messages.encode_request(request)
        if len(request.body) <= LARGE_BODY_BYTES:
            await stream.send(data)
            return await self._receive(stream, request)
        is_sent = False
        received: list[tuple[messages.Response, bool]] = []

        async def send() -> None:
            nonlocal is_sent
            try:
                await stream.send(data)
                is_sent = True
            except _ENDED as error:
                # The response, or its absence, tells what became of it.
                loguru.logger.debug("a body was not sent whole: {!r}", error)

        async def receive() -> None:
            try:
                received.append(await self._receive(stream, request))
            except (*_ENDED, parsing.SyntaxFault, BrokenError) as error:
                loguru.logger.debug("a response is not whole: {!r}", error)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            tasks.start_soon(receive)
        if not received:
            raise BrokenError("the connection ended inside the request")
        response, is_reusable = received[0]
        return response, is_reusable and is_sent

    async def _receive(
        self, stream: anyio.abc.SocketStream, request: messages.Request
    ) -> tuple[messages.Response, bool]:
        """Receives the response of a request; skips those of others."""
        wanted = request.header(self._identity)
        reader = parsing.ResponseReader(_BOUNDS)
        for _ in range(MAX_SKIPPED):
            response = await _next_response(stream, reader)
            identity = response.header(self._identity)
            if not wanted or not identity or identity == wanted:
                has_more = reader.has_begun or bool(reader.responses)
                return response, response.keeps_alive and not has_more
        raise BrokenError("the responses belong to other requests")


async def _next_response(
    stream: anyio.abc.SocketStream, reader: parsing.ResponseReader
) -> messages.Response:
    """Reads one whole response.

    Raises:
        anyio.EndOfStream: The connection ended before it was whole.
        anyio.BrokenResourceError: The connection was reset.
        parsing.SyntaxFault: The bytes are no response.
    """
    while not reader.responses:
        try:
            data = await stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            reader.end()
            if not reader.responses:
                raise
        else:
            reader.feed(data)
    return reader.responses.popleft()
