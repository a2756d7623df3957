"""HTTP/1.1 server for whole requests.

hypercorn does not fit here: a caller that leaves must cancel its call at once,
and a request must cost a fraction of a millisecond beside an upstream.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc
import loguru

from rattangauge.http import messages
from rattangauge.http import parsing

LISTEN_BACKLOG = 1024
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
            listener: A socket from ``listen``; it is closed at the end.
        """
        loop = asyncio.get_running_loop()
        async with anyio.create_task_group() as tasks:
            server = await loop.create_server(
                lambda: _Connection(self, tasks),
                sock=listener,
                backlog=LISTEN_BACKLOG,
            )
            try:
                await anyio.sleep_forever()
            finally:
                server.close()

    def add(self, connection: "_Connection") -> None:
        """Takes a new connection."""
        self._connections.add(connection)

    def discard(self, connection: "_Connection") -> None:
        """Forgets a connection."""
        self._connections.discard(connection)


def listen(host: str, port: int = 0) -> socket.socket:
    """Returns a socket for ``Server.serve``; port 0 takes a free one.

    Raises:
        OSError: The address is in use.
    """
    listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


class _Turn:
    """A request whose response is due, in the order of the requests.

    Attributes:
        request: The request.
        is_done: Set when there is a response.
        response: The response.
    """

    def __init__(self, request: messages.Request) -> None:
        self.request = request
        self.is_done = anyio.Event()
        self.response: messages.Response | None = None


class _Connection(asyncio.Protocol):
    """One connection of a caller.

    Requests that change nothing are served at the same time if the caller sent
    them ahead; their responses keep the order.
    """

    def __init__(self, server: Server, tasks: anyio.abc.TaskGroup) -> None:
        self._server = server
        self._tasks = tasks
        self._fault: parsing.MessageError | None = None
        self._arrived = anyio.Event()
        self._scope = anyio.CancelScope()
        self._has_left = False
        self._held = 0
        self._turns: deque[_Turn] = deque()
        self._turned = anyio.Event()
        self._writable = anyio.Event()
        self._writable.set()

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun and is not answered."""
        has_more = self._reader.has_begun or bool(self._reader.requests)
        return bool(self._turns) or has_more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to serve a caller."""
        limits = self._server.limits
        peer = transport.get_extra_info("peername") or ("",)
        self._transport: Any = transport
        self._reader = parsing.RequestReader(
            parsing.Bounds(limits.header_bytes, limits.body_bytes),
            str(peer[0]),
        )
        self._server.add(self)
        self._tasks.start_soon(self._run)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the caller."""
        if self._fault is not None:
            return
        self._take(data)
        self._arrived.set()
        if len(self._reader.requests) >= MAX_AHEAD:
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the calls of a caller that left."""
        self._has_left = True
        self._writable.set()
        self._scope.cancel()

    def pause_writing(self) -> None:
        """Notes that the caller reads slowly."""
        self._writable = anyio.Event()

    def resume_writing(self) -> None:
        """Notes that the caller reads on."""
        self._writable.set()

    async def _run(self) -> None:
        """Serves requests until either end closes the connection."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._send_all, tasks)
                    await self._start_all(tasks)
        except Exception as error:  # one connection must not end the daemon
            loguru.logger.opt(exception=error).error("a connection failed")
        finally:
            self._hold(0)
            self._server.discard(self)
            self._transport.close()

    def _hold(self, size: int) -> None:
        """Counts the bytes of bodies that the connection holds."""
        self._server.held_bytes += size - self._held
        self._held = size

    def _take(self, data: bytes) -> None:
        try:
            self._reader.feed(data, anyio.current_time())
        except parsing.MessageError as fault:
            self._fault = fault
            return
        self._hold(self._reader.body_size)
        if self._server.held_bytes > MAX_HELD_BYTES:
            reason = "the daemon holds too many bodies"
            self._fault = parsing.MessageError(503, reason)

    async def _start_all(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the requests as they come."""
        while (request := await self._next()) is not None:
            while not self._may_start(request):
                await self._wait_turned()
            turn = _Turn(request)
            self._turns.append(turn)
            self._turned.set()
            tasks.start_soon(self._handle, turn)
        while self._turns:
            await self._wait_turned()
        if self._fault is not None:
            await self._refuse(self._fault)
        tasks.cancel_scope.cancel()

    def _may_start(self, request: messages.Request) -> bool:
        """Tells whether a request may run beside those before it.

        A caller sends all requests behind a response that ends the connection
        again: those that change something wait for their turn.
        """
        if not self._turns:
            return True
        methods = {request.method, self._turns[-1].request.method}
        return methods <= SAFE_METHODS and len(self._turns) < MAX_TOGETHER

    async def _wait_turned(self) -> None:
        self._turned = anyio.Event()
        await self._turned.wait()

    async def _handle(self, turn: _Turn) -> None:
        turn.response = await self._server.handle(turn.request)
        turn.is_done.set()

    async def _send_all(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sends the responses in the order of the requests."""
        while await self._send_next():
            pass
        tasks.cancel_scope.cancel()

    async def _send_next(self) -> bool:
        """Sends the next response; returns whether another one may follow."""
        while not self._turns:
            await self._wait_turned()
        turn = self._turns[0]
        await turn.is_done.wait()
        assert turn.response is not None
        keeps_alive = turn.request.keeps_alive and not self._server.is_closing
        await self._send(turn.response, turn.request.method, keeps_alive)
        self._turns.popleft()
        self._turned.set()
        return keeps_alive

    async def _next(self) -> messages.Request | None:
        """Returns the next request; None if there is no further one."""
        while not self._reader.requests:
            if self._fault is not None:
                return None
            timeout_s = await self._prepare()
            self._arrived = anyio.Event()
            with anyio.move_on_after(timeout_s) as scope:
                await self._arrived.wait()
            if scope.cancelled_caught and not self._turns:
                if self._reader.has_begun:
                    reason = "the request did not arrive in time"
                    self._fault = parsing.MessageError(408, reason)
                return None
        if not self._transport.is_reading():
            self._transport.resume_reading()
        return self._reader.requests.popleft()

    async def _prepare(self) -> float:
        """Returns the time in which more bytes must come."""
        limits = self._server.limits
        if not self._reader.has_begun:
            return limits.idle_s
        if not self._reader.has_headers:
            return limits.header_s
        if self._reader.expects_continue:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return limits.body_s

    async def _send(
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
        self._transport.write(messages.encode_response(whole))
        if self._writable.is_set():
            return
        with anyio.move_on_after(SEND_TIMEOUT_S) as scope:
            await self._writable.wait()
        if scope.cancelled_caught:
            loguru.logger.warning("a caller does not read its response")
            self._transport.abort()

    async def _refuse(self, fault: parsing.MessageError) -> None:
        """Answers a request that is not handled, and ends the connection."""
        loguru.logger.warning("a request is refused: {}", fault)
        await self._send(messages.Response(fault.status), "GET", False)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        # The loss of the connection ends this wait.
        await anyio.sleep(LINGER_S)
