"""Multiplexed connections between daemons.

Both ends use ``Connection``. The end that opened the connection numbers the
streams and sends their first message; the other end answers on the same
stream. Bodies are sent under a window of credit, so that a slow receiver of
one stream does not hold back the others.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math

import anyio
import anyio.abc
from anyio.streams import buffered
import loguru

from rattangauge import errors
from rattangauge import metrics
from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import frames

# Bytes of body that a sender may have under way on one stream.
WINDOW_BYTES = 262_144
BODY_CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0

_DATA = (messages.CallData, messages.AnswerData)

Handler = Callable[["Stream", messages.Message], Awaitable[None]]


class Stream:
    """One exchange of messages on a connection."""

    def __init__(self, connection: "Connection", number: int) -> None:
        """Creates the stream; connections do this."""
        self._connection = connection
        self._number = number
        self._sender, self._receiver = anyio.create_memory_object_stream[
            messages.Message
        ](math.inf)
        self._credit = WINDOW_BYTES
        self._credit_added = anyio.Event()
        self._unread = 0
        self._consumed = 0

    @property
    def number(self) -> int:
        """Number of the stream on its connection."""
        return self._number

    async def send(self, message: messages.Message) -> None:
        """Sends a message that is no body.

        Raises:
            errors.CodedError: The connection has ended.
        """
        await self._connection.send(self._number, message)

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

    def deliver(self, message: messages.Message) -> None:
        """Takes a message that arrived.

        Raises:
            errors.CodedError: The sender exceeded its credit.
        """
        if isinstance(message, messages.Credit):
            self._credit += message.bytes
            self._credit_added.set()
            return
        if isinstance(message, _DATA):
            self._unread += len(message.body)
            if self._unread > WINDOW_BYTES:
                text = f"stream {self._number} exceeds its credit"
                raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
        with contextlib.suppress(anyio.BrokenResourceError):
            self._sender.send_nowait(message)

    def end(self) -> None:
        """Ends the stream: a waiting receiver or sender is told."""
        self._sender.close()
        self._credit_added.set()

    def discard(self) -> None:
        """Frees the stream after its last message."""
        self._connection.discard(self._number)
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
        self._next_number = 1
        self._lock = anyio.Lock(fast_acquire=True)
        self._error: errors.CodedError | None = None
        self._received_at = anyio.current_time()
        self._awaited_since: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._error is None

    @property
    def stream_count(self) -> int:
        """Number of streams in use."""
        return len(self._streams)

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
        number = self._next_number
        self._next_number += 1
        stream = self._streams[number] = Stream(self, number)
        return stream

    def discard(self, number: int) -> None:
        """Forgets a stream."""
        self._streams.pop(number, None)

    async def send(self, number: int, message: messages.Message) -> None:
        """Sends one message.

        Raises:
            errors.CodedError: The connection has ended.
        """
        self.check_open()
        frame = frames.pack(number, message)
        try:
            async with self._lock:
                # A cancelled sender must not leave half a frame behind.
                with anyio.CancelScope(shield=True):
                    await self._bytes.send(frame)
            metrics.observe_sent(message, len(frame))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            text = "the connection ended while sending"
            self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))
            raise self.closed_error() from error
        if self._awaited_since is None and number:
            self._awaited_since = anyio.current_time()

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
        source = buffered.BufferedByteReceiveStream(self._bytes)
        try:
            while (frame := await frames.read(source)) is not None:
                self._received_at = anyio.current_time()
                self._awaited_since = None
                await self._dispatch(tasks, *frame)
        except errors.CodedError as error:
            self._fail(error)
            loguru.logger.warning("closing a mesh connection: {}", error)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            text = "the connection was reset"
            self._fail(errors.CodedError(errorcodes.LINK_CLOSED, text))

    async def _dispatch(
        self,
        tasks: anyio.abc.TaskGroup,
        number: int,
        message: messages.Message,
    ) -> None:
        if isinstance(message, messages.LinkPing):
            await self.send(0, messages.LinkPong(message.sequence))
        elif number in self._streams:
            self._streams[number].deliver(message)
        elif self._handler is not None and _opens(message):
            stream = self._streams[number] = Stream(self, number)
            tasks.start_soon(self._handle, stream, message)

    async def _handle(self, stream: Stream, message: messages.Message) -> None:
        assert self._handler is not None
        try:
            await self._handler(stream, message)
        except errors.CodedError as error:
            loguru.logger.debug("stream {} ended: {}", stream.number, error)
        finally:
            stream.discard()

    async def _watch_silence(self) -> None:
        """Pings a peer that owes an answer and gives up on a silent one."""
        sequence = 0
        while True:
            await anyio.sleep(self._silence_s / 4)
            if self._awaited_since is None and not self._streams:
                continue
            now = anyio.current_time()
            since = max(self._received_at, self._awaited_since or 0.0)
            if self._awaited_since and now - since > self._silence_s:
                text = f"no byte for {self._silence_s} s"
                self._fail(errors.CodedError(errorcodes.LINK_SILENT, text))
                await anyio.aclose_forcefully(self._bytes)
                return
            sequence += 1
            if self._awaited_since is None:
                self._awaited_since = now
            with anyio.move_on_after(self._silence_s / 4):
                await self.send(0, messages.LinkPing(sequence))

    def _fail(self, error: errors.CodedError) -> None:
        if self._error is None:
            self._error = error
        for stream in list(self._streams.values()):
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
        | messages.ZoneExchange,
    )


class Links:
    """Outgoing connections of a daemon, by address and purpose."""

    def __init__(
        self, settings: settings_module.Settings, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Creates the pool; connections run in the task group."""
        self._settings = settings
        self._tasks = tasks
        self._connections: dict[tuple[str, str], Connection] = {}
        self._locks: dict[tuple[str, str], anyio.Lock] = {}
        self._idle_long: dict[str, list[Connection]] = {}

    async def _connect(self, address: str) -> Connection:
        host, port = util.parse_address(address)
        own = util.parse_address(self._settings.listen.mesh)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                byte_stream = await anyio.connect_tcp(
                    host, port, local_host=own.host
                )
        except (OSError, TimeoutError) as error:
            raise errors.CodedError(
                errorcodes.LINK_CONNECT, str(error) or "timeout", address
            ) from error
        connection = Connection(byte_stream, self._settings.mesh.silence_s)
        self._tasks.start_soon(connection.run)
        return connection

    async def _shared(self, address: str, purpose: str) -> Connection:
        key = (address, purpose)
        connection = self._connections.get(key)
        if connection is not None and connection.is_open:
            return connection
        async with self._locks.setdefault(key, anyio.Lock()):
            connection = self._connections.get(key)
            if connection is None or not connection.is_open:
                connection = await self._connect(address)
                self._connections[key] = connection
        return connection

    @contextlib.asynccontextmanager
    async def stream(
        self, address: str, purpose: str = "control"
    ) -> AsyncIterator[Stream]:
        """Opens a stream on the shared connection for a purpose.

        Raises:
            errors.CodedError: The connection cannot be opened.
        """
        connection = await self._shared(address, purpose)
        stream = connection.open_stream()
        try:
            yield stream
        finally:
            stream.discard()

    @contextlib.asynccontextmanager
    async def long_stream(self, address: str) -> AsyncIterator[Stream]:
        """Opens a stream on a connection that it has for itself.

        Raises:
            errors.CodedError: The connection cannot be opened.
        """
        idle = self._idle_long.setdefault(address, [])
        connection = None
        while idle and connection is None:
            candidate = idle.pop()
            connection = candidate if candidate.is_open else None
        if connection is None:
            connection = await self._connect(address)
        stream = connection.open_stream()
        try:
            yield stream
        finally:
            stream.discard()
            if connection.is_open:
                idle.append(connection)

    async def request(
        self,
        address: str,
        message: messages.Message,
        timeout_s: float,
        purpose: str = "control",
    ) -> messages.Message:
        """Sends a message and returns the first one that answers it.

        Raises:
            errors.CodedError: No answer came in time.
        """
        try:
            with anyio.fail_after(timeout_s):
                async with self.stream(address, purpose) as stream:
                    await stream.send(message)
                    return await stream.receive()
        except TimeoutError as error:
            text = f"no answer in {timeout_s} s"
            raise errors.CodedError(
                errorcodes.LINK_SILENT, text, address
            ) from error
