"""HTTP/1.1 server that handles requests with complete bodies.

hypercorn is not used for two reasons: the request of a caller that disconnects
must be cancelled at once, and a request may cost only a fraction of a
millisecond, since the daemon shares the machine with an upstream.
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
from rattangauge import receivememory
from rattangauge.http import acceptor
from rattangauge.http import messages
from rattangauge.http import pacing
from rattangauge.http import parsing

# Number of waiting requests at which the server stops reading a connection.
MAX_WAITING_REQUESTS = 16
# Maximum number of requests of one connection that are handled at a time.
MAX_CONCURRENT = 16
# Methods of requests that change nothing (RFC 9110, section 9.2.1).
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
# A connection is aborted if the caller reads no response for this time.
SEND_TIMEOUT_S = 10.0
# After the last response a connection is closed for sending only. What still
# arrives is discarded for this time or until the caller closes it. If it was
# closed at once, the caller could get a reset instead of the response (RFC
# 9112, section 9.6).
LINGER_S = 0.5
# Connections that linger at a time; beyond it the earliest are closed.
MAX_LINGERING = 256
# Time in which a new connection brings its first request. A server that ends
# waits for it.
FIRST_REQUEST_S = 0.2
# Time between two checks whether a server that ends may close its connections.
END_CHECK_PERIOD_S = 0.01
# Time for which a server that ends reads an idle connection after its own end
# of it. A request that crosses this gets no answer, as HTTP/1.1 has no means
# against it.
CROSSING_S = 0.05
# Limit of a request beside its headers and body. A caller may send a body of
# 800 kB in chunks of one byte.
FRAMING_BYTES = 4 * 1024 * 1024


class Limits(NamedTuple):
    """Limits on what callers may send.

    Attributes:
        header_bytes: Maximum size of the headers.
        body_bytes: Maximum size of a body.
        header_s: Time within which the headers must arrive, in seconds.
        idle_s: Time after which an idle connection is closed, in seconds.
        body_s: Longest time between two pieces of a body, in seconds.
    """

    header_bytes: int = 32_768
    body_bytes: int = 64 * 1024 * 1024
    header_s: float = 10.0
    idle_s: float = 60.0
    body_s: float = 30.0


def _message_limits(limits: Limits) -> parsing.MessageLimits:
    """Returns the limits of one request."""
    return parsing.MessageLimits(
        limits.header_bytes, limits.body_bytes, FRAMING_BYTES
    )


class Cut(NamedTuple):
    """A connection that the server closed while its caller waited.

    Attributes:
        reason: Why it was closed.
        running: Number of requests that were handled.
        waiting: Number of complete requests that were not handled yet.
        has_partial: Whether a further request had arrived in part.
        unsent_bytes: Bytes of responses that had not been sent.
    """

    reason: str
    running: int
    waiting: int
    has_partial: bool
    unsent_bytes: int


# Returns the response to a request; cancelled if the caller disconnects.
Handler = Callable[[messages.Request], Awaitable[messages.Response]]
# Records a connection that was cut.
RecordCut = Callable[[Cut], None]


def _log_cut(cut: Cut) -> None:
    loguru.logger.warning("connection cut: {}", cut)


class Server:
    """Serves callers at one address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = Limits,
        memory: receivememory.ReceiveMemory | None = None,
        record_cut: RecordCut = _log_cut,
    ) -> None:
        """Creates a server.

        Args:
            handler: Returns the response to a request. It is cancelled if the
                caller disconnects.
            limits: Returns the limits in force.
            memory: Memory of all messages that have been received in part; one
                of its own by default.
            record_cut: Records each connection that is closed while its caller
                waits for responses.
        """
        self._handler = handler
        self._limits = limits
        self._is_closing = False
        self._connections: set[_Connection] = set()
        # Those that linger, in the order in which they began to.
        self._lingering: dict[_Connection, None] = {}
        self._memory = memory or receivememory.ReceiveMemory()
        self._record_cut = record_cut
        self._acceptor = acceptor.Acceptor(lambda: _Connection(self))

    @property
    def limits(self) -> Limits:
        """Limits in force."""
        return self._limits()

    @property
    def memory(self) -> receivememory.ReceiveMemory:
        """Memory of all messages that have been received in part."""
        return self._memory

    @property
    def is_closing(self) -> bool:
        """Whether each connection is closed once its requests have ended."""
        return self._is_closing

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request without its whole answer.

        Bytes of an answer that wait for the caller to read them count as well.
        """
        return sum(1 for c in self._connections if c.is_busy)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that wait for callers to read them."""
        return sum(c.unsent_bytes for c in self._connections)

    def record_cut(self, cut: Cut) -> None:
        """Records a connection that was closed while its caller waited."""
        self._record_cut(cut)

    def close_connections(self) -> None:
        """Starts to close each connection once its requests have ended.

        Requests that run are answered; none is started behind them.
        """
        self._is_closing = True

    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the response to a request."""
        return await self._handler(request)

    async def serve(self, listener: socket.socket) -> None:
        """Serves connections until cancelled.

        Args:
            listener: A socket from ``util.listen``; it is closed at the end.
        """
        await self._acceptor.start(listener)
        try:
            await anyio.sleep_forever()
        finally:
            self._acceptor.close()
            for connection in list(self._connections):
                connection.close("the server ends")

    async def end(self, end_at: float) -> None:
        """Closes the listener, answers what was sent and closes the rest.

        Args:
            end_at: Time at which it returns at the latest, on the clock of
                ``time.monotonic``, in seconds.
        """
        self.close_connections()
        await self._acceptor.stop()
        await self._wait_until(self._is_idle, end_at)
        for connection in list(self._connections):
            connection.close_idle(CROSSING_S)
        await self._wait_until(lambda: not self._connections, end_at)

    async def _wait_until(
        self, condition: Callable[[], bool], end_at: float
    ) -> None:
        while not condition() and time.monotonic() < end_at:
            await anyio.sleep(END_CHECK_PERIOD_S)

    def _is_idle(self) -> bool:
        """Tells whether no request is expected or without its answer."""
        return not any(c.is_busy or c.is_new for c in self._connections)

    def add(self, connection: "_Connection") -> None:
        """Adds a new connection."""
        self._connections.add(connection)

    def add_lingering(self, connection: "_Connection") -> None:
        """Adds a connection that lingers; the earliest may have to end."""
        self._lingering[connection] = None
        if len(self._lingering) > MAX_LINGERING:
            earliest = next(iter(self._lingering))
            del self._lingering[earliest]
            earliest.end_linger()

    def discard(self, connection: "_Connection") -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)
        self._lingering.pop(connection, None)


class _RunningRequest:
    """A request that is being handled.

    Attributes:
        request: The request.
        response: The response; None until the handler has returned it.
    """

    def __init__(self, request: messages.Request) -> None:
        self.request = request
        self.response: messages.Response | None = None


class _Connection(asyncio.Protocol):
    """One connection of a caller.

    Pipelined requests with safe methods are handled at the same time. Responses
    are sent in the order of the requests.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._tasks = futures.Tasks()
        self._running: deque[_RunningRequest] = deque()
        self._error: parsing.MessageError | None = None
        self._is_paused = False
        self._is_ending = False
        self._opened_at = time.monotonic()
        self._has_received = False
        # Whether it was closed while no request was expected.
        self._was_idle = False
        # Bytes of responses that were left when the timer of a lingering
        # connection last ended, and the time since which they are.
        self._linger_unsent_bytes = 0
        self._linger_unsent_at = 0.0
        self._has_sent_continue = False
        self._timeout_at = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun to arrive and is not answered wholly."""
        has_more = self._reader.has_begun or bool(self._reader.requests)
        return bool(self._running) or has_more or self.unsent_bytes > 0

    @property
    def is_new(self) -> bool:
        """Whether its first request may be under way."""
        age_s = time.monotonic() - self._opened_at
        return not self._has_received and age_s < FIRST_REQUEST_S

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that wait for the caller to read them."""
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts reading from a caller."""
        limits = self._server.limits
        self._transport: Any = transport
        self._pacer = pacing.ReadPacer(transport)
        self._reader = parsing.RequestReader(_message_limits(limits))
        self._server.add(self)
        self._set_timeout(limits.idle_s)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and starts the requests in them."""
        self._has_received = True
        if self._error is not None or self._is_ending:
            self._record_crossing()
            self._pacer.record_read(len(data))
            return
        had_begun = self._reader.has_begun
        had_headers = self._reader.has_headers
        self._feed_reader(data)
        self._start_requests()
        self._handle_progress(had_begun, had_headers)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests of a caller that has disconnected."""
        self._is_ending = True
        self._tasks.cancel()
        self._server.memory.update(self, 0)
        self._server.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def pause_writing(self) -> None:
        """Stops sending while the send buffer is full."""
        self._is_paused = True
        if not self._is_ending:
            self._set_timeout(SEND_TIMEOUT_S)

    def resume_writing(self) -> None:
        """Sends the responses that were held back."""
        self._is_paused = False
        if not self._is_ending:
            self._set_timeout(math.inf)
            self._send_responses()

    def close(self, reason: str) -> None:
        """Closes the connection and cancels its requests.

        Args:
            reason: Why it is closed, for the log.
        """
        if self.is_busy and not self._transport.is_closing():
            cut = Cut(
                reason,
                len(self._running),
                len(self._reader.requests),
                self._reader.has_begun,
                self.unsent_bytes,
            )
            self._server.record_cut(cut)
        self._is_ending = True
        self._tasks.cancel()
        self._transport.close()

    def close_idle(self, linger_s: float = LINGER_S) -> None:
        """Closes the connection in order unless a request is under way.

        Args:
            linger_s: Longest time until it is closed, in seconds.
        """
        if not self.is_busy and not self._is_ending:
            self._was_idle = True
            self._linger(linger_s)

    def give_up(self, reason: str) -> None:
        """Rejects the request, since it takes too much memory.

        Requests that are complete and wait for their turn are rejected with it:
        the connection ends, and its caller repeats them.
        """
        self._error = parsing.MessageError(503, reason)
        self._reader.discard()
        self._reader.requests.clear()
        self._start_requests()

    def _feed_reader(self, data: bytes) -> None:
        """Feeds the parser; an error is kept until earlier requests end."""
        if not self._reader.has_begun:
            # The limits may have changed since the last request.
            self._reader.set_limits(_message_limits(self._server.limits))
        try:
            self._reader.feed(data, time.monotonic())
        except parsing.MessageError as error:
            self._error = error
            self._reader.discard()
        self._pacer.record_read(len(data))

    def _update_memory(self) -> None:
        """Counts the requests that are not handled yet."""
        size = self._reader.held_bytes + self._reader.waiting_bytes
        self._server.memory.update(self, size)

    def _start_requests(self) -> None:
        """Starts the waiting requests that may be handled now."""
        requests = self._reader.requests
        while requests and not self._is_ending and self._may_start(requests[0]):
            running = _RunningRequest(requests.popleft())
            self._running.append(running)
            self._tasks.start(self._handle(running))
        self._throttle_reading()
        self._update_memory()
        # The update may have rejected the request already.
        is_due = not self._running and not requests and not self._is_ending
        if self._error is not None and is_due:
            self._reject(self._error)

    def _throttle_reading(self) -> None:
        """Pauses reading while too many requests are waiting."""
        if self._is_ending:
            return
        self._pacer.hold(len(self._reader.requests) >= MAX_WAITING_REQUESTS)

    def _may_start(self, request: messages.Request) -> bool:
        """Tells whether a request may be handled together with earlier ones.

        If a response closes the connection, the caller repeats all requests
        after it. A request that changes something must therefore not start
        before all earlier responses have been sent: it could run twice. None
        starts behind one whose response will close the connection.
        """
        if not self._running:
            return True
        is_last = not self._running[-1].request.keeps_alive
        if is_last or self._server.is_closing:
            return False
        methods = {request.method, self._running[-1].request.method}
        return methods <= SAFE_METHODS and len(self._running) < MAX_CONCURRENT

    async def _handle(self, running: _RunningRequest) -> None:
        memory = self._server.memory
        body_bytes = len(running.request.body)
        memory.pin(body_bytes)
        try:
            running.response = await self._server.handle(running.request)
            self._send_responses()
        except Exception:  # an error in one request must not end the daemon
            loguru.logger.exception("unexpected error in a request handler")
            self.close("unexpected error in a request handler")
        finally:
            memory.unpin(body_bytes)

    def _send_responses(self) -> None:
        """Sends the finished responses in the order of the requests."""
        while self._running and not self._is_ending and not self._is_paused:
            running = self._running[0]
            if running.response is None:
                return
            self._running.popleft()
            self._send_response(running, running.response)
        if not self._is_ending and not self._is_paused:
            self._start_requests()
            self._set_read_timeout()

    def _send_response(
        self, running: _RunningRequest, response: messages.Response
    ) -> None:
        # A closing server closes after the last of the requests that run.
        is_closing = self._server.is_closing and not self._running
        keeps_alive = running.request.keeps_alive and not is_closing
        self._write_response(response, running.request.method, keeps_alive)
        if not keeps_alive:
            self._linger()

    def _handle_progress(self, had_begun: bool, had_headers: bool) -> None:
        """Sets the timeout after bytes arrived and sends 100 Continue if due.

        Args:
            had_begun: Whether a request was incomplete before these bytes.
            had_headers: Whether its headers were complete before them.
        """
        reader = self._reader
        if self._is_ending or self._is_paused:
            return
        # More bytes of the same headers do not extend the timeout: it counts
        # from the first byte.
        is_same_head = had_begun and not had_headers and not reader.has_headers
        if not reader.has_begun or not is_same_head:
            self._set_read_timeout()
        if not reader.expects_continue:
            self._has_sent_continue = False
        elif not self._has_sent_continue:
            self._has_sent_continue = True
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _set_read_timeout(self) -> None:
        """Sets the timeout for the next bytes of the caller."""
        limits = self._server.limits
        if self._reader.has_headers:
            self._set_timeout(limits.body_s)
        elif self._reader.has_begun:
            self._set_timeout(limits.header_s)
        else:
            self._set_timeout(math.inf if self._running else limits.idle_s)

    def _set_timeout(self, seconds: float) -> None:
        """Sets the timeout of the connection, counted from now.

        A timer that runs out earlier is kept and restarted for the rest of the
        time, which is cheaper than a new timer for each read.
        """
        self._timeout_at = time.monotonic() + seconds
        if self._timeout_at < self._timer_at:
            self._start_timer(seconds)

    def _start_timer(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = time.monotonic() + seconds
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._handle_timer)

    def _handle_timer(self) -> None:
        """Handles the end of the timer, which may be before the timeout."""
        self._timer, self._timer_at = None, math.inf
        remaining_s = self._timeout_at - time.monotonic()
        if remaining_s > 0.0:
            if remaining_s < math.inf:
                self._start_timer(remaining_s)
        elif self._is_ending:
            self._handle_linger_timer()
        elif self._is_paused:
            self._abort_unread()
        elif self._running:
            self._set_read_timeout()
        elif self._reader.has_begun:
            reason = "the request did not arrive in time"
            self._reject(parsing.MessageError(408, reason))
        else:
            self.close_idle()

    def _write_response(
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
        complete = messages.Response(response.status, tuple(headers), body)
        self._write(messages.encode_response(complete))

    def _write(self, data: bytes) -> None:
        # uvloop raises an error for a write after the end of the connection,
        # which may be before it calls connection_lost.
        if not self._transport.is_closing():
            self._transport.write(data)

    def _reject(self, error: parsing.MessageError) -> None:
        """Sends an error response and closes the connection."""
        loguru.logger.warning("request rejected: {}", error)
        self._error = error
        self._write_response(messages.Response(error.status), "GET", False)
        self._linger()

    def _linger(self, linger_s: float = LINGER_S) -> None:
        """Ends the sending and closes the connection after a time.

        It is closed earlier when the caller closes it, and later if responses
        have not been sent by then.

        Args:
            linger_s: The time, in seconds.
        """
        self._is_ending = True
        self._running.clear()
        self._tasks.cancel()
        self._reader.discard()
        self._reader.requests.clear()
        self._update_memory()
        if self._transport.is_closing():
            return
        self._pacer.hold(False)
        self._server.add_lingering(self)
        self._set_timeout(linger_s)
        try:
            self._transport.write_eof()
        except OSError as error:  # asyncio reports the caller's reset here
            loguru.logger.info("a caller reset its connection: {}", error)
            self._transport.abort()

    def _record_crossing(self) -> None:
        """Records a request that was sent while the idle connection closed."""
        if self._was_idle:
            self._was_idle = False
            reason = "a request crossed the close of an idle connection"
            self._server.record_cut(Cut(reason, 0, 0, True, self.unsent_bytes))

    def end_linger(self) -> None:
        """Closes a lingering connection once its responses have been sent."""
        self._transport.close()

    def _handle_linger_timer(self) -> None:
        """Closes a lingering connection unless responses are being sent."""
        left_bytes, now = self.unsent_bytes, time.monotonic()
        if not left_bytes and not self._linger_unsent_bytes:
            self.end_linger()
            return
        if left_bytes != self._linger_unsent_bytes:
            self._linger_unsent_at = now
        elif now - self._linger_unsent_at >= SEND_TIMEOUT_S:
            self._abort_unread()
            return
        self._linger_unsent_bytes = left_bytes
        self._set_timeout(LINGER_S)

    def _abort_unread(self) -> None:
        loguru.logger.warning(
            "connection aborted: the caller does not read its response"
        )
        self._transport.abort()
