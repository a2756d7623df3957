"""One exchange of messages on a connection between two daemons.

Bodies are sent under a window of credit, so that a slow receiver of one stream
does not hold back the others.
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

# Bytes of body that a sender may have under way on one stream.
WINDOW_BYTES = 262_144
BODY_CHUNK_BYTES = 65_536
# Messages that may wait on one stream. Pieces of a body may be small, but each
# of them costs memory.
MAX_WAITING = 4160

_DATA = (messages.CallData, messages.AnswerData)


class Carrier(Protocol):
    """The connection of a stream."""

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""

    def closed_error(self) -> errors.CodedError:
        """Returns the error that ended the connection."""

    async def send(
        self, stream: "Stream | None", message: messages.Message
    ) -> None:
        """Sends a message."""

    def post(self, stream: "Stream | None", message: messages.Message) -> None:
        """Sends a message without waiting for room."""

    def discard(self, stream: "Stream") -> None:
        """Forgets a stream."""


class Stream:
    """One exchange of messages on a connection.

    Attributes:
        number: Number of the stream on its connection; 0 before the first
            message is sent.
    """

    def __init__(self, connection: Carrier, number: int) -> None:
        """Creates the stream; connections do this."""
        self._connection = connection
        self.number = number
        self._waiting: deque[messages.Message] = deque()
        self._receiver: asyncio.Future[None] | None = None
        self._sender: asyncio.Future[None] | None = None
        self._has_ended = False
        self._is_wanted = False
        self._credit = WINDOW_BYTES
        self._unread = 0
        self._consumed = 0
        self._on_interrupt: Callable[[], object] | None = None

    @property
    def is_sent(self) -> bool:
        """Whether any byte of the stream may have been sent."""
        return self.number > 0

    async def send(self, message: messages.Message) -> None:
        """Sends a message that is no body.

        Raises:
            errors.CodedError: The connection has ended.
        """
        await self._connection.send(self, message)

    def post(self, message: messages.Message) -> None:
        """Sends a small message without waiting for room.

        Raises:
            errors.CodedError: The connection has ended.
        """
        self._connection.post(self, message)

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
        while not self._is_wanted:
            await self._wait_credit()

    async def _wait_credit(self) -> None:
        if self._has_ended:
            raise self._connection.closed_error()
        self._sender = asyncio.get_running_loop().create_future()
        await self._sender

    async def _send_chunk(
        self, make: Callable[..., messages.Message], chunk: bytes, last: bool
    ) -> None:
        while self._credit < len(chunk):
            await self._wait_credit()
        self._credit -= len(chunk)
        await self.send(make(body=chunk, last=last))

    async def receive(self, deadline: float = math.inf) -> messages.Message:
        """Receives the next message.

        Args:
            deadline: Time on the clock of ``time.monotonic``, in seconds.

        Raises:
            errors.CodedError: The connection has ended.
            TimeoutError: There was none by the deadline.
        """
        while not self._waiting:
            if self._has_ended:
                raise self._connection.closed_error()
            self._receiver = asyncio.get_running_loop().create_future()
            await futures.wait(self._receiver, deadline)
        message = self._waiting.popleft()
        if isinstance(message, _DATA):
            await self._return_credit(len(message.body))
        return message

    async def _return_credit(self, size: int) -> None:
        self._unread -= size
        self._consumed += size
        if self._consumed >= WINDOW_BYTES // 2:
            consumed, self._consumed = self._consumed, 0
            await self.send(messages.Credit(bytes=consumed))

    def on_interrupt(self, interrupt: Callable[[], object]) -> None:
        """Calls a function at the next message or the end of the connection.

        For a stream whose receiver expects no message but a cancellation.
        This saves the task that would wait for it.
        """
        self._on_interrupt = interrupt
        if self._has_ended or self._waiting:
            interrupt()

    def deliver(self, message: messages.Message) -> None:
        """Takes a message that arrived.

        Raises:
            errors.CodedError: The sender exceeded its credit.
        """
        if isinstance(message, messages.Credit):
            self._credit += message.bytes
            self._is_wanted = True
            futures.wake(self._sender)
            return
        if self._on_interrupt is not None:
            self._on_interrupt()
            return
        if isinstance(message, _DATA):
            self._unread += len(message.body)
            if self._unread > WINDOW_BYTES:
                text = f"stream {self.number} exceeds its credit"
                raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
        if len(self._waiting) >= MAX_WAITING:
            text = f"stream {self.number} has too many messages waiting"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
        self._waiting.append(message)
        futures.wake(self._receiver)

    def end(self) -> None:
        """Ends the stream: a waiting receiver or sender is told."""
        if self._has_ended:
            return
        self._has_ended = True
        futures.wake(self._receiver)
        futures.wake(self._sender)
        if self._on_interrupt is not None:
            self._on_interrupt()

    def discard(self) -> None:
        """Frees the stream after its last message."""
        self._on_interrupt = None
        self._connection.discard(self)
        self.end()
