"""One connection of a caller to the HTTP server."""

import asyncio
from collections import deque
import math
import time
from typing import Any

import loguru

from rattangauge import futures
from rattangauge.http import limits as limits_module
from rattangauge.http import messages
from rattangauge.http import owner
from rattangauge.http import pacing
from rattangauge.http import parsing
from rattangauge.http import timeout

# Maximum number of requests of one connection that are handled at a time.
MAX_CONCURRENT = 16
# Methods of requests that change nothing (RFC 9110, section 9.2.1).
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
# Status after an unexpected error: the request may have run.
UNEXPECTED_ERROR_STATUS = 500
# A connection is aborted if the caller reads no response for this time.
SEND_TIMEOUT_S = 10.0
# After the last response a connection is closed for sending only. What still
# arrives is discarded for this time or until the caller closes it. If it was
# closed at once, the caller could get a reset instead of the response (RFC
# 9112, section 9.6).
LINGER_S = 0.5
# Bytes of responses that wait in the process beside a full socket until no
# further response of the connection is sent.
SEND_BUFFER_BYTES = 16 * 1024
# Time in which a new connection brings its first request. A server that ends
# waits for it.
FIRST_REQUEST_S = 0.2


class _RunningRequest:
    """A request that is being handled.

    Attributes:
        request: The request.
        response: The response; None until the handler has returned it.
    """

    def __init__(self, request: messages.Request) -> None:
        self.request = request
        self.response: messages.Response | None = None


class Connection(asyncio.Protocol):
    """One connection of a caller.

    Pipelined requests with safe methods are handled at the same time. Responses
    are sent in the order of the requests.
    """

    def __init__(self, server: owner.Owner) -> None:
        """Creates the connection of a server."""
        self._server = server
        self._tasks = futures.Tasks()
        self._running: deque[_RunningRequest] = deque()
        self._error: parsing.MessageError | None = None
        self._is_paused = False
        # Bytes that were written since the transport last had sent all.
        self._written_bytes = 0
        self._is_ending = False
        self._opened_at = time.monotonic()
        # Bytes of responses that were left at the last look, and the time at
        # which they were others.
        self._seen_unsent_bytes = 0
        self._progress_at = self._opened_at
        self._has_received = False
        # Whether it was closed while no request was expected.
        self._was_idle = False
        # Bytes of responses that were left when the timer of a connection with
        # a full buffer last ended.
        self._paused_unsent_bytes = 0
        # The same for a lingering connection, and the time since which they
        # are.
        self._linger_unsent_bytes = 0
        self._linger_unsent_at = 0.0
        self._has_sent_continue = False
        self._is_parse_due = False
        self._timeout = timeout.Timeout(self._handle_timeout)

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun to arrive and is not answered wholly."""
        reader = self._reader
        has_more = reader.has_begun or reader.has_unparsed
        has_more = has_more or bool(reader.requests)
        return bool(self._running) or has_more or self.unsent_bytes > 0

    @property
    def is_ending(self) -> bool:
        """Whether no further request is read."""
        return self._is_ending or self._transport.is_closing()

    @property
    def descriptor(self) -> int:
        """File descriptor of the socket; negative once it is closed."""
        number: int = self._transport.get_extra_info("socket").fileno()
        return number

    @property
    def is_new(self) -> bool:
        """Whether its first request may be under way."""
        age_s = time.monotonic() - self._opened_at
        return not self._has_received and age_s < FIRST_REQUEST_S

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that wait for the caller to read them."""
        return self._transport.get_write_buffer_size()

    @property
    def unread_bytes(self) -> int:
        """Bytes of responses that are held, whether or not they are due."""
        # The transport holds all that it was given until the last byte is sent.
        held_bytes = self._written_bytes if self.unsent_bytes else 0
        return held_bytes + sum(
            len(running.response.body)
            for running in self._running
            if running.response is not None
        )

    @property
    def progress_at(self) -> float:
        """Time at which the caller last read, by ``record_progress``."""
        return self._progress_at

    def record_progress(self, now: float) -> None:
        """Looks whether bytes were written or read since the last look.

        Args:
            now: Time on the clock of ``time.monotonic``, in seconds.
        """
        if self.unsent_bytes != self._seen_unsent_bytes:
            self._seen_unsent_bytes = self.unsent_bytes
            self._progress_at = now

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts reading from a caller."""
        limits = self._server.limits
        self._transport: Any = transport
        transport.set_write_buffer_limits(SEND_BUFFER_BYTES)
        self._pacer = pacing.ReadPacer(transport)
        self._reader = parsing.RequestReader(
            limits_module.message_limits(limits)
        )
        self._server.add(self)
        self._timeout.restart(limits.idle_s)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and starts the requests in them."""
        self._has_received = True
        if self._error is not None or self._is_ending:
            self._record_crossing()
            self._pacer.record_read(len(data))
            return
        self._parse(data)
        self._pacer.record_read(len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests of a caller that has disconnected."""
        self._is_ending = True
        self._tasks.cancel()
        self._server.memory.update(self, 0)
        self._server.discard(self)
        self._timeout.cancel()

    def pause_writing(self) -> None:
        """Stops sending while the send buffer is full."""
        self._is_paused = True
        if not self._is_ending:
            self._paused_unsent_bytes = self.unsent_bytes
            self._timeout.restart(SEND_TIMEOUT_S)

    def resume_writing(self) -> None:
        """Sends the responses that were held back."""
        self._is_paused = False
        if not self._is_ending:
            self._timeout.restart(math.inf)
            self._send_responses()

    def close(self, reason: str) -> None:
        """Closes the connection and cancels its requests.

        Args:
            reason: Why it is closed, for the log.
        """
        if not self._transport.is_closing():
            self._record_cut(reason)
        self._is_ending = True
        self._tasks.cancel()
        self._transport.close()

    def abort(self, reason: str) -> None:
        """Closes the connection and discards what its caller has not read.

        Args:
            reason: Why it is closed, for the log.
        """
        self._record_cut(reason)
        self._is_ending = True
        self._tasks.cancel()
        self._transport.abort()

    def _record_cut(self, reason: str) -> None:
        """Records the end of the connection if its caller waits."""
        if self.is_busy:
            cut = owner.Cut(
                reason,
                len(self._running),
                len(self._reader.requests),
                self._reader.has_begun,
                self.unsent_bytes,
            )
            self._server.record_cut(cut)

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

    def _parse(self, data: bytes) -> None:
        """Parses bytes and starts the requests in them."""
        had_begun = self._reader.has_begun
        had_headers = self._reader.has_headers
        self._feed_reader(data)
        self._start_requests()
        self._handle_progress(had_begun, had_headers)

    def _parse_rest(self) -> None:
        """Parses bytes that waited for room among the waiting requests."""
        self._is_parse_due = False
        if self._error is None and not self._is_ending:
            self._parse(b"")

    def _feed_reader(self, data: bytes) -> None:
        """Feeds the parser; an error is kept until earlier requests end."""
        if not self._reader.has_begun:
            # The limits may have changed since the last request.
            self._reader.set_limits(
                limits_module.message_limits(self._server.limits)
            )
        try:
            self._reader.feed(data, time.monotonic())
        except parsing.MessageError as error:
            self._error = error
            self._reader.discard()

    def _update_memory(self) -> None:
        """Counts the requests that are not handled yet."""
        size = self._reader.held_bytes + self._reader.waiting_bytes
        self._server.memory.update(self, size)

    def _start_requests(self) -> None:
        """Starts the waiting requests that may be handled now."""
        requests = self._reader.requests
        while requests and not self._is_ending and self._may_start(requests[0]):
            running = _RunningRequest(requests.popleft())
            self._has_sent_continue = False
            self._running.append(running)
            self._tasks.start(self._handle(running))
        self._throttle_reading()
        self._update_memory()
        # The update may have rejected the request already.
        is_due = not self._running and not requests and not self._is_ending
        if self._error is not None and is_due:
            self._reject(self._error)

    def _throttle_reading(self) -> None:
        """Pauses reading while too many requests are waiting.

        If there is room for more of those that have been read, these are parsed
        once all else has run that is due.
        """
        if self._is_ending:
            return
        has_room = len(self._reader.requests) < parsing.MAX_WAITING_REQUESTS
        has_unparsed = self._reader.has_unparsed
        self._pacer.hold(has_unparsed or not has_room)
        if has_unparsed and has_room and not self._is_parse_due:
            self._is_parse_due = True
            asyncio.get_running_loop().call_soon(self._parse_rest)

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
            running.response = await self._response_to(running.request)
            self._send_responses()
            if self.unread_bytes > SEND_BUFFER_BYTES:
                self._server.bound_unread()
        finally:
            memory.unpin(body_bytes)

    async def _response_to(
        self, request: messages.Request
    ) -> messages.Response:
        """Returns the handler's response; 500 after an unexpected error.

        A cancelled future raises CancelledError in the handler that waits for
        it, though nothing has cancelled the handler.
        """
        task = asyncio.current_task()
        try:
            return await self._server.handle(request)
        except asyncio.CancelledError:
            if task is None or task.cancelling():
                raise
            loguru.logger.error("a request handler awaits a cancelled future")
        except Exception:  # an error in one request must not end the daemon
            loguru.logger.exception("unexpected error in a request handler")
        return messages.Response(UNEXPECTED_ERROR_STATUS)

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
            self._send_continue()

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
        self._send_continue()

    def _send_continue(self) -> None:
        """Sends 100 Continue if due, behind the responses before it."""
        if not self._reader.expects_continue:
            self._has_sent_continue = False
        elif not self._has_sent_continue and not self._running:
            self._has_sent_continue = True
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _set_read_timeout(self) -> None:
        """Sets the timeout for the next bytes of the caller."""
        limits = self._server.limits
        if self._reader.has_headers:
            self._timeout.restart(limits.body_s)
        elif self._reader.has_begun:
            self._timeout.restart(limits.header_s)
        else:
            self._timeout.restart(math.inf if self._running else limits.idle_s)

    def _handle_timeout(self) -> None:
        """Handles the end of the time for what the connection waits for."""
        if self._is_ending:
            self._handle_linger_timer()
        elif self._is_paused:
            self._handle_paused_timer()
        elif self._running:
            self._set_read_timeout()
        elif self._reader.has_begun:
            reason = "the request did not arrive in time"
            self._reject(parsing.MessageError(408, reason))
        elif self.unsent_bytes:
            self._abort_unread()
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
            # Empty if the upstream does not tell the length either.
            length = response.header(b"content-length")
            body = b""
        if length and response.status not in (204, 304):
            headers.append((b"content-length", length))
        if not keeps_alive:
            headers.append((b"connection", b"close"))
        complete = messages.Response(response.status, tuple(headers), body)
        self._write(messages.encode_response(complete))

    def _write(self, data: bytes) -> None:
        # uvloop raises an error for a write after the end of the connection,
        # which may be before it calls connection_lost.
        if not self._transport.is_closing():
            if not self.unsent_bytes:
                self._written_bytes = 0
            self._written_bytes += len(data)
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
        self._timeout.restart(linger_s)
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
            self._server.record_cut(
                owner.Cut(reason, 0, 0, True, self.unsent_bytes)
            )

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
        self._timeout.restart(LINGER_S)

    def _handle_paused_timer(self) -> None:
        """Aborts the connection unless its caller has read some bytes."""
        left_bytes = self.unsent_bytes
        if left_bytes >= self._paused_unsent_bytes:
            self._abort_unread()
            return
        self._paused_unsent_bytes = left_bytes
        self._timeout.restart(SEND_TIMEOUT_S)

    def _abort_unread(self) -> None:
        self.abort("the caller does not read its response")
