"""HTTP/1.1 server for whole requests.

hypercorn does not fit here: a caller that leaves must cancel its call at once,
and a request must cost a fraction of a millisecond beside an upstream.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
import math
import socket
import time
from typing import Any
from typing import NamedTuple

import anyio
import loguru

from rattangauge import futures
from rattangauge import util
from rattangauge.http import messages
from rattangauge.http import parsing

# Requests that a caller may send ahead before the daemon stops to read.
MAX_AHEAD = 16
# Requests of one connection that are served at the same time.
MAX_TOGETHER = 16
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
# A caller that does not read its response for this time is cut off.
SEND_TIMEOUT_S = 10.0
# After an error the rest of the request is read for this time, so that the
# caller receives the response rather than a reset.
LINGER_S = 0.5
# Bodies of all requests that a daemon holds at a time.
MAX_HELD_BYTES = 96 * 1024 * 1024


class Limits(NamedTuple):
    """Limits on what callers may send.

    Attributes:
        header_bytes: Size of the headers.
        body_bytes: Size of a body.
        header_s: Time that the headers may take, in seconds.
        idle_s: Time after which an idle connection is closed, in seconds.
        body_s: Time in which a body must make progress, in seconds.
    """

    header_bytes: int = 32_768
    body_bytes: int = 64 * 1024 * 1024
    header_s: float = 10.0
    idle_s: float = 60.0
    body_s: float = 30.0


Handler = Callable[[messages.Request], Awaitable[messages.Response]]


class Server:
    """Serves callers at one address."""

    def __init__(
        self, handler: Handler, limits: Callable[[], Limits] = Limits
    ) -> None:
        """Creates a server.

        Args:
            handler: Answers a request; it is cancelled if the caller leaves.
            limits: Returns the limits in force.
        """
        self._handler = handler
        self._limits = limits
        self._is_closing = False
        self._connections: set[_Connection] = set()
        self.held_bytes = 0

    @property
    def limits(self) -> Limits:
        """Limits in force."""
        return self._limits()

    @property
    def is_closing(self) -> bool:
        """Whether each response ends its connection."""
        return self._is_closing

    @property
    def busy(self) -> int:
        """Connections with a request that was begun."""
        return sum(1 for c in self._connections if c.is_busy)

    def close_connections(self) -> None:
        """Ends each connection with its next response."""
        self._is_closing = True

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a request."""
        return await self._handler(request)

    async def serve(self, listener: socket.socket) -> None:
        """Serves connections until cancelled.

        Args:
            listener: A socket from ``util.listen``; it is closed at the end.
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _Connection(self),
            sock=listener,
            backlog=util.LISTEN_BACKLOG,
        )
        try:
            await anyio.sleep_forever()
        finally:
            server.close()
            for connection in list(self._connections):
                connection.close()

    def add(self, connection: "_Connection") -> None:
        """Takes a new connection."""
        self._connections.add(connection)

    def discard(self, connection: "_Connection") -> None:
        """Forgets a connection."""
        self._connections.discard(connection)


class _Turn:
    """A request whose response is due, in the order of the requests.

    Attributes:
        request: The request.
        response: The response, once there is one.
    """

    def __init__(self, request: messages.Request) -> None:
        self.request = request
        self.response: messages.Response | None = None


class _Connection(asyncio.Protocol):
    """One connection of a caller.

    Requests that change nothing are served at the same time if the caller sent
    them ahead; their responses keep the order.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._tasks = futures.Tasks()
        self._turns: deque[_Turn] = deque()
        self._fault: parsing.MessageError | None = None
        self._held = 0
        self._is_paused = False
        self._is_ending = False
        self._told_continue = False
        self._due_at = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun and is not answered."""
        has_more = self._reader.has_begun or bool(self._reader.requests)
        return bool(self._turns) or has_more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to serve a caller."""
        limits = self._server.limits
        self._transport: Any = transport
        self._reader = parsing.RequestReader(
            parsing.Bounds(limits.header_bytes, limits.body_bytes)
        )
        self._server.add(self)
        self._set_due(limits.idle_s)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the caller."""
        if self._fault is not None or self._is_ending:
            return
        had_begun = self._reader.has_begun
        had_headers = self._reader.has_headers
        self._take(data)
        self._start_all()
        self._limit_arrival(had_begun, had_headers)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the calls of a caller that left."""
        self._is_ending = True
        self._tasks.cancel()
        self._hold(0)
        self._server.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def pause_writing(self) -> None:
        """Notes that the caller reads slowly."""
        self._is_paused = True
        self._set_due(SEND_TIMEOUT_S)

    def resume_writing(self) -> None:
        """Notes that the caller reads on."""
        self._is_paused = False
        self._set_due(math.inf)
        self._send_all()

    def close(self) -> None:
        """Ends the connection and its calls."""
        self._is_ending = True
        self._tasks.cancel()
        self._transport.close()

    def _hold(self, size: int) -> None:
        """Counts the bytes of bodies that the connection holds."""
        self._server.held_bytes += size - self._held
        self._held = size

    def _take(self, data: bytes) -> None:
        try:
            self._reader.feed(data, time.monotonic())
        except parsing.MessageError as fault:
            self._fault = fault
            return
        self._hold(self._reader.body_size)
        if self._server.held_bytes > MAX_HELD_BYTES:
            reason = "the daemon holds too many bodies"
            self._fault = parsing.MessageError(503, reason)

    def _start_all(self) -> None:
        """Starts the requests that may run now."""
        requests = self._reader.requests
        while requests and not self._is_ending and self._may_start(requests[0]):
            turn = _Turn(requests.popleft())
            self._turns.append(turn)
            self._tasks.start(self._handle(turn))
        self._limit_ahead()
        if self._fault is not None and not self._turns and not requests:
            self._refuse(self._fault)

    def _limit_ahead(self) -> None:
        """Reads no further while many requests wait."""
        if self._is_ending:
            return
        has_many = len(self._reader.requests) >= MAX_AHEAD
        if has_many and self._transport.is_reading():
            self._transport.pause_reading()
        elif not has_many and not self._transport.is_reading():
            self._transport.resume_reading()

    def _may_start(self, request: messages.Request) -> bool:
        """Tells whether a request may run beside those before it.

        A caller sends all requests behind a response that ends the connection
        again: those that change something wait for their turn.
        """
        if not self._turns:
            return True
        methods = {request.method, self._turns[-1].request.method}
        return methods <= SAFE_METHODS and len(self._turns) < MAX_TOGETHER

    async def _handle(self, turn: _Turn) -> None:
        try:
            turn.response = await self._server.handle(turn.request)
            self._send_all()
        except Exception:  # one connection must not end the daemon
            loguru.logger.exception("a request failed")
            self.close()

    def _send_all(self) -> None:
        """Sends the responses that are due, in the order of the requests."""
        while self._turns and not self._is_ending and not self._is_paused:
            turn = self._turns[0]
            if turn.response is None:
                return
            self._turns.popleft()
            self._answer(turn, turn.response)
        if not self._is_ending and not self._is_paused:
            self._start_all()
            self._limit_wait()

    def _answer(self, turn: _Turn, response: messages.Response) -> None:
        keeps_alive = turn.request.keeps_alive and not self._server.is_closing
        self._send(response, turn.request.method, keeps_alive)
        if not keeps_alive:
            self.close()

    def _limit_arrival(self, had_begun: bool, had_headers: bool) -> None:
        """Bounds the time in which the rest of a request must come.

        Args:
            had_begun: Whether the request had begun before the last bytes.
            had_headers: Whether its headers were whole before them.
        """
        reader = self._reader
        if self._is_ending or self._is_paused:
            return
        # The time for the headers counts from their first byte.
        is_same = had_begun and not had_headers and not reader.has_headers
        if not reader.has_begun or not is_same:
            self._limit_wait()
        if not reader.expects_continue:
            self._told_continue = False
        elif not self._told_continue:
            self._told_continue = True
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _limit_wait(self) -> None:
        """Bounds the wait for the next bytes of the caller."""
        limits = self._server.limits
        if self._reader.has_headers:
            self._set_due(limits.body_s)
        elif self._reader.has_begun:
            self._set_due(limits.header_s)
        else:
            self._set_due(math.inf if self._turns else limits.idle_s)

    def _set_due(self, seconds: float) -> None:
        """Sets the time at which the wait for the caller ends.

        A timer that runs out before is left alone: it then looks again.
        """
        self._due_at = time.monotonic() + seconds
        if self._due_at < self._timer_at:
            self._arm(seconds)

    def _arm(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = time.monotonic() + seconds
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._check_due)

    def _check_due(self) -> None:
        """Ends the wait for the caller, if no further byte has put it off."""
        self._timer, self._timer_at = None, math.inf
        left_s = self._due_at - time.monotonic()
        if left_s > 0.0:
            if left_s < math.inf:
                self._arm(left_s)
        elif self._is_paused:
            loguru.logger.warning("a caller does not read its response")
            self._transport.abort()
        elif self._turns:
            self._limit_wait()
        elif self._reader.has_begun:
            reason = "the request did not arrive in time"
            self._refuse(parsing.MessageError(408, reason))
        else:
            self.close()

    def _send(
        self, response: messages.Response, method: str, keeps_alive: bool
    ) -> None:
        headers = [
            header
            for header in response.headers
            if header[0] not in (b"content-length", b"connection")
        ]
        length = b"%d" % len(response.body)
        body = response.body
        if method == "HEAD":
            length = response.header(b"content-length") or length
            body = b""
        if response.status not in (204, 304):
            headers.append((b"content-length", length))
        if not keeps_alive:
            headers.append((b"connection", b"close"))
        whole = messages.Response(response.status, tuple(headers), body)
        self._write(messages.encode_response(whole))

    def _write(self, data: bytes) -> None:
        # uvloop refuses writes from the end of a connection on, which is
        # before it reports the end.
        if not self._transport.is_closing():
            self._transport.write(data)

    def _refuse(self, fault: parsing.MessageError) -> None:
        """Answers a request that is not handled, and ends the connection."""
        loguru.logger.warning("a request is refused: {}", fault)
        self._fault = fault
        self._is_ending = True
        self._send(messages.Response(fault.status), "GET", False)
        if self._transport.can_write_eof() and not self._transport.is_closing():
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self._transport.close)
