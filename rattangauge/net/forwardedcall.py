"""Runs the calls that other daemons forward, and sends their answers."""

from collections.abc import AsyncIterator
import contextlib
import time

import anyio
import loguru

from rattangauge import errors
from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import connection_pool
from rattangauge.net import frames


class _IncomingBody:
    """Receives the request body of a call that another daemon forwards."""

    def __init__(self, stream: connection_pool.Stream) -> None:
        self._stream = stream
        self._is_complete = False
        self._sender, self._receiver = anyio.create_memory_object_stream[bytes](
            0
        )

    async def pieces(self) -> AsyncIterator[bytes]:
        """Asks for the body and yields its pieces.

        Raises:
            exchange.CallFailed: The stream ended before the last piece.
        """
        await self._stream.send(messages.Credit(bytes=0))
        async for piece in self._receiver:
            yield piece
        if not self._is_complete:
            text = "the request ended inside its body"
            raise exchange.unknown(text, errorcodes.CALL_CANCELLED)

    async def receive(self, call_scope: anyio.CancelScope) -> None:
        """Receives the body, then waits for the cancellation of the call.

        Args:
            call_scope: Scope of the call; cancelled if the other daemon
                cancels the call or the connection fails.
        """
        try:
            while await self._receive_piece():
                pass
        except errors.CodedError as error:
            loguru.logger.debug(
                "the stream of a forwarded call failed: {}", error
            )
        finally:
            self._sender.close()
        call_scope.cancel()

    async def _receive_piece(self) -> bool:
        """Receives a message; returns False if it cancels the call."""
        message = await self._stream.receive()
        if not isinstance(message, messages.CallData) or self._is_complete:
            return False
        if message.body:
            # The rest of the body is discarded if the handler has returned.
            with contextlib.suppress(anyio.BrokenResourceError):
                await self._sender.send(message.body)
        if message.last:
            self._is_complete = True
            self._sender.close()
        return True


async def serve(
    stream: connection_pool.Stream,
    opened: messages.CallOpen,
    handler: exchange.Handler,
) -> None:
    """Runs a call that another daemon forwarded and sends the response.

    Args:
        stream: Stream on which the call arrived.
        opened: First message of the call.
        handler: Runs the call.

    Raises:
        errors.CodedError: The connection ended before the response was sent.
    """
    deadline = time.monotonic() + opened.deadline_ms / 1000

    async def respond(response: exchange.Response) -> None:
        remaining_s = max(0.0, deadline - time.monotonic())
        with anyio.move_on_after(remaining_s) as scope:
            await _send_answer(stream, response.open)
            if response.body is not None:
                async for piece in response.body:
                    await stream.send_data(messages.AnswerData, piece, False)
                await stream.send_data(messages.AnswerData, b"", True)
        if scope.cancelled_caught:
            loguru.logger.info(
                "the answer to call {} was not read in time", opened.call_id
            )

    async def run(body: AsyncIterator[bytes] | None) -> None:
        request = exchange.Request(opened, body, deadline)
        failure = await _run_handler(handler, request, respond)
        if failure is not None:
            await stream.send(_failure_message(opened, failure))

    call_scope = anyio.CancelScope()
    if opened.last:
        stream.on_interrupt(call_scope.cancel)
        with call_scope:
            await run(None)
        return
    incoming = _IncomingBody(stream)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(incoming.receive, call_scope)
            with call_scope:
                await run(incoming.pieces())
            tasks.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        raise errors.first_error(group) from group


async def _send_answer(
    stream: connection_pool.Stream, answer: messages.AnswerOpen
) -> None:
    """Sends an answer; in parts if it is too large for one message.

    Raises:
        errors.CodedError: The connection ended.
    """
    if len(answer.body) < frames.MAX_FRAME_BYTES:
        try:
            await stream.send(answer)
            return
        except errors.CodedError as error:
            if error.code != errorcodes.FRAME_OVERSIZED:
                raise
    await stream.send(answer._replace(body=b"", last=False))
    await stream.send_data(messages.AnswerData, answer.body, answer.last)


async def _run_handler(
    handler: exchange.Handler,
    request: exchange.Request,
    respond: exchange.Respond,
) -> exchange.CallFailed | None:
    """Runs a call; returns the failure to report to the other daemon, or None.

    Any exception becomes a failure, as the other daemon would otherwise wait
    for a response until the deadline.
    """
    try:
        await handler(request, respond)
    except exchange.CallFailed as failure:
        return failure
    except errors.CodedError as error:
        return exchange.unknown(str(error))
    except Exception as error:
        loguru.logger.exception(
            "call {} raised an exception", request.open.call_id
        )
        return exchange.unknown(repr(error))
    return None


def _failure_message(
    opened: messages.CallOpen, failure: exchange.CallFailed
) -> messages.AnswerFailed:
    return messages.AnswerFailed(
        call_id=opened.call_id,
        code=failure.code,
        message=failure.message,
        outcome=failure.outcome,
        retry_after_ms=failure.retry_after_ms,
        load=failure.load or messages.Load(),
        allowance=failure.allowance,
    )
