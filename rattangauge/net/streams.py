"""Streams: exchanges of messages on a connection between two daemons.

Credit limits the bytes of body that are under way on each stream, so that a
slow receiver of one stream does not block the other streams of the connection.
"""

import asyncio
from collections import deque
from collections.abc import Callable
import math
from typing import Protocol

from rattangauge import errors
from rattangauge import futures
from rattangauge.generated import errorcodes
from rattangauge.generated import messages

# Initial credit: bytes of body on one stream that the sender may have sent and
# the receiver has not read.
WINDOW_BYTES = 262_144
BODY_CHUNK_BYTES = 65_536
# Received messages that may wait on one stream. The credit limits the bytes of
# body but not the memory of many small messages.
MAX_WAITING_MESSAGES = 4160

_BODY_MESSAGES = (messages.CallData, messages.AnswerData)


class StreamConnection(Protocol):
    """Operations of a connection that its streams use."""

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""

    def closed_error(self) -> errors.CodedError:
        """Returns the error that ended the connection."""

    async def send(
        self, stream: "Stream | None", message: messages.Message
    ) -> None:
        """Sends a message when the transport has room for it."""

    def post(self, stream: "Stream | None", message: messages.Message) -> None:
        """Sends a message without waiting for room in the transport."""

    def count_unread(self, size: int) -> None:
        """Adds to the bytes that the streams have received and not read."""

    def discard(self, stream: "Stream") -> None:
        """Removes a stream from the connection."""


class Stream:
    """One exchange of messages on a connection.

    Attributes:
        number: Number of the stream on its connection; 0 before the first
            message is sent.
    """

    def __init__(self, connection: StreamConnection, number: int) -> None:
        """Creates a stream; only connections do this."""
        self._connection = connection
        self.number = number
        # Messages that have not been read, each with the size of its frame.
        self._received: deque[tuple[messages.Message, int]] = deque()
        self._message_waiter: asyncio.Future[None] | None = None
        self._credit_waiter: asyncio.Future[None] | None = None
        self._has_ended = False
        self._has_first_credit = False
        self._credit_bytes = WINDOW_BYTES
        self._unread_bytes = 0
        self._consumed_bytes = 0
        self._on_interrupt: Callable[[], object] | None = None
        self._may_repeat = True
        self._is_patient = False
        self._is_unread = False

    @property
    def is_patient(self) -> bool:
        """Whether the stream outlasts a short silence of its connection.

        This is so for a call that was sent completely and must not be repeated:
        its peer may only be paused, and no one else can give the answer.
        """
        return self._is_patient

    def update_patience(self, message: messages.Message) -> None:
        """Takes note of a message of a call that was sent or received."""
        if isinstance(message, messages.CallOpen):
            self._may_repeat = message.idempotent
        if isinstance(message, messages.CallOpen | messages.CallData):
            self._is_patient = message.last and not self._may_repeat

    @property
    def is_sent(self) -> bool:
        """Whether any byte of the stream may have been sent."""
        return self.number > 0

    @property
    def may_be_read(self) -> bool:
        """Whether the other end may have read, or may yet read, the stream."""
        return self.is_sent and not self._is_unread

    def mark_unread(self) -> None:
        """Records that the other end has not read the stream, nor will it."""
        self._is_unread = True

    async def send(self, message: messages.Message) -> None:
        """Sends a message without a body.

        Raises:
            errors.CodedError: The connection has ended.
        """
        await self._connection.send(self, message)

    def post(self, message: messages.Message) -> None:
        """Sends a small message without waiting for room in the transport.

        Raises:
            errors.CodedError: The connection has ended.
        """
        self._connection.post(self, message)

    async def send_data(
        self,
        message_type: Callable[..., messages.Message],
        body: bytes,
        last: bool,
    ) -> None:
        """Sends a piece of a body, in chunks, as the credit allows.

        Args:
            message_type: ``messages.CallData`` or ``messages.AnswerData``.
            body: The piece, of any size.
            last: Whether the body ends with this piece.

        Raises:
            errors.CodedError: The connection has ended.
        """
        remaining = memoryview(body)
        while len(remaining) > BODY_CHUNK_BYTES:
            await self._send_chunk(
                message_type, bytes(remaining[:BODY_CHUNK_BYTES]), False
            )
            remaining = remaining[BODY_CHUNK_BYTES:]
        await self._send_chunk(message_type, bytes(remaining), last)

    async def wait_wanted(self) -> None:
        """Waits until the receiver has sent its first credit, which may be 0.

        The first credit means that the receiver wants the body.

        Raises:
            errors.CodedError: The connection has ended.
        """
        while not self._has_first_credit:
            await self._wait_credit()

    async def _wait_credit(self) -> None:
        if self._has_ended:
            raise self._connection.closed_error()
        self._credit_waiter = asyncio.get_running_loop().create_future()
        await self._credit_waiter

    async def _send_chunk(
        self,
        message_type: Callable[..., messages.Message],
        chunk: bytes,
        last: bool,
    ) -> None:
        while self._credit_bytes < len(chunk):
            await self._wait_credit()
        self._credit_bytes -= len(chunk)
        await self.send(message_type(body=chunk, last=last))

    async def receive(self, deadline: float = math.inf) -> messages.Message:
        """Receives the next message.

        Args:
            deadline: Time on the clock of ``time.monotonic``, in seconds.

        Raises:
            errors.CodedError: The connection has ended.
            TimeoutError: No message came before the deadline.
        """
        while not self._received:
            if self._has_ended:
                raise self._connection.closed_error()
            self._message_waiter = asyncio.get_running_loop().create_future()
            await futures.wait(self._message_waiter, deadline)
        message, frame_bytes = self._received.popleft()
        self._connection.count_unread(-frame_bytes)
        if isinstance(message, _BODY_MESSAGES):
            await self._return_credit(len(message.body))
        return message

    async def _return_credit(self, size: int) -> None:
        self._unread_bytes -= size
        self._consumed_bytes += size
        if self._consumed_bytes >= WINDOW_BYTES // 2:
            consumed_bytes, self._consumed_bytes = self._consumed_bytes, 0
            await self.send(messages.Credit(bytes=consumed_bytes))

    def on_interrupt(self, callback: Callable[[], object]) -> None:
        """Sets a function to call at the next message or the stream's end.

        It is meant for a stream on which only a cancellation can still come,
        and saves the task that would otherwise wait for that.
        """
        self._on_interrupt = callback
        if self._has_ended or self._received:
            callback()

    def deliver(self, message: messages.Message, frame_bytes: int) -> None:
        """Stores a message that arrived, or adds the credit that it grants.

        Args:
            message: The message.
            frame_bytes: Size of its frame.

        Raises:
            errors.CodedError: The sender exceeded its credit, or the number or
                the size of waiting messages.
        """
        if isinstance(message, messages.Credit):
            self._credit_bytes += message.bytes
            self._has_first_credit = True
            futures.wake(self._credit_waiter)
            return
        if self._on_interrupt is not None:
            self._on_interrupt()
            return
        if isinstance(message, _BODY_MESSAGES):
            self._unread_bytes += len(message.body)
            if self._unread_bytes > WINDOW_BYTES:
                text = f"stream {self.number} exceeds its credit"
                raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
        if len(self._received) >= MAX_WAITING_MESSAGES:
            text = f"stream {self.number} has too many messages waiting"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
        self._connection.count_unread(frame_bytes)
        self._received.append((message, frame_bytes))
        futures.wake(self._message_waiter)

    def end(self) -> None:
        """Ends the stream and wakes its waiting receiver or sender."""
        if self._has_ended:
            return
        self._has_ended = True
        futures.wake(self._message_waiter)
        futures.wake(self._credit_waiter)
        if self._on_interrupt is not None:
            self._on_interrupt()

    def discard(self) -> None:
        """Removes the stream from its connection and ends it."""
        self._on_interrupt = None
        self._connection.count_unread(-sum(size for _, size in self._received))
        self._received.clear()
        self._connection.discard(self)
        self.end()
