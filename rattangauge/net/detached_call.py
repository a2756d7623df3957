"""A keyed call that runs to its end, whether or not its caller waits."""

from collections.abc import AsyncIterator

import anyio

from rattangauge.calls import exchange
from rattangauge.calls import key_records
from rattangauge.generated import messages


class DetachedCall:
    """One keyed call at the daemon beside its upstream.

    The answer passes through to the caller while it waits, and the rest is
    read and discarded when the caller has gone.
    """

    def __init__(self) -> None:
        """Creates a call without an answer."""
        self._sender, self._receiver = anyio.create_memory_object_stream[bytes](
            0
        )
        self._response: exchange.Response | None = None
        self._failure: exchange.CallFailed | None = None
        self._answered = anyio.Event()
        self._ended = anyio.Event()
        self._kept: messages.AnswerOpen | None = None
        self._kept_size = 0

    @property
    def kept(self) -> messages.AnswerOpen | None:
        """The whole answer, if it is small enough to be kept."""
        return self._kept

    @property
    def kept_size(self) -> int:
        """Bytes of the answer with its headers."""
        return self._kept_size

    async def take(self, response: exchange.Response) -> None:
        """Takes the answer of the upstream."""
        head = response.open
        self._kept_size = len(head.body) + sum(
            len(header.name) + len(header.value) for header in head.headers
        )
        if response.body is None:
            self._response = response
            self._answered.set()
            self._kept = head
            return
        self._response = exchange.Response(head, self._pieces())
        self._answered.set()
        await self._take_body(head, response.body)

    async def _take_body(
        self, head: messages.AnswerOpen, body: AsyncIterator[bytes]
    ) -> None:
        kept: list[bytes] = [head.body]
        caller_waits = True
        async for piece in body:
            self._kept_size += len(piece)
            if self._kept_size <= key_records.MAX_ANSWER_BYTES:
                kept.append(piece)
            if caller_waits:
                try:
                    await self._sender.send(piece)
                except anyio.BrokenResourceError:
                    caller_waits = False
        if self._kept_size <= key_records.MAX_ANSWER_BYTES:
            self._kept = head._replace(body=b"".join(kept), last=True)

    def fail(self, failure: exchange.CallFailed) -> None:
        """Takes the failure of the call."""
        self._failure = failure

    def end(self) -> None:
        """Tells the caller and those who wait that the call has ended."""
        self._sender.close()
        self._answered.set()
        self._ended.set()

    async def wait_end(self) -> None:
        """Waits until the call has ended."""
        await self._ended.wait()

    async def pass_on(self, respond: exchange.Respond) -> None:
        """Passes the answer to the caller.

        Raises:
            exchange.CallFailed: There is no whole answer.
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

    async def _pieces(self) -> AsyncIterator[bytes]:
        async for piece in self._receiver:
            yield piece
        if self._failure is not None:
            raise self._failure
