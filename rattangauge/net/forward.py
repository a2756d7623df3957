"""Passes calls to other daemons and takes calls from them."""

from collections.abc import AsyncIterator
import contextlib

import anyio

from rattangauge import errors
from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import links as links_module

CANCEL_TIMEOUT_S = 1.0


async def forward(
    links: links_module.Links,
    address: str,
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    """Passes a call to the daemon at an address and its answer back.

    Raises:
        exchange.CallFailed: There is no whole answer.
    """
    is_long = request.open.call_class == messages.CallClass.LONG
    opener = (
        links.long_stream(address)
        if is_long
        else links.stream(address, "calls")
    )
    begun = False
    remaining = request.deadline - anyio.current_time()
    try:
        with anyio.fail_after(remaining):
            async with opener as stream:
                begun = True
                await _exchange(stream, request, respond)
    except errors.CodedError as error:
        if isinstance(error, exchange.CallFailed):
            raise
        if not begun:
            raise exchange.not_run(
                errorcodes.CALL_NO_UPSTREAM, str(error)
            ) from error
        raise exchange.unknown(str(error)) from error
    except TimeoutError as error:
        text = "the deadline passed while the call ran"
        raise exchange.unknown(text, errorcodes.CALL_DEADLINE) from error


async def _exchange(
    stream: links_module.Stream,
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    finished = False
    try:
        remaining = request.deadline - anyio.current_time()
        deadline_ms = max(1, int(remaining * 1000))
        await stream.send(request.open._replace(deadline_ms=deadline_ms))
        async with anyio.create_task_group() as tasks:
            if request.body is not None:
                tasks.start_soon(_send_body, stream, request.body)
            await _receive_answer(stream, request, respond)
            finished = True
            tasks.cancel_scope.cancel()
    except* errors.CodedError as group:
        raise _first(group) from group
    finally:
        if not finished:
            with contextlib.suppress(errors.CodedError):
                with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
                    await stream.send(messages.CallCancel("cancelled"))


def _first(group: BaseExceptionGroup) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


async def _send_body(
    stream: links_module.Stream, body: AsyncIterator[bytes]
) -> None:
    async for piece in body:
        await stream.send_data(messages.CallData, piece, False)
    await stream.send_data(messages.CallData, b"", True)


async def _receive_answer(
    stream: links_module.Stream,
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    message = await stream.receive()
    if isinstance(message, messages.AnswerFailed):
        raise _failure(message)
    if not isinstance(message, messages.AnswerOpen):
        text = f"unexpected {type(message).__name__}"
        raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
    if message.call_id != request.open.call_id:
        text = f"an answer to {message.call_id} came for"
        raise exchange.unknown(
            f"{text} {request.open.call_id}", errorcodes.CALL_CROSSED
        )
    body = None if message.last else _answer_body(stream)
    await respond(exchange.Response(message, body))


def _failure(message: messages.AnswerFailed) -> exchange.CallFailed:
    return exchange.CallFailed(
        message.code,
        message.message,
        message.outcome,
        message.retry_after_ms,
        message.load,
        message.allowance,
    )


async def _answer_body(stream: links_module.Stream) -> AsyncIterator[bytes]:
    while True:
        message = await stream.receive()
        if isinstance(message, messages.AnswerFailed):
            raise _failure(message)
        if not isinstance(message, messages.AnswerData):
            text = f"unexpected {type(message).__name__}"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text)
        if message.body:
            yield message.body
        if message.last:
            return


async def serve(
    stream: links_module.Stream,
    opened: messages.CallOpen,
    handler: exchange.Handler,
) -> None:
    """Runs a call that another daemon sent and sends the answer."""
    deadline = anyio.current_time() + opened.deadline_ms / 1000
    cancelled = anyio.CancelScope()
    pieces_in, pieces_out = anyio.create_memory_object_stream[bytes](0)
    body = None if opened.last else pieces_out
    request = exchange.Request(opened, body, deadline)

    async def respond(response: exchange.Response) -> None:
        await stream.send(response.open)
        if response.body is not None:
            async for piece in response.body:
                await stream.send_data(messages.AnswerData, piece, False)
            await stream.send_data(messages.AnswerData, b"", True)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_receive_call, stream, opened, pieces_in, cancelled)
        with cancelled:
            try:
                await handler(request, respond)
            except exchange.CallFailed as failure:
                await stream.send(_refusal(opened, failure))
        tasks.cancel_scope.cancel()


async def _receive_call(
    stream: links_module.Stream,
    opened: messages.CallOpen,
    pieces: anyio.abc.ObjectSendStream[bytes],
    cancelled: anyio.CancelScope,
) -> None:
    """Receives the body of a call, then waits for its cancellation."""
    last = opened.last
    try:
        while True:
            message = await stream.receive()
            if isinstance(message, messages.CallCancel):
                break
            if not isinstance(message, messages.CallData) or last:
                break
            if message.body:
                await pieces.send(message.body)
            if message.last:
                last = True
                await pieces.aclose()
    except (errors.CodedError, anyio.BrokenResourceError):
        pass
    cancelled.cancel()


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
