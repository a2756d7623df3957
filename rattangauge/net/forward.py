"""Passes calls to other daemons and takes calls from them."""

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

# Larger bodies have connections of their own.
LARGE_BODY_BYTES = 16_384


class LinkLost(exchange.CallFailed):
    """The connection ended before the call had a whole answer.

    Attributes:
        sent: Whether the other daemon may have received the call.
    """

    def __init__(self, message: str, sent: bool) -> None:
        """Creates the failure."""
        if sent:
            code = errorcodes.CALL_OUTCOME_UNKNOWN
            outcome = messages.Outcome.UNKNOWN
        else:
            code = errorcodes.CALL_NO_UPSTREAM
            outcome = messages.Outcome.NOT_RUN
        super().__init__(code, message, outcome)
        self.sent = sent


def _late(is_sent: bool) -> exchange.CallFailed:
    text = "the deadline passed while the call ran"
    if not is_sent:
        return exchange.not_run(errorcodes.CALL_DEADLINE, text)
    return exchange.unknown(text, errorcodes.CALL_DEADLINE)


async def forward(
    links: connection_pool.Links,
    address: str,
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    """Passes a call to the daemon at an address and its answer back.

    Raises:
        exchange.CallFailed: There is no whole answer; ``LinkLost`` if the
            connection is the cause.
    """
    opener = _open_stream(links, address, request)
    sent = False
    remaining = request.deadline - time.monotonic()
    try:
        with anyio.fail_after(remaining):
            async with opener as stream:
                try:
                    await _exchange(stream, request, respond)
                finally:
                    sent = stream.is_sent
    except exchange.CallFailed:
        raise
    except errors.CodedError as error:
        raise LinkLost(str(error), sent) from error
    except TimeoutError as error:
        raise _late(sent) from error


def _open_stream(
    links: connection_pool.Links, address: str, request: exchange.Request
) -> contextlib.AbstractAsyncContextManager[connection_pool.Stream]:
    if request.open.call_class == messages.CallClass.LONG:
        return links.long_stream(address)
    if request.body is not None:
        return links.stream(address, connection_pool.BODIES)
    return links.stream(address, connection_pool.CALLS)


async def forward_whole(
    links: connection_pool.Links, address: str, request: exchange.Request
) -> messages.AnswerOpen:
    """Passes a call with its whole body on and returns its whole answer.

    This costs less than ``forward``. A larger body follows when the other
    daemon has a slot for the call: a refused call costs its head alone.

    Raises:
        exchange.CallFailed: There is no whole answer; ``LinkLost`` if the
            connection is the cause.
    """
    if len(request.open.body) > LARGE_BODY_BYTES:
        return await _forward_body(links, address, request)
    stream = None
    is_answered = False
    try:
        connection = await links.shared(address, connection_pool.CALLS)
        stream = connection.open_stream()
        if request.deadline <= time.monotonic():
            raise TimeoutError
        await _send_open(stream, request)
        message = await stream.receive(request.deadline)
        is_answered = True
        return _whole_answer(message, request.open.call_id)
    except exchange.CallFailed:
        raise
    except errors.CodedError as error:
        is_sent = stream is not None and stream.is_sent
        raise LinkLost(str(error), is_sent) from error
    except TimeoutError as error:
        raise _late(stream is not None and stream.is_sent) from error
    finally:
        if stream is not None:
            _end_call(stream, is_answered)


async def _forward_body(
    links: connection_pool.Links, address: str, request: exchange.Request
) -> messages.AnswerOpen:
    """Passes a call on whose body the other daemon asks for.

    The call begins when the body is whole there. So it did not run if a part
    of the body was never sent.
    """
    body = request.open.body
    answers: list[messages.AnswerOpen] = []
    is_sent = False

    async def pieces() -> AsyncIterator[bytes]:
        nonlocal is_sent
        yield body
        is_sent = True

    async def keep(response: exchange.Response) -> None:
        answers.append(response.open)

    opened = request.open._replace(body=b"", last=False)
    split = request._replace(open=opened, body=pieces())
    try:
        await forward(links, address, split, keep)
    except exchange.CallFailed as failure:
        if is_sent or failure.outcome == messages.Outcome.NOT_RUN:
            raise
        raise _not_begun(failure) from failure
    return _whole_answer(answers[0], request.open.call_id)


def _not_begun(failure: exchange.CallFailed) -> exchange.CallFailed:
    """Returns the failure of a call whose body was not sent whole."""
    if isinstance(failure, LinkLost):
        return LinkLost(failure.message, False)
    return exchange.not_run(failure.code, failure.message)


def _whole_answer(
    message: messages.Message, call_id: str
) -> messages.AnswerOpen:
    answer = _checked_answer(message, call_id)
    if not answer.last:
        text = "an answer came in parts to a call that takes a whole one"
        raise exchange.unknown(text, errorcodes.FRAME_UNEXPECTED)
    return answer


async def _send_open(
    stream: connection_pool.Stream, request: exchange.Request
) -> None:
    remaining = request.deadline - time.monotonic()
    deadline_ms = max(1, int(remaining * 1000))
    await stream.send(request.open._replace(deadline_ms=deadline_ms))


def _cancel(stream: connection_pool.Stream) -> None:
    """Tells the other daemon that nobody waits for the answer."""
    try:
        stream.post(messages.CallCancel("cancelled"))
    except errors.CodedError as error:
        loguru.logger.debug("a call is not cancelled: {}", error)


def _end_call(stream: connection_pool.Stream, is_answered: bool) -> None:
    if not is_answered and stream.is_sent:
        _cancel(stream)
    stream.discard()


async def _exchange(
    stream: connection_pool.Stream,
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    finished = False
    try:
        await _send_open(stream, request)
        if request.body is None:
            await _receive_answer(stream, request, respond)
        else:
            await _receive_while_sending(stream, request.body, request, respond)
        finished = True
    finally:
        if not finished and stream.is_sent:
            _cancel(stream)


async def _receive_while_sending(
    stream: connection_pool.Stream,
    body: AsyncIterator[bytes],
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    """Receives the answer; the body may still be sent until it has ended."""
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_send_body, stream, body)
            await _receive_answer(stream, request, respond)
            tasks.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        raise errors.first_error(group) from group


async def _send_body(
    stream: connection_pool.Stream, body: AsyncIterator[bytes]
) -> None:
    # A call that is refused before can still be sent elsewhere.
    await stream.wait_wanted()
    async for piece in exchange.sent_body(body):
        await stream.send_data(messages.CallData, piece, False)
    await stream.send_data(messages.CallData, b"", True)


def _check_call(
    message: messages.AnswerOpen | messages.AnswerFailed, call_id: str
) -> None:
    if message.call_id != call_id:
        text = f"an answer to call {message.call_id} came for {call_id}"
        raise exchange.unknown(text, errorcodes.CALL_CROSSED)


def _checked_answer(
    message: messages.Message, call_id: str
) -> messages.AnswerOpen:
    """Returns the start of the answer to a call.

    Raises:
        exchange.CallFailed: The message is a failure, or of another call.
    """
    if isinstance(message, messages.AnswerFailed):
        _check_call(message, call_id)
        raise _failure(message)
    if not isinstance(message, messages.AnswerOpen):
        raise _unexpected(message)
    _check_call(message, call_id)
    return message


async def _receive_answer(
    stream: connection_pool.Stream,
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    call_id = request.open.call_id
    message = _checked_answer(await stream.receive(), call_id)
    body = None if message.last else _answer_body(stream, call_id)
    await respond(exchange.Response(message, body))


def _unexpected(message: messages.Message) -> exchange.CallFailed:
    text = f"{type(message).__name__} came in place of an answer"
    return exchange.unknown(text, errorcodes.FRAME_UNEXPECTED)


def _failure(message: messages.AnswerFailed) -> exchange.CallFailed:
    return exchange.CallFailed(
        message.code,
        message.message,
        message.outcome,
        message.retry_after_ms,
        message.load,
        message.allowance,
    )


async def _answer_body(
    stream: connection_pool.Stream, call_id: str
) -> AsyncIterator[bytes]:
    while True:
        message = await stream.receive()
        if isinstance(message, messages.AnswerFailed):
            _check_call(message, call_id)
            raise _failure(message)
        if not isinstance(message, messages.AnswerData):
            raise _unexpected(message)
        if message.body:
            yield message.body
        if message.last:
            return


class _Incoming:
    """The body of a call that another daemon sends."""

    def __init__(self, stream: connection_pool.Stream) -> None:
        self._stream = stream
        self._whole = False
        self._sender, self._receiver = anyio.create_memory_object_stream[bytes](
            0
        )

    async def pieces(self) -> AsyncIterator[bytes]:
        """Asks for the body and yields its pieces.

        Raises:
            exchange.CallFailed: The body ended before its last piece.
        """
        await self._stream.send(messages.Credit(bytes=0))
        async for piece in self._receiver:
            yield piece
        if not self._whole:
            text = "the request ended inside its body"
            raise exchange.unknown(text, errorcodes.CALL_CANCELLED)

    async def receive(self, cancelled: anyio.CancelScope) -> None:
        """Receives the body, then waits for the cancellation of the call."""
        try:
            while await self._receive_one():
                pass
        except errors.CodedError as error:
            loguru.logger.debug("a call is cut off: {}", error)
        finally:
            self._sender.close()
        cancelled.cancel()

    async def _receive_one(self) -> bool:
        message = await self._stream.receive()
        if not isinstance(message, messages.CallData) or self._whole:
            return False
        if message.body:
            # A handler that has ended needs no more of the body.
            with contextlib.suppress(anyio.BrokenResourceError):
                await self._sender.send(message.body)
        if message.last:
            self._whole = True
            self._sender.close()
        return True


async def serve(
    stream: connection_pool.Stream,
    opened: messages.CallOpen,
    handler: exchange.Handler,
) -> None:
    """Runs a call that another daemon sent and sends the answer."""
    deadline = time.monotonic() + opened.deadline_ms / 1000

    async def respond(response: exchange.Response) -> None:
        await stream.send(response.open)
        if response.body is not None:
            async for piece in response.body:
                await stream.send_data(messages.AnswerData, piece, False)
            await stream.send_data(messages.AnswerData, b"", True)

    async def run(body: AsyncIterator[bytes] | None) -> None:
        request = exchange.Request(opened, body, deadline)
        failure = await _failure_of(handler, request, respond)
        if failure is not None:
            await stream.send(_refusal(opened, failure))

    cancelled = anyio.CancelScope()
    if opened.last:
        stream.on_interrupt(cancelled.cancel)
        with cancelled:
            await run(None)
        return
    incoming = _Incoming(stream)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(incoming.receive, cancelled)
        with cancelled:
            await run(incoming.pieces())
        tasks.cancel_scope.cancel()


async def _failure_of(
    handler: exchange.Handler,
    request: exchange.Request,
    respond: exchange.Respond,
) -> exchange.CallFailed | None:
    """Runs a call; returns what the sender must be told, if it failed."""
    try:
        await handler(request, respond)
    except exchange.CallFailed as failure:
        return failure
    except errors.CodedError as error:
        return exchange.unknown(str(error))
    except Exception as error:  # the sender must not wait for an answer
        loguru.logger.exception("call {} failed", request.open.call_id)
        return exchange.unknown(repr(error))
    return None


def _refusal(
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
