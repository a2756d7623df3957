"""A multiplexed connection between two daemons.

Both ends use ``Connection``. The end that opened the connection numbers the
streams and sends their first message; the other end answers on the same
stream. A number is used once on a connection, so a late or repeated message
of an ended stream belongs to no other.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

import anyio
import loguru

from rattangauge import errors
from rattangauge import futures
from rattangauge import metrics
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import frames
from rattangauge.net import streams

MAX_STREAMS = 20_000
MAX_NUMBER = 2**32 - 1
# The end that opened a connection closes it after this time without a stream.
IDLE_S = 30.0
CHECKS_PER_SILENCE = 8
# The ping is sent at the latest two checks after the last byte, so that a
# silent connection is found within the setting.
PONG_SHARE = 0.75
# Pings of idle connections that a daemon sends in a second, at most.
IDLE_PINGS_PER_S = 20.0
# A ping that is not answered in this time makes the other end suspect.
SUSPECT_S = 0.15
# What is on its way delays the answer to a ping by its size over this rate.
SLOW_LINK_BYTES_PER_S = 100_000.0
# Bytes of pongs that wait for a peer that does not read.
MAX_UNREAD_BYTES = 16 * 1024 * 1024

Handler = Callable[[streams.Stream, messages.Message], Awaitable[None]]


class Connections:
    """Connections of one daemon that are checked for silence together.

    Attributes:
        silence_s: Seconds without a byte, while one is due, after which a
            connection counts as lost.
        tasks: Tasks that handle the streams which the other ends open.
    """

    def __init__(self, silence_s: float) -> None:
        """Creates an empty set."""
        self.silence_s = silence_s
        self.tasks = futures.Tasks()
        self._open: set[Connection] = set()

    @property
    def idle_period_s(self) -> float:
        """Time between two pings of an idle connection, in seconds."""
        return max(self.silence_s, len(self._open) / IDLE_PINGS_PER_S)

    def add(self, connection: "Connection") -> None:
        """Takes a new connection."""
        self._open.add(connection)

    def discard(self, connection: "Connection") -> None:
        """Forgets a connection that has ended."""
        self._open.discard(connection)

    def check_all(self, now: float, was_paused: bool) -> None:
        """Checks all connections; see ``Connection.check``."""
        for connection in list(self._open):
            connection.check(now, was_paused)

    async def run(self) -> None:
        """Checks all connections until cancelled, then closes them."""
        period_s = self.silence_s / CHECKS_PER_SILENCE
        try:
            while True:
                slept_at = time.monotonic()
                await anyio.sleep(period_s)
                now = time.monotonic()
                was_paused = now - slept_at > 2 * period_s
                self.check_all(now, was_paused)
        finally:
            for connection in list(self._open):
                connection.close()
            self.tasks.cancel()


class Connection(asyncio.Protocol):
    """One connection to another daemon."""

    def __init__(
        self, owner: Connections, handler: Handler | None = None
    ) -> None:
        """Creates a connection.

        Args:
            owner: The connections of the daemon.
            handler: Called for each stream that the other end opens; None at
                the end that opens the connection.
        """
        self._owner = owner
        self._handler = handler
        self._transport: Any = None
        self._splitter = frames.Splitter()
        self._streams: dict[int, streams.Stream] = {}
        self._unsent: set[streams.Stream] = set()
        self._last_number = 0
        self._error: errors.CodedError | None = None
        self._writable: asyncio.Future[None] | None = None
        self._received_at = time.monotonic()
        self._used_at = self._received_at
        self._pinged_at: float | None = None
        # Bytes sent since the last byte of the other end.
        self._sent_bytes = 0
        self._sequence = 0

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        # uvloop refuses writes from the end of a connection on, which is
        # before it reports the end.
        return self._error is None and not self._transport.is_closing()

    @property
    def stream_count(self) -> int:
        """Number of streams in use."""
        return len(self._streams) + len(self._unsent)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        self._transport = transport
        if self._error is None:
            self._owner.add(self)
        else:
            transport.abort()

    def abandon(self) -> None:
        """Gives up a connection whose set-up was cancelled.

        uvloop may have made it all the same, and does not report its end.
        """
        text = "the connection was not set up in time"
        self._error = errors.CodedError(errorcodes.LINK_CLOSED, text)
        self._owner.discard(self)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the other end."""
        self._received_at = time.monotonic()
        self._sent_bytes = 0
        try:
            for number, message in self._splitter.feed(data):
                self._dispatch(number, message)
        except errors.CodedError as error:
            self._reject(error)

    def eof_received(self) -> bool:
        """Takes the end of the connection."""
        if self._splitter.is_inside:
            text = "the connection ended inside a frame"
            self._reject(errors.CodedError(errorcodes.FRAME_TRUNCATED, text))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends all streams."""
        text = "the connection was reset" if exc else "the connection has ended"
        self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))

    def pause_writing(self) -> None:
        """Notes that the other end reads slowly."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Notes that the other end reads on."""
        writable, self._writable = self._writable, None
        futures.wake(writable)

    def closed_error(self) -> errors.CodedError:
        """Returns the error that ended the connection."""
        text = "the connection has ended"
        return self._error or errors.CodedError(errorcodes.LINK_CLOSED, text)

    def check_open(self) -> None:
        """Raises the error that ended the connection, if it has ended."""
        if not self.is_open:
            raise self.closed_error()

    def open_stream(self) -> streams.Stream:
        """Opens a stream towards the other end."""
        self.check_open()
        if self.stream_count >= MAX_STREAMS or self._last_number >= MAX_NUMBER:
            text = f"{self.stream_count} streams are open on the connection"
            raise errors.CodedError(errorcodes.LINK_CLOSED, text)
        stream = streams.Stream(self, 0)
        self._unsent.add(stream)
        return stream

    def discard(self, stream: streams.Stream) -> None:
        """Forgets a stream."""
        self._unsent.discard(stream)
        self._streams.pop(stream.number, None)
        self._used_at = time.monotonic()

    async def send(
        self, stream: streams.Stream | None, message: messages.Message
    ) -> None:
        """Sends one message when the other end has room for it.

        Raises:
            errors.CodedError: The connection has ended.
        """
        while self._writable is not None and self.is_open:
            await asyncio.shield(self._writable)
        self.post(stream, message)

    def post(
        self, stream: streams.Stream | None, message: messages.Message
    ) -> None:
        """Sends one message without waiting for room.

        A new stream gets its number with its first message, so that numbers
        rise in the order of sending.

        Raises:
            errors.CodedError: The connection has ended.
        """
        self.check_open()
        frame = self._pack(stream, message)
        self._transport.write(frame)
        self._sent_bytes += len(frame)
        metrics.observe_sent(message, len(frame))

    def _pack(
        self, stream: streams.Stream | None, message: messages.Message
    ) -> bytes:
        if stream is None:
            return frames.pack(0, message)
        if stream not in self._unsent:
            return frames.pack(stream.number, message)
        frame = frames.pack(self._last_number + 1, message)
        self._last_number += 1
        stream.number = self._last_number
        self._unsent.discard(stream)
        self._streams[stream.number] = stream
        return frame

    def close(self) -> None:
        """Ends the connection."""
        text = "the connection was closed by this daemon"
        self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))

    def _reject(self, error: errors.CodedError) -> None:
        """Tells the other end why the connection is closed, and closes it."""
        if self._error is not None:
            return
        loguru.logger.warning("closing a mesh connection: {}", error)
        farewell = messages.AnswerFailed(code=error.code, message=str(error))
        if not self._transport.is_closing():
            self._transport.write(frames.pack(0, farewell))
        self._transport.close()
        self._fail(error, is_aborted=False)

    def _fail(self, error: errors.CodedError, is_aborted: bool = True) -> None:
        """Ends the connection with an error and all its streams."""
        if self._error is not None:
            return
        self._error = error
        self._owner.discard(self)
        if is_aborted:
            self._transport.abort()
        self.resume_writing()
        for stream in [*self._streams.values(), *self._unsent]:
            stream.end()

    def _dispatch(self, number: int, message: messages.Message) -> None:
        if number == 0:
            self._take_own(message)
        elif number in self._streams:
            self._streams[number].deliver(message)
        elif self._handler is not None and _opens(message):
            self._accept(number, message)

    def _take_own(self, message: messages.Message) -> None:
        """Takes a message about the connection itself."""
        if isinstance(message, messages.LinkPing):
            self._pong(message.sequence)
        elif isinstance(message, messages.LinkPong):
            if message.sequence == self._sequence:
                self._pinged_at = None
        elif isinstance(message, messages.AnswerFailed):
            raise errors.CodedError(
                errorcodes.LINK_CLOSED,
                f"the other end closed it: {message.code} {message.message}",
            )
        else:
            text = f"{type(message).__name__} came without a stream"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)

    def _pong(self, sequence: int) -> None:
        """Answers a ping, unless the other end does not read."""
        unread_bytes = self._transport.get_write_buffer_size()
        if self.is_open and unread_bytes < MAX_UNREAD_BYTES:
            self.post(None, messages.LinkPong(sequence))

    def _accept(self, number: int, message: messages.Message) -> None:
        """Starts a stream that the other end opens."""
        if number <= self._last_number:
            # The message repeats one of a stream that has ended.
            loguru.logger.warning("stream {} was opened again", number)
            return
        if len(self._streams) >= MAX_STREAMS:
            text = f"{MAX_STREAMS} streams are open on the connection"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
        self._last_number = number
        stream = self._streams[number] = streams.Stream(self, number)
        self._owner.tasks.start(self._handle(stream, message))

    async def _handle(
        self, stream: streams.Stream, message: messages.Message
    ) -> None:
        assert self._handler is not None
        try:
            await self._handler(stream, message)
        except errors.CodedError as error:
            loguru.logger.debug("stream {} ended: {}", stream.number, error)
        except Exception:  # one stream must not end the daemon
            loguru.logger.exception("stream {} failed", stream.number)
        finally:
            stream.discard()

    def check(self, now: float, was_paused: bool) -> None:
        """Pings the other end and gives up on a silent one.

        Args:
            now: Time on the clock of ``time.monotonic``, in seconds.
            was_paused: Whether this process was paused since the last check,
                so that its input has not been read yet.
        """
        if was_paused and self._pinged_at is not None:
            self._pinged_at = now
        if self._is_silent(now):
            text = f"no answer within {self._owner.silence_s} s"
            self._fail(errors.CodedError(errorcodes.LINK_SILENT, text))
        elif self._is_idle(now):
            self.close()
        elif self._is_ping_due(now):
            self._pinged_at = now
            self._sequence += 1
            self.post(None, messages.LinkPing(self._sequence))

    def is_suspect(self, now: float) -> bool:
        """Tells whether the other end has left a ping unanswered for long."""
        return self._waits_longer(now, SUSPECT_S)

    def _is_silent(self, now: float) -> bool:
        return self._waits_longer(now, self._owner.silence_s * PONG_SHARE)

    def _waits_longer(self, now: float, limit_s: float) -> bool:
        """Tells whether a ping waits longer than a limit on a fast link."""
        if self._pinged_at is None:
            return False
        sending_s = self._sent_bytes / SLOW_LINK_BYTES_PER_S
        return now - self._pinged_at > limit_s + sending_s

    def _is_ping_due(self, now: float) -> bool:
        if self._pinged_at is not None or not self.is_open:
            return False
        quiet_s = now - self._received_at
        if self.stream_count:
            return quiet_s >= self._owner.silence_s / CHECKS_PER_SILENCE
        # An idle connection is kept alive by the pings of its opener; the
        # other end pings only when these stay away.
        factor = 1 if self._handler is None else 3
        return quiet_s >= factor * self._owner.idle_period_s

    def _is_idle(self, now: float) -> bool:
        is_opener = self._handler is None
        return (
            is_opener and not self.stream_count and now - self._used_at > IDLE_S
        )


def _opens(message: messages.Message) -> bool:
    """Tells whether a message may be the first of a stream."""
    return isinstance(
        message,
        messages.CallOpen
        | messages.Probe
        | messages.JoinRequest
        | messages.VersionHint
        | messages.EditionRequest
        | messages.ZoneExchange
        | messages.PeerNews,
    )
