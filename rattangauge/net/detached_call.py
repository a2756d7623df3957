"""Runs a call to its end even if its caller disconnects."""

from collections.abc import AsyncIterator

import anyio

from rattangauge.calls import exchange
from rattangauge.calls import key_records
from rattangauge.generated import messages


class DetachedCall:
    """A call with an idempotency key that runs on the local upstream.

    The response is relayed to the caller. When the caller has disconnected,
    the rest of the response is still read, so that a small one can be stored
    for repeats of the call.
    """

    def __init__(self) -> None:
        """Creates a call without a response."""
        self._sender, self._receiver = anyio.create_memory_object_stream[bytes](
            0
        )
        self._response: exchange.Response | None = None
        self._failure: exchange.CallFailed | None = None
        self._answered = anyio.Event()
        self._ended = anyio.Event()
        self._stored_answer: messages.AnswerOpen | None = None
        self._answer_bytes = 0

    @property
    def stored_answer(self) -> messages.AnswerOpen | None:
        """The complete response, or None if it is too large to be stored."""
        return self._stored_answer

    @property
    def answer_bytes(self) -> int:
        """Size of the response body and headers, in bytes."""
        return self._answer_bytes

    async def receive(self, response: exchange.Response) -> None:
        """Receives the response of the upstream and reads it to its end."""
        head = response.open
        self._answer_bytes = len(head.body) + sum(
            len(header.name) + len(header.value) for header in head.headers
        )
        if response.body is None:
            self._response = response
            self._answered.set()
            self._stored_answer = head
            return
        self._response = exchange.Response(head, self._body_pieces())
        self._answered.set()
        await self._receive_body(head, response.body)

    async def _receive_body(
        self, head: messages.AnswerOpen, body: AsyncIterator[bytes]
    ) -> None:
        stored_pieces: list[bytes] = [head.body]
        is_caller_connected = True
        async for piece in body:
            self._answer_bytes += len(piece)
            if self._answer_bytes <= key_records.MAX_ANSWER_BYTES:
                stored_pieces.append(piece)
            if is_caller_connected:
                try:
                    await self._sender.send(piece)
                except anyio.BrokenResourceError:
                    is_caller_connected = False
        if self._answer_bytes <= key_records.MAX_ANSWER_BYTES:
            self._stored_answer = head._replace(
                body=b"".join(stored_pieces), last=True
            )

    def fail(self, failure: exchange.CallFailed) -> None:
        """Stores the failure of the call, for its caller."""
        self._failure = failure

    def end(self) -> None:
        """Marks the call as ended, for its caller and for waiting repeats."""
        self._sender.close()
        self._answered.set()
        self._ended.set()

    async def wait_end(self) -> None:
        """Waits until the call has ended."""
        await self._ended.wait()

    async def relay(self, respond: exchange.Respond) -> None:
        """Relays the response to the caller.

        Raises:
            exchange.CallFailed: No complete response arrived.
        """
        try:
            await self._answered.wait()
            if self._response is not None:
                await respond(self._response)
            elif self._failure is not None:
                raise self._failure
            else:
                raise exchange.unknown("the daemon ended the call")
        finally:
            self._receiver.close()

    async def _body_pieces(self) -> AsyncIterator[bytes]:
        async for piece in self._receiver:
            yield piece
        if self._failure is not None:
            raise self._failure
