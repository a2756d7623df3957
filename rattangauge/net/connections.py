"""A multiplexed connection between two daemons.

Both ends use ``Connection``. The end that opened the connection numbers the
streams and sends their first message; the other end answers on the same
stream. A number is used once on a connection, so a late or repeated message
of an ended stream belongs to no other. Bodies are sent under a window of
credit, so that a slow receiver of one stream does not hold back the others.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import anyio
import anyio.abc
import loguru

from rattangauge import errors
from rattangauge import metrics
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import frames

# Bytes of body that a sender may have under way on one stream.
WINDOW_BYTES = 262_144
BODY_CHUNK_BYTES = 65_536
# Messages without a body that may wait on one stream, beside the body pieces.
MAX_WAITING = 64
# Pieces may be small, but each of them costs memory.
MAX_WAITING_PIECES = 4096
MAX_STREAMS = 20_000
RECEIVE_BYTES = 65_536
MAX_NUMBER = 2**32 - 1
# The end that opened a connection closes it after this time without a stream.
IDLE_S = 30.0
CHECKS_PER_SILENCE = 8
# The ping is sent at the latest two checks after the last byte, so that a
# silent connection is found within the setting.
PONG_SHARE = 0.75
MAX_PONGS_DUE = 4
GOODBYE_TIMEOUT_S = 0.2

_DATA = (messages.CallData, messages.AnswerData)

Handler = Callable[["Stream", messages.Message], Awaitable[None]]


class Stream:
    """One exchange of messages on a connection.

    Attributes:
        number: Number of the stream on its connection; 0 before the first
            message is sent.
    """

    def __init__(self, connection: "Connection", number: int) -> None:
        """Creates the stream; connections do this."""
        self._connection = connection
        self.number = number
        self._sender, self._receiver = anyio.create_memory_object_stream[
            messages.Message
        ](MAX_WAITING + MAX_WAITING_PIECES)
        self._credit = WINDOW_BYTES
        self._credit_added = anyio.Event()
        self._unread = 0
        self._consumed = 0
        self._on_interrupt: Callable[[], None] | None = None

    @property
    def is_sent(self) -> bool:
        """Whether any byte of the stream may have been sent."""
        return self.number > 0

    @property
    def _has_waiting(self) -> bool:
        return self._receiver.statistics().current_buffer_used > 0

    async def send(self, message: messages.Message) -> None:
        """Sends a message that is no body.

        Raises:
            errors.CodedError: The connection has ended.
        """
        await self._connection.send(self, message)

    async def send_data(
        self, make: Callable[..., messages.Message], body: bytes, last: bool
    ) -> None:
        """Sends a piece of a body when the receiver has room for it.

        Args:
            make: ``messages.CallData`` or ``messages.AnswerData``.
            body: The piece, of any size.
            last: Whether the body ends with it.
        """
        view = memoryview(body)
        while len(view) > BODY_CHUNK_BYTES:
            await self._send_chunk(make, bytes(view[:BODY_CHUNK_BYTES]), False)
            view = view[BODY_CHUNK_BYTES:]
        await self._send_chunk(make, bytes(view), last)

    async def wait_wanted(self) -> None:
        """Waits until the receiver grants its first credit, which may be 0.

        Raises:
            errors.CodedError: The connection has ended.
        """
        await self._credit_added.wait()
        self._connection.check_open()

    async def _send_chunk(
        self, make: Callable[..., messages.Message], chunk: bytes, last: bool
    ) -> None:
        while self._credit < len(chunk):
            self._connection.check_open()
            self._credit_added = anyio.Event()
            await self._credit_added.wait()
        self._credit -= len(chunk)
        await self.send(make(body=chunk, last=last))

    async def receive(self) -> messages.Message:
        """Receives the next message.

        Raises:
            errors.CodedError: The connection has ended.
        """
        try:
            message = await self._receiver.receive()
        except anyio.EndOfStream as error:
            raise self._connection.closed_error() from error
        if isinstance(message, _DATA):
            await self._return_credit(len(message.body))
        return message

    async def _return_credit(self, size: int) -> None:
        self._unread -= size
        self._consumed += size
        if self._consumed >= WINDOW_BYTES // 2:
            consumed, self._consumed = self._consumed, 0
            await self.send(messages.Credit(bytes=consumed))

    def on_interrupt(self, interrupt: Callable[[], None]) -> None:
        """Calls a function at the next message or the end of the connection.

        For a stream whose receiver expects no message but a cancellation.
        This saves the task that would wait for it.
        """
        self._on_interrupt = interrupt
        if not self._connection.is_open or self._has_waiting:
            interrupt()

    def deliver(self, message: messages.Message) -> None:
        """Takes a message that arrived.

        Raises:
            errors.CodedError: The sender exceeded its credit.
        """
        if isinstance(message, messages.Credit):
            self._credit += message.bytes
            self._credit_added.set()
            return
        if self._on_interrupt is not None:
            self._on_interrupt()
            return
        if isinstance(message, _DATA):
            self._unread += len(message.body)
            if self._unread > WINDOW_BYTES:
                text = f"stream {self.number} exceeds its credit"
                raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock as error:
            text = f"stream {self.number} has too many messages waiting"
            raise errors.CodedError(
                errorcodes.FRAME_UNEXPECTED, text
            ) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass  # the stream has ended

    def end(self) -> None:
        """Ends the stream: a waiting receiver or sender is told."""
        self._sender.close()
        self._credit_added.set()
        if self._on_interrupt is not None:
            self._on_interrupt()

    def discard(self) -> None:
        """Frees the stream after its last message."""
        self._connection.discard(self)
        self._sender.close()
        self._receiver.close()


class Connection:
    """One connection to another daemon."""

    def __init__(
        self,
        byte_stream: anyio.abc.ByteStream,
        silence_s: float,
        handler: Handler | None = None,
    ) -> None:
        """Creates a connection.

        Args:
            byte_stream: The transport.
            silence_s: Seconds without a byte, while one is due, after which
                the connection counts as lost.
            handler: Called for each stream that the other end opens.
        """
        self._bytes = byte_stream
        self._silence_s = silence_s
        self._handler = handler
        self._streams: dict[int, Stream] = {}
        self._unsent: set[Stream] = set()
        self._last_number = 0
        self._lock = anyio.Lock(fast_acquire=True)
        self._error: errors.CodedError | None = None
        self._received_at = anyio.current_time()
        self._used_at = anyio.current_time()
        self._pinged_at: float | None = None
        self._sequence = 0
        self._pongs_due = 0

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._error is None

    @property
    def stream_count(self) -> int:
        """Number of streams in use."""
        return len(self._streams) + len(self._unsent)

    def closed_error(self) -> errors.CodedError:
        """Returns the error that ended the connection."""
        text = "the connection has ended"
        return self._error or errors.CodedError(errorcodes.LINK_CLOSED, text)

    def check_open(self) -> None:
        """Raises the error that ended the connection, if it has ended."""
        if self._error is not None:
            raise self._error

    def open_stream(self) -> Stream:
        """Opens a stream towards the other end."""
        self.check_open()
        if self.stream_count >= MAX_STREAMS or self._last_number >= MAX_NUMBER:
            text = f"{self.stream_count} streams are open on the connection"
            raise errors.CodedError(errorcodes.LINK_CLOSED, text)
        stream = Stream(self, 0)
        self._unsent.add(stream)
        return stream

    def discard(self, stream: Stream) -> None:
        """Forgets a stream."""
        self._unsent.discard(stream)
        self._streams.pop(stream.number, None)
        self._used_at = anyio.current_time()

    async def send(
        self, stream: Stream | None, message: messages.Message
    ) -> None:
        """Sends one message.

        A new stream gets its number with its first message, so that numbers
        rise in the order of sending.

        Raises:
            errors.CodedError: The connection has ended.
        """
        try:
            async with self._lock:
                self.check_open()
                frame = self._pack(stream, message)
                # A cancelled sender must not leave half a frame behind.
                with anyio.CancelScope(shield=True):
                    await self._bytes.send(frame)
            metrics.observe_sent(message, len(frame))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            text = "the connection ended while sending"
            self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))
            raise self.closed_error() from error

    def _pack(self, stream: Stream | None, message: messages.Message) -> bytes:
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

    async def run(self) -> None:
        """Receives until the connection ends, then ends all its streams."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_silence)
                await self._receive_all(tasks)
                tasks.cancel_scope.cancel()
        finally:
            text = "the connection has ended"
            self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))
            await anyio.aclose_forcefully(self._bytes)

    async def close(self) -> None:
        """Ends the connection."""
        text = "the connection was closed by this daemon"
        self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))
        await anyio.aclose_forcefully(self._bytes)

    async def _receive_all(self, tasks: anyio.abc.TaskGroup) -> None:
        splitter = frames.Splitter()
        try:
            while (data := await self._receive_bytes(splitter)) is not None:
                self._received_at = anyio.current_time()
                for number, message in splitter.feed(data):
                    self._dispatch(tasks, number, message)
        except errors.CodedError as error:
            loguru.logger.warning("closing a mesh connection: {}", error)
            await self._say_goodbye(error)
            self._fail(error)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            text = "the connection was reset"
            self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))

    async def _receive_bytes(self, splitter: frames.Splitter) -> bytes | None:
        """Returns the next bytes; None if the stream ends between frames.

        Raises:
            errors.CodedError: The stream ends inside a frame.
        """
        try:
            return await self._bytes.receive(RECEIVE_BYTES)
        except anyio.EndOfStream as error:
            if not splitter.is_inside:
                return None
            text = "the connection ended inside a frame"
            raise errors.CodedError(errorcodes.FRAME_TRUNCATED, text) from error

    async def _say_goodbye(self, error: errors.CodedError) -> None:
        """Tells the other end why the connection is closed."""
        farewell = messages.AnswerFailed(code=error.code, message=str(error))
        with anyio.move_on_after(GOODBYE_TIMEOUT_S):
            with contextlib.suppress(errors.CodedError):
                await self.send(None, farewell)

    def _dispatch(
        self,
        tasks: anyio.abc.TaskGroup,
        number: int,
        message: messages.Message,
    ) -> None:
        if number == 0:
            self._take_own(tasks, message)
        elif number in self._streams:
            self._streams[number].deliver(message)
        elif self._handler is not None and _opens(message):
            self._accept(tasks, number, message)

    def _take_own(
        self, tasks: anyio.abc.TaskGroup, message: messages.Message
    ) -> None:
        """Takes a message about the connection itself."""
        if isinstance(message, messages.LinkPing):
            # Not sent here: two ends that wait to send would never receive.
            if self._pongs_due < MAX_PONGS_DUE:
                self._pongs_due += 1
                tasks.start_soon(self._pong, message.sequence)
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

    async def _pong(self, sequence: int) -> None:
        with contextlib.suppress(errors.CodedError):
            await self.send(None, messages.LinkPong(sequence))
        self._pongs_due -= 1

    def _accept(
        self,
        tasks: anyio.abc.TaskGroup,
        number: int,
        message: messages.Message,
    ) -> None:
        """Starts a stream that the other end opens."""
        if number <= self._last_number:
            # The message repeats one of a stream that has ended.
            loguru.logger.warning("stream {} was opened again", number)
            return
        if len(self._streams) >= MAX_STREAMS:
            text = f"{MAX_STREAMS} streams are open on the connection"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
        self._last_number = number
        stream = self._streams[number] = Stream(self, number)
        tasks.start_soon(self._handle, stream, message)

    async def _handle(self, stream: Stream, message: messages.Message) -> None:
        assert self._handler is not None
        try:
            await self._handler(stream, message)
        except errors.CodedError as error:
            loguru.logger.debug("stream {} ended: {}", stream.number, error)
        except Exception:  # one stream must not end the daemon
            loguru.logger.exception("stream {} failed", stream.number)
        finally:
            stream.discard()

    async def _watch_silence(self) -> None:
        """Pings the other end and gives up on a silent one."""
        period_s = self._silence_s / CHECKS_PER_SILENCE
        while True:
            slept_at = anyio.current_time()
            await anyio.sleep(period_s)
            now = anyio.current_time()
            if now - slept_at > 2 * period_s and self._pinged_at is not None:
                # This process was paused; its input has not been read yet.
                self._pinged_at = now
            if self._is_silent(now):
                text = f"no answer within {self._silence_s} s"
                self._fail(errors.CodedError(errorcodes.LINK_SILENT, text))
                await anyio.aclose_forcefully(self._bytes)
                return
            if self._is_idle(now):
                await self.close()
                return
            if self._pinged_at is None and self._is_ping_due(now, period_s):
                await self._ping(now, period_s)

    def _is_silent(self, now: float) -> bool:
        if self._pinged_at is None:
            return False
        return now - self._pinged_at >= self._silence_s * PONG_SHARE

    def _is_ping_due(self, now: float, period_s: float) -> bool:
        quiet_s = now - self._received_at
        if self.stream_count:
            return quiet_s >= period_s
        # An idle connection is kept alive by the pings of its opener; the
        # other end pings only when these stay away.
        factor = 1 if self._handler is None else 3
        return quiet_s >= factor * self._silence_s

    def _is_idle(self, now: float) -> bool:
        is_opener = self._handler is None
        return (
            is_opener and not self.stream_count and now - self._used_at > IDLE_S
        )

    async def _ping(self, now: float, limit_s: float) -> None:
        self._pinged_at = now
        self._sequence += 1
        with anyio.move_on_after(limit_s):
            with contextlib.suppress(errors.CodedError):
                await self.send(None, messages.LinkPing(self._sequence))

    def _fail(self, error: errors.CodedError) -> None:
        if self._error is None:
            self._error = error
        for stream in [*self._streams.values(), *self._unsent]:
            stream.end()


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
