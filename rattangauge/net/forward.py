"""Forwards calls to other daemons."""

from collections.abc import AsyncIterator
import contextlib
import time

import anyio
import loguru

from rattangauge import errors
from rattangauge import receivememory
from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.http import parsing
from rattangauge.net import answerparts
from rattangauge.net import connection_pool

# A larger body has a separate connection and is sent only after the other
# daemon has a slot for its call.
LARGE_BODY_BYTES = 16_384


class ConnectionLost(exchange.CallFailed):
    """The connection failed before the complete response arrived.

    Attributes:
        sent: Whether the other daemon may have received the call.
    """

    def __init__(self, message: str, sent: bool) -> None:
        """Creates the failure.

        Args:
            message: Cause of the failure.
            sent: Whether the other daemon may have received the call.
        """
        if sent:
            code = errorcodes.CALL_OUTCOME_UNKNOWN
            outcome = messages.Outcome.UNKNOWN
        else:
            code = errorcodes.CALL_NO_UPSTREAM
            outcome = messages.Outcome.NOT_RUN
        super().__init__(code, message, outcome)
        self.sent = sent


def _deadline_failure(is_sent: bool) -> exchange.CallFailed:
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
    """Forwards a call to a daemon and relays the response.

    Args:
        links: Connections to other daemons.
        address: Address of the daemon.
        request: The call.
        respond: Called with the response.

    Raises:
        exchange.CallFailed: No complete response arrived; ``ConnectionLost`` if
            the connection failed.
    """
    stream_context = _open_stream(links, address, request)
    may_be_read = False
    remaining_s = request.deadline - time.monotonic()
    try:
        with anyio.fail_after(remaining_s):
            async with stream_context as stream:
                try:
                    await _exchange(stream, request, respond)
                finally:
                    may_be_read = stream.may_be_read
    except exchange.CallFailed:
        raise
    except errors.CodedError as error:
        raise ConnectionLost(str(error), may_be_read) from error
    except TimeoutError as error:
        raise _deadline_failure(may_be_read) from error


def _open_stream(
    links: connection_pool.Links, address: str, request: exchange.Request
) -> contextlib.AbstractAsyncContextManager[connection_pool.Stream]:
    if request.open.call_class == messages.CallClass.LONG:
        return links.long_stream(address)
    if request.body is not None:
        return links.stream(address, connection_pool.LARGE_BODIES)
    return links.stream(address, connection_pool.SMALL_BODIES)


async def forward_buffered(
    links: connection_pool.Links,
    address: str,
    request: exchange.Request,
    memory: receivememory.ReceiveMemory,
) -> messages.AnswerOpen:
    """Forwards a call with its complete body and returns the response.

    This costs less than ``forward``, as the request is one message and the
    response mostly is. A body above ``LARGE_BODY_BYTES`` is sent only after the
    other daemon has a slot for the call, so that a refused call costs no more
    than its head.

    Args:
        links: Connections to the other daemons.
        address: Mesh address of the other daemon.
        request: The call.
        memory: Memory of all messages that have been received in part.

    Raises:
        exchange.CallFailed: No complete response arrived; ``ConnectionLost`` if
            the connection failed.
    """
    if len(request.open.body) > LARGE_BODY_BYTES:
        return await _forward_large_body(links, address, request, memory)
    stream = None
    is_answered = False
    try:
        connection = await links.shared(address, connection_pool.SMALL_BODIES)
        stream = connection.open_stream()
        if request.deadline <= time.monotonic():
            raise TimeoutError
        await _send_head(stream, request)
        message = await stream.receive(request.deadline)
        answer = _checked_answer(message, request.open.call_id)
        if not answer.last:
            answer = await _joined_answer(stream, answer, request, memory)
        is_answered = True
        return answer
    except exchange.CallFailed:
        raise
    except errors.CodedError as error:
        may_be_read = stream is not None and stream.may_be_read
        raise ConnectionLost(str(error), may_be_read) from error
    except TimeoutError as error:
        raise _deadline_failure(
            stream is not None and stream.may_be_read
        ) from error
    finally:
        if stream is not None:
            _end_call(stream, is_answered)


async def _forward_large_body(
    links: connection_pool.Links,
    address: str,
    request: exchange.Request,
    memory: receivememory.ReceiveMemory,
) -> messages.AnswerOpen:
    """Forwards a call whose body is sent when the other daemon asks for it.

    The other daemon runs the call only when it has received the complete body.
    So a call whose body was not sent completely has not run.
    """
    body = request.open.body
    answers: list[messages.AnswerOpen] = []
    is_body_sent = False

    async def pieces() -> AsyncIterator[bytes]:
        nonlocal is_body_sent
        yield body
        is_body_sent = True

    async def store_answer(response: exchange.Response) -> None:
        answer = response.open
        if response.body is not None:
            body = await _join_body(response.body, memory)
            answer = answer._replace(body=body, last=True)
        answers.append(answer)

    opened = request.open._replace(body=b"", last=False, body_bytes=len(body))
    split = request._replace(open=opened, body=pieces())
    try:
        await forward(links, address, split, store_answer)
    except exchange.CallFailed as failure:
        if is_body_sent or failure.outcome == messages.Outcome.NOT_RUN:
            raise
        raise _not_run_failure(failure) from failure
    return answers[0]


def _not_run_failure(failure: exchange.CallFailed) -> exchange.CallFailed:
    """Returns the failure as that of a call whose body was not sent."""
    if isinstance(failure, ConnectionLost):
        return ConnectionLost(failure.message, False)
    return exchange.not_run(failure.code, failure.message)


async def _join_body(
    pieces: AsyncIterator[bytes], memory: receivememory.ReceiveMemory
) -> bytes:
    """Returns the body of an answer that arrives in parts.

    Raises:
        exchange.CallFailed: The rest did not arrive, or takes too much memory.
            The outcome is unknown, since the answer has begun.
    """
    try:
        return await answerparts.join(pieces, memory)
    except exchange.CallFailed as failure:
        raise exchange.unknown(failure.message, failure.code) from failure
    except errors.CodedError as error:
        raise ConnectionLost(str(error), True) from error


async def _joined_answer(
    stream: connection_pool.Stream,
    first: messages.AnswerOpen,
    request: exchange.Request,
    memory: receivememory.ReceiveMemory,
) -> messages.AnswerOpen:
    """Returns an answer with the parts of its body joined.

    Raises:
        exchange.CallFailed: The other daemon sent a failure, or more than the
            memory holds.
        TimeoutError: The body was not complete by the deadline.
    """
    pieces = _answer_body(stream, request.open.call_id)
    with anyio.fail_after(request.deadline - time.monotonic()):
        body = await _join_body(pieces, memory)
    return first._replace(body=body, last=True)


async def _send_head(
    stream: connection_pool.Stream, request: exchange.Request
) -> None:
    """Sends the first message of a call, with the time that is left for it."""
    remaining_s = request.deadline - time.monotonic()
    deadline_ms = max(1, int(remaining_s * 1000))
    await stream.send(request.open._replace(deadline_ms=deadline_ms))


def _send_cancel(stream: connection_pool.Stream) -> None:
    """Tells the other daemon that the response is no longer needed."""
    try:
        stream.post(messages.CallCancel("cancelled"))
    except errors.CodedError as error:
        loguru.logger.debug(
            "the cancellation of a forwarded call could not be sent: {}", error
        )


def _end_call(stream: connection_pool.Stream, is_answered: bool) -> None:
    """Frees the stream of a call, and cancels the call if it still runs."""
    if not is_answered and stream.is_sent:
        _send_cancel(stream)
    stream.discard()


async def _exchange(
    stream: connection_pool.Stream,
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    """Sends a call and relays the response; cancels the call on failure."""
    finished = False
    try:
        await _send_head(stream, request)
        if request.body is None:
            await _receive_answer(stream, request, respond)
        else:
            await _receive_while_sending(stream, request.body, request, respond)
        finished = True
    finally:
        if not finished and stream.is_sent:
            _send_cancel(stream)


async def _receive_while_sending(
    stream: connection_pool.Stream,
    body: AsyncIterator[bytes],
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    """Sends the body and relays the response at the same time.

    If the response ends before the body, the rest of the body is not sent.
    """
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
    # A call that is refused before its body is read can be retried elsewhere.
    await stream.wait_wanted()
    async for piece in exchange.body_after_head(body):
        await stream.send_data(messages.CallData, piece, False)
    await stream.send_data(messages.CallData, b"", True)


def _check_call_id(
    message: messages.AnswerOpen | messages.AnswerFailed, call_id: str
) -> None:
    if message.call_id != call_id:
        text = f"an answer to call {message.call_id} came for {call_id}"
        raise exchange.unknown(text, errorcodes.CALL_CROSSED)


def _checked_answer(
    message: messages.Message, call_id: str
) -> messages.AnswerOpen:
    """Returns the first message of the answer to a call.

    Raises:
        exchange.CallFailed: The message is a failure, belongs to another call,
            is none that starts an answer, or has no status of a final
            response.
    """
    if isinstance(message, messages.AnswerFailed):
        _check_call_id(message, call_id)
        raise _received_failure(message)
    if not isinstance(message, messages.AnswerOpen):
        raise _unexpected_message(message)
    _check_call_id(message, call_id)
    if message.status not in parsing.FINAL_STATUS_CODES:
        text = f"the other daemon answered with the status {message.status}"
        raise exchange.unknown(text, errorcodes.CALL_UPSTREAM_FAILED)
    return message


async def _receive_answer(
    stream: connection_pool.Stream,
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    """Relays the response; its body is received while ``respond`` reads it."""
    call_id = request.open.call_id
    message = _checked_answer(await stream.receive(), call_id)
    body = None if message.last else _answer_body(stream, call_id)
    await respond(exchange.Response(message, body))


def _unexpected_message(message: messages.Message) -> exchange.CallFailed:
    text = f"{type(message).__name__} came in place of an answer"
    return exchange.unknown(text, errorcodes.FRAME_UNEXPECTED)


def _received_failure(message: messages.AnswerFailed) -> exchange.CallFailed:
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
    """Yields the rest of a response body.

    Raises:
        exchange.CallFailed: The other daemon sent a failure or an unexpected
            message.
    """
    while True:
        message = await stream.receive()
        if isinstance(message, messages.AnswerFailed):
            _check_call_id(message, call_id)
            raise _received_failure(message)
        if not isinstance(message, messages.AnswerData):
            raise _unexpected_message(message)
        if message.body:
            yield message.body
        if message.last:
            return
