"""Multiplexed connections between daemons.

Both ends use ``Connection``. The end that opened the connection assigns the
stream numbers and sends the first message of each stream; the other end
replies on the same stream. Each number is used only once on a connection, so a
late or repeated message of an ended stream is never delivered to another one.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

import loguru

from rattangauge import errors
from rattangauge import futures
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.http import pacing
from rattangauge.net import connection_monitor
from rattangauge.net import frames
from rattangauge.net import pings
from rattangauge.net import streams

MAX_STREAMS = 20_000
MAX_STREAM_NUMBER = 2**32 - 1
# The end that opened a connection closes it after this time without a stream.
IDLE_TIMEOUT_S = 30.0
# Share of the setting ``silence_s`` that a pong may take. A ping is sent within
# two of the checks of the monitor after the last received byte, so a
# lost connection is found within ``silence_s``.
PING_TIMEOUT_SHARE = 0.75
# Time that a pong may take while a call waits that must not be repeated, as a
# multiple of ``silence_s``: the other daemon may only be paused.
PATIENCE_FACTOR = 4.0
# The other end counts as suspect while a ping is unanswered for longer.
SUSPECT_PING_S = 0.15
# No pong is sent while this many bytes wait for a peer that does not read, so
# that its pings cannot use up the memory.
MAX_UNREAD_BYTES = 16 * 1024 * 1024
# Bytes that the streams of a connection may have received and not read. The
# credit of each stream bounds bodies alone.
MAX_RECEIVED_BYTES = 16 * 1024 * 1024

Handler = Callable[[streams.Stream, messages.Message], Awaitable[None]]


class Connection(asyncio.Protocol):
    """One connection to another daemon."""

    def __init__(
        self,
        monitor: connection_monitor.ConnectionMonitor,
        handler: Handler | None = None,
    ) -> None:
        """Creates a connection.

        Args:
            monitor: Monitor that checks the connection.
            handler: Called for each stream that the other end opens; None at
                the end that opens the connection.
        """
        self._monitor = monitor
        self._handler = handler
        self._transport: Any = None
        self._pacer: pacing.ReadPacer | None = None
        self._unread_bytes = 0
        self._frame_parser = frames.FrameParser()
        self._streams: dict[int, streams.Stream] = {}
        self._unnumbered_streams: set[streams.Stream] = set()
        self._last_stream_number = 0
        self._error: errors.CodedError | None = None
        # Why no new stream may be opened, though the connection is open.
        self._silence_error: errors.CodedError | None = None
        self._is_lost = False
        self._write_resumed: asyncio.Future[None] | None = None
        self._last_stream_at = time.monotonic()
        self._pings = pings.Pings(self._last_stream_at)

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        # uvloop refuses writes as soon as a connection has ended, which is
        # before it calls ``connection_lost``.
        return self._error is None and not self._transport.is_closing()

    @property
    def is_usable(self) -> bool:
        """Whether a new stream may be opened."""
        return self.is_open and self._silence_error is None

    @property
    def has_unsent(self) -> bool:
        """Whether bytes wait in this process, or may still be written."""
        return self.is_open or self._transport.get_write_buffer_size() > 0

    @property
    def is_lost(self) -> bool:
        """Whether the transport has reported the end of the connection."""
        return self._is_lost

    @property
    def stream_count(self) -> int:
        """Number of streams in use."""
        return len(self._streams) + len(self._unnumbered_streams)

    @property
    def is_quiet(self) -> bool:
        """Whether no answer of the other end is awaited."""
        return not self.stream_count and not self._pings.is_awaited

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; aborts it if the set-up was abandoned."""
        self._transport = transport
        self._pacer = pacing.ReadPacer(transport)
        if self._error is None:
            self._monitor.add(self)
        else:
            transport.abort()

    def abandon(self) -> None:
        """Marks a connection as failed whose set-up was cancelled.

        uvloop may still establish it later, and does not report its end.
        """
        text = "the connection was not set up in time"
        self._error = errors.CodedError(errorcodes.LINK_CLOSED, text)
        self._monitor.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and dispatches their messages."""
        if self._error is not None:
            return
        self._pings.record_received(time.monotonic())
        try:
            for number, message in self._frame_parser.feed(data):
                if self._error is None:
                    self._dispatch(number, message)
        except errors.CodedError as error:
            self._reject(error)
        if self._pacer is not None:
            self._pacer.record_read(len(data))

    def count_unread(self, size: int) -> None:
        """Adds to the bytes that the streams have received and not read.

        Raises:
            errors.CodedError: They are too many.
        """
        self._unread_bytes += size
        if size > 0 and self._unread_bytes > MAX_RECEIVED_BYTES:
            text = f"{self._unread_bytes} bytes on the connection are not read"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)

    def eof_received(self) -> bool:
        """Rejects a connection that ends inside a frame."""
        if self._frame_parser.has_partial_frame:
            text = "the connection ended inside a frame"
            self._reject(errors.CodedError(errorcodes.FRAME_TRUNCATED, text))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the connection and all its streams."""
        self._is_lost = True
        text = "the connection was reset" if exc else "the connection has ended"
        self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))

    def pause_writing(self) -> None:
        """Makes ``send`` wait because the write buffer is full."""
        self._write_resumed = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Lets ``send`` continue because the write buffer has room."""
        write_resumed, self._write_resumed = self._write_resumed, None
        futures.wake(write_resumed)

    def closed_error(self) -> errors.CodedError:
        """Returns the error that ended the connection."""
        text = "the connection has ended"
        closed_error = errors.CodedError(errorcodes.LINK_CLOSED, text)
        return self._error or self._silence_error or closed_error

    def check_open(self) -> None:
        """Raises the error that ended the connection, if it has ended."""
        if not self.is_open:
            raise self.closed_error()

    def open_stream(self) -> streams.Stream:
        """Opens a stream to the other end.

        Raises:
            errors.CodedError: The connection has ended, or has no room for
                another stream.
        """
        self.check_open()
        if self._silence_error is not None:
            raise self._silence_error
        if (
            self.stream_count >= MAX_STREAMS
            or self._last_stream_number >= MAX_STREAM_NUMBER
        ):
            text = f"{self.stream_count} streams are open on the connection"
            raise errors.CodedError(errorcodes.LINK_CLOSED, text)
        stream = streams.Stream(self, 0)
        self._unnumbered_streams.add(stream)
        self._monitor.activate(self)
        return stream

    def discard(self, stream: streams.Stream) -> None:
        """Removes a stream."""
        self._unnumbered_streams.discard(stream)
        self._streams.pop(stream.number, None)
        self._last_stream_at = time.monotonic()
        if self._silence_error is not None and not self.stream_count:
            self._fail(self._silence_error)

    async def send(
        self, stream: streams.Stream | None, message: messages.Message
    ) -> None:
        """Sends one message when the transport has room for it.

        Raises:
            errors.CodedError: The connection has ended.
        """
        while self._write_resumed is not None and self.is_open:
            await asyncio.shield(self._write_resumed)
        self.post(stream, message)

    def post(
        self, stream: streams.Stream | None, message: messages.Message
    ) -> None:
        """Sends one message without waiting for room in the transport.

        A new stream gets its number with its first message, so that the
        numbers rise in the order of the first messages.

        Raises:
            errors.CodedError: The connection has ended.
        """
        self.check_open()
        frame = self._pack_frame(stream, message)
        if stream is not None and self._is_opener:
            stream.update_patience(message)
        self._transport.write(frame)
        self._pings.record_sent(len(frame))
        self._monitor.record_sent(message, len(frame))

    def _pack_frame(
        self, stream: streams.Stream | None, message: messages.Message
    ) -> bytes:
        if stream is None:
            return frames.pack(0, message)
        if stream not in self._unnumbered_streams:
            return frames.pack(stream.number, message)
        frame = frames.pack(self._last_stream_number + 1, message)
        self._last_stream_number += 1
        stream.number = self._last_stream_number
        self._unnumbered_streams.discard(stream)
        self._streams[stream.number] = stream
        return frame

    def close(self) -> None:
        """Aborts the connection and ends its streams."""
        text = "the connection was closed by this daemon"
        self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))

    def end(self) -> None:
        """Ends a connection that the other end opened, after what was sent.

        The other end is told which streams were read; what it sends from now
        on is ignored. It closes the connection when it has received all.
        """
        if not self.is_open:
            return
        self.post(None, messages.LinkEnd(self._last_stream_number))
        self._transport.write_eof()
        text = "the connection was ended by this daemon"
        error = errors.CodedError(errorcodes.LINK_CLOSED, text)
        self._fail(error, abort=False)

    def abort(self) -> None:
        """Aborts the transport of a connection that has ended."""
        self._transport.abort()

    def _reject(self, error: errors.CodedError) -> None:
        """Closes the connection after a message with the reason."""
        if self._error is not None:
            return
        loguru.logger.warning("closing a mesh connection: {}", error)
        close_reason = messages.AnswerFailed(
            code=error.code, message=str(error)
        )
        if not self._transport.is_closing():
            self._transport.write(frames.pack(0, close_reason))
        self._transport.close()
        self._fail(error, abort=False)

    def _fail(self, error: errors.CodedError, abort: bool = True) -> None:
        """Records the error that ends the connection, and ends all streams."""
        if self._error is not None:
            return
        self._error = error
        self._monitor.discard(self)
        if abort:
            self._transport.abort()
        self.resume_writing()
        for stream in [*self._streams.values(), *self._unnumbered_streams]:
            stream.end()

    def _dispatch(self, number: int, message: messages.Message) -> None:
        if number == 0:
            self._handle_connection_message(message)
        elif number in self._streams:
            stream = self._streams[number]
            if not self._is_opener:
                stream.update_patience(message)
            stream.deliver(message, self._frame_parser.frame_bytes)
        elif self._handler is not None and _may_open_stream(message):
            self._accept_stream(number, message)

    def _handle_connection_message(self, message: messages.Message) -> None:
        """Handles a message that belongs to the connection, not to a stream."""
        if isinstance(message, messages.LinkPing):
            self._answer_ping(message.sequence)
        elif isinstance(message, messages.LinkPong):
            self._pings.accept_pong(message.sequence)
        elif isinstance(message, messages.LinkEnd) and self._is_opener:
            self._end_by_peer(message.last_stream)
        elif isinstance(message, messages.AnswerFailed):
            raise errors.CodedError(
                errorcodes.LINK_CLOSED,
                f"the other end closed it: {message.code} {message.message}",
            )
        else:
            text = f"{type(message).__name__} came without a stream"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)

    def _end_by_peer(self, last_stream: int) -> None:
        """Ends the connection at the request of the end that accepts streams.

        Args:
            last_stream: Number of the last stream that it has read.
        """
        for number, stream in self._streams.items():
            if number > last_stream:
                stream.mark_unread()
        text = "the other daemon has ended"
        self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))

    def _answer_ping(self, sequence: int) -> None:
        """Answers a ping, unless too many bytes wait for the other end."""
        unread_bytes = self._transport.get_write_buffer_size()
        if self.is_open and unread_bytes < MAX_UNREAD_BYTES:
            self.post(None, messages.LinkPong(sequence))

    def _accept_stream(self, number: int, message: messages.Message) -> None:
        """Accepts a stream that the other end opens, and starts its handler."""
        if number <= self._last_stream_number:
            # The message is a repeat from a stream that has ended.
            loguru.logger.warning(
                "ignoring a message that opens stream {} again", number
            )
            return
        if len(self._streams) >= MAX_STREAMS:
            text = f"{MAX_STREAMS} streams are open on the connection"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
        self._last_stream_number = number
        stream = self._streams[number] = streams.Stream(self, number)
        stream.update_patience(message)
        self._monitor.activate(self)
        self._monitor.tasks.start(self._run_handler(stream, message))

    async def _run_handler(
        self, stream: streams.Stream, message: messages.Message
    ) -> None:
        assert self._handler is not None
        try:
            await self._handler(stream, message)
        except errors.CodedError as error:
            loguru.logger.debug(
                "mesh stream {} ended: {}", stream.number, error
            )
        except Exception:  # one failed stream must not stop the daemon
            loguru.logger.exception("mesh stream {} failed", stream.number)
        finally:
            stream.discard()

    def check(self, now: float, was_paused: bool) -> None:
        """Sends a ping if one is due, and ends a lost or idle connection.

        Args:
            now: Time on the clock of ``time.monotonic``, in seconds.
            was_paused: Whether this process was paused since the last check.
                The answer may then have arrived without being read, so the
                wait for it starts again.
        """
        if was_paused:
            self._pings.restart(now)
        if self._pings.is_overdue(
            now, self._monitor.silence_s * PATIENCE_FACTOR
        ):
            self._fail(self._silence())
        elif self._is_silent(now):
            self._end_impatient_streams()
        elif self._is_idle(now):
            self.close()
        elif self._is_ping_due(now):
            self.post(None, messages.LinkPing(self._pings.begin(now)))

    def _silence(self) -> errors.CodedError:
        """Returns the error of a connection on which no answer arrives."""
        text = f"no answer within {self._monitor.silence_s} s"
        return errors.CodedError(errorcodes.LINK_SILENT, text)

    def _end_impatient_streams(self) -> None:
        """Ends the streams of a silent connection that need not wait longer.

        The connection ends with its last stream; it gets no new one.
        """
        if self._silence_error is not None:
            return
        waiting = [*self._streams.values(), *self._unnumbered_streams]
        if not any(stream.is_patient for stream in waiting):
            self._fail(self._silence())
            return
        self._silence_error = self._silence()
        for stream in waiting:
            if not stream.is_patient:
                stream.end()

    def is_suspect(self, now: float) -> bool:
        """Tells whether a ping is unanswered for over ``SUSPECT_PING_S``."""
        return self._pings.is_overdue(now, SUSPECT_PING_S)

    def _is_silent(self, now: float) -> bool:
        return self._pings.is_overdue(
            now, self._monitor.silence_s * PING_TIMEOUT_SHARE
        )

    def _is_ping_due(self, now: float) -> bool:
        if self._pings.is_awaited or not self.is_open:
            return False
        silent_s = now - self._pings.received_at
        if self.stream_count:
            return silent_s >= self._monitor.check_period_s
        return silent_s >= self._idle_ping_period_s

    @property
    def _is_opener(self) -> bool:
        """Whether this end opened the connection."""
        return self._handler is None

    @property
    def _idle_ping_period_s(self) -> float:
        """Time without a byte after which an idle connection is pinged.

        The end that opened the connection sends the pings. The other end sends
        one only if those stop, hence the longer period.
        """
        factor = 1 if self._is_opener else 3
        return factor * self._monitor.idle_period_s

    def next_check_at(self) -> float:
        """Returns when a quiet connection must be checked, a monotonic time."""
        ping_at = self._pings.received_at + self._idle_ping_period_s
        if not self._is_opener:
            return ping_at
        return min(ping_at, self._last_stream_at + IDLE_TIMEOUT_S)

    def _is_idle(self, now: float) -> bool:
        return (
            self._is_opener
            and not self.stream_count
            and now - self._last_stream_at > IDLE_TIMEOUT_S
        )


def _may_open_stream(message: messages.Message) -> bool:
    """Returns whether a message may be the first one of a stream."""
    return isinstance(
        message,
        messages.CallOpen
        | messages.Probe
        | messages.JoinRequest
        | messages.VersionHint
        | messages.EditionRequest
        | messages.ZoneExchange
        | messages.PeerNews
        | messages.QuotaRequest
        | messages.RolloutState,
    )
