"""ASGI application that accepts HTTP requests from callers."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import json
import time
from typing import Any
from typing import NamedTuple
import uuid

import anyio

from rattangauge import errors
from rattangauge import metrics
from rattangauge import util
from rattangauge.calls import exchange
from rattangauge.calls import keys
from rattangauge.config import routes
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import router as router_module

DEADLINE_HEADER = b"rattangauge-deadline-ms"
CONTEXT_HEADER = exchange.CONTEXT_HEADER
TENANT_HEADER = b"rattangauge-tenant"
KEY_HEADER = b"idempotency-key"
DEFAULT_TENANT = "default"
KEYS_ENDPOINT = ("POST", "/.rattangauge/keys")

# Most hops in a chain of calls. A call with more hops is refused.
MAX_DEPTH = 64

# Calls that run longer than this are cancelled if the caller disconnects. Most
# calls end sooner, and for them a task that watches the caller costs more than
# it saves.
DISCONNECT_WATCH_DELAY_S = 0.02

# A request fails if no byte of its body arrives for this time. Otherwise a
# caller that stops sending would block a graceful shutdown of the daemon.
BODY_IDLE_TIMEOUT_S = 5.0

# HTTP status codes by error code.
_HTTP_STATUS = {
    errorcodes.CALL_NO_ROUTE: 404,
    errorcodes.CALL_BAD_HEADER: 400,
    errorcodes.CALL_DEADLINE: 504,
    errorcodes.CALL_QUEUE_TIMEOUT: 504,
    errorcodes.CALL_OUTCOME_UNKNOWN: 502,
    errorcodes.CALL_UPSTREAM_FAILED: 502,
    errorcodes.CALL_CROSSED: 502,
    errorcodes.KEY_MALFORMED: 400,
    errorcodes.KEY_WRONG_SERVICE: 400,
    errorcodes.KEY_REUSED: 422,
    errorcodes.KEY_RUNNING: 409,
    errorcodes.KEY_DONE: 409,
    errorcodes.KEY_GONE: 409,
    errorcodes.KEY_EXPIRED: 409,
}
_DEFAULT_HTTP_STATUS = 503

# Issues an idempotency key for calls of a target.
KeyIssuer = Callable[[routes.Target], Awaitable[keys.IssuedKey]]


class Context(NamedTuple):
    """Fields of the context header, which a call carries over all its hops.

    Attributes:
        call_id: Identifier of the call.
        depth: Number of hops since the first caller.
        allowance: Retries that all further hops together may make.
    """

    call_id: str
    depth: int
    allowance: int


def format_context(context: Context) -> bytes:
    """Formats the context header, which an upstream copies to its own calls.

    >>> format_context(Context("c1", 2, 1))
    b'c1;2;1'
    """
    return f"{context.call_id};{context.depth};{context.allowance}".encode()


def _bad_header(name: bytes, value: bytes) -> exchange.CallFailed:
    text = f"{name.decode()}: {value!r} is not valid"
    return exchange.not_run(errorcodes.CALL_BAD_HEADER, text)


def parse_context(value: bytes, allowance: int) -> Context:
    """Parses the context header of a call.

    Args:
        value: Value of the header.
        allowance: Upper limit of retries, from the policy of the route.

    Raises:
        exchange.CallFailed: The header does not have three fields, the call
            identifier is longer than 64 characters, or the depth exceeds
            ``MAX_DEPTH``.

    >>> parse_context(b"c1;2;1", 5)
    Context(call_id='c1', depth=2, allowance=1)
    """
    parts = value.decode("latin-1").split(";")
    if len(parts) != 3 or not (parts[1] + parts[2]).isdecimal():
        raise _bad_header(CONTEXT_HEADER, value)
    depth = int(parts[1])
    if depth > MAX_DEPTH or len(parts[0]) > 64:
        raise _bad_header(CONTEXT_HEADER, value)
    return Context(parts[0], depth, min(allowance, int(parts[2])))


def _error_body(failure: errors.CodedError, outcome: str) -> bytes:
    fields = {
        "code": failure.code,
        "message": failure.message,
        "outcome": outcome,
    }
    return json.dumps(fields).encode()


class _HttpExchange:
    """An HTTP request of a caller and the response to it, over ASGI."""

    def __init__(self, scope: Any, receive: Any, send: Any) -> None:
        self._scope = scope
        self._receive = receive
        self._send = send
        self._answered = False
        self._more_body = True
        self._body_ended = anyio.Event()
        self.headers = dict(scope["headers"])

    @property
    def answered(self) -> bool:
        """Whether the head of a response was sent."""
        return self._answered

    @property
    def body_received(self) -> bool:
        """Whether the complete request body was received."""
        return not self._more_body

    @property
    def target(self) -> str:
        """Path and query of the request."""
        path = self._scope["raw_path"].decode("latin-1")
        query = self._scope["query_string"].decode("latin-1")
        return f"{path}?{query}" if query else path

    async def receive_body_start(self) -> bytes:
        """Receives the start of the body, sent in the first message of a call.

        Raises:
            exchange.CallFailed: The caller disconnected, or stopped sending.
        """
        pieces: list[bytes] = []
        size = 0
        while self._more_body and size <= util.SMALL_BODY_BYTES // 2:
            piece = await self._receive_piece()
            pieces.append(piece)
            size += len(piece)
        return b"".join(pieces)

    async def receive_rest_of_body(self) -> AsyncIterator[bytes]:
        """Yields the pieces of the body that follow ``receive_body_start``.

        Raises:
            exchange.CallFailed: The caller disconnected, or stopped sending.
        """
        while self._more_body:
            yield await self._receive_piece()

    async def _receive_piece(self) -> bytes:
        """Receives the next piece of the body.

        Raises:
            exchange.CallFailed: The caller disconnected, or stopped sending.
        """
        try:
            with anyio.fail_after(BODY_IDLE_TIMEOUT_S):
                event = await self._receive()
        except TimeoutError as error:
            text = f"no byte of the body came within {BODY_IDLE_TIMEOUT_S} s"
            code = errorcodes.CALL_CANCELLED
            raise exchange.not_run(code, text) from error
        if event["type"] == "http.disconnect":
            text = "the caller ended the request inside its body"
            raise exchange.not_run(errorcodes.CALL_CANCELLED, text)
        self._more_body = event.get("more_body", False)
        if not self._more_body:
            self._body_ended.set()
        return event.get("body", b"")

    async def wait_disconnect(self) -> None:
        """Waits until the caller disconnects, once the request is complete."""
        await self._body_ended.wait()
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def respond(self, response: exchange.Response) -> None:
        """Sends a response to the caller."""
        headers = [
            (header.name, header.value)
            for header in response.open.headers
            if header.name.lower() != exchange.ALLOWANCE_HEADER
        ]
        allowance = b"%d" % response.open.allowance
        headers.append((exchange.ALLOWANCE_HEADER, allowance))
        await self.start(response.open.status, headers)
        if response.body is None:
            await self.send_body(response.open.body, False)
            return
        if response.open.body:
            await self.send_body(response.open.body, True)
        async for piece in response.body:
            await self.send_body(piece, True)
        await self.send_body(b"", False)

    async def start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Sends the head of a response."""
        self._answered = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def send_body(self, body: bytes, more: bool) -> None:
        """Sends a piece of the response body.

        Args:
            body: The piece.
            more: Whether other pieces follow.
        """
        event = {"type": "http.response.body", "body": body, "more_body": more}
        if more or self.body_received:
            await self._send(event)
            return
        # The HTTP server completes a response only when its queue of request
        # body pieces has room. No other task reads the rest of the request
        # body any more, so it is read and discarded here.
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._discard_body)
            await self._send(event)
            tasks.cancel_scope.cancel()

    async def _discard_body(self) -> None:
        while self._more_body:
            event = await self._receive()
            is_disconnect = event["type"] == "http.disconnect"
            self._more_body = not is_disconnect and event.get(
                "more_body", False
            )

    async def fail(self, failure: exchange.CallFailed) -> None:
        """Sends an error response to the caller."""
        is_not_run = failure.outcome == messages.Outcome.NOT_RUN
        outcome = "not_run" if is_not_run else "unknown"
        body = _error_body(failure, outcome)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            (b"rattangauge-outcome", outcome.replace("_", "-").encode()),
            (exchange.ALLOWANCE_HEADER, b"%d" % failure.allowance),
        ]
        if failure.retry_after_ms:
            seconds = -(-failure.retry_after_ms // 1000)
            headers.append((b"retry-after", b"%d" % seconds))
        await self.start(
            _HTTP_STATUS.get(failure.code, _DEFAULT_HTTP_STATUS), headers
        )
        await self.send_body(body, False)


def _deadline_ms(call: _HttpExchange, target: routes.Target) -> int:
    """Returns the time limit of a call, from its header or the policy.

    Raises:
        exchange.CallFailed: The header is not a number of milliseconds from 1
            to one day.
    """
    value = call.headers.get(DEADLINE_HEADER)
    if value is None:
        return target.policy.timeout_ms
    if not value.isdigit() or not 0 < int(value) <= 86_400_000:
        raise _bad_header(DEADLINE_HEADER, value)
    return int(value)


# Headers of the request that are not forwarded as they came.
_REPLACED_HEADERS = frozenset((DEADLINE_HEADER, CONTEXT_HEADER))


def _call_headers(
    call: _HttpExchange, scope: Any, context: Context
) -> tuple[messages.Header, ...]:
    """Returns the headers to forward, with the context of the next hop."""
    forwarded = [
        messages.Header(name, value)
        for name, value in scope["headers"]
        if name not in _REPLACED_HEADERS
    ]
    next_context = context._replace(depth=context.depth + 1)
    forwarded.append(
        messages.Header(CONTEXT_HEADER, format_context(next_context))
    )
    return tuple(forwarded)


def _text_header(call: _HttpExchange, name: bytes, default: str) -> str:
    """Returns the value of an ASCII header, or a default without it.

    Raises:
        exchange.CallFailed: The value is empty, longer than 200 bytes or not
            ASCII.
    """
    value = call.headers.get(name)
    if value is None:
        return default
    if not value or len(value) > 200 or not value.isascii():
        raise _bad_header(name, value)
    return value.decode()


async def _read_request(
    router: router_module.Router, call: _HttpExchange, scope: Any
) -> tuple[exchange.Request, routes.Target]:
    """Reads the start of an HTTP request and converts it to a call.

    Returns:
        The call and the target that matches it.

    Raises:
        exchange.CallFailed: No route matches, a header is not valid, the
            caller disconnected, or the deadline passed.
    """
    target = router.match(scope["method"], scope["path"])
    allowance = target.policy.retries
    context = Context(uuid.uuid4().hex, 0, allowance)
    if CONTEXT_HEADER in call.headers:
        context = parse_context(call.headers[CONTEXT_HEADER], allowance)
        context = context._replace(call_id=uuid.uuid4().hex)
    deadline_ms = _deadline_ms(call, target)
    started = anyio.current_time()
    try:
        with anyio.fail_after(deadline_ms / 1000):
            body = await call.receive_body_start()
    except TimeoutError as error:
        text = "the deadline passed before the request was whole"
        raise exchange.not_run(errorcodes.CALL_DEADLINE, text) from error
    opened = messages.CallOpen(
        call_id=context.call_id,
        service=target.service.name,
        method=scope["method"],
        target=call.target,
        headers=_call_headers(call, scope, context),
        deadline_ms=deadline_ms,
        tenant=_text_header(call, TENANT_HEADER, DEFAULT_TENANT),
        call_class=router.call_class(target, call.headers),
        priority=target.policy.priority,
        idempotent=routes.is_idempotent(target, scope["method"]),
        key=_text_header(call, KEY_HEADER, ""),
        depth=context.depth,
        allowance=context.allowance,
        version=router.version,
        body=body,
        last=call.body_received,
    )
    rest_of_body = None if call.body_received else call.receive_rest_of_body()
    deadline = started + deadline_ms / 1000
    return exchange.Request(opened, rest_of_body, deadline), target


async def _run_until_disconnect(
    router: router_module.Router,
    call: _HttpExchange,
    request: exchange.Request,
    target: routes.Target,
) -> None:
    """Runs a call and cancels it if the caller disconnects."""
    is_watched = False
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            await call.wait_disconnect()
            tasks.cancel_scope.cancel()

        def start_watch() -> None:
            nonlocal is_watched
            is_watched = True
            tasks.start_soon(watch)

        loop = asyncio.get_running_loop()
        timer = loop.call_later(DISCONNECT_WATCH_DELAY_S, start_watch)
        try:
            await router.run(request, target, call.respond)
        finally:
            timer.cancel()
        if is_watched:
            tasks.cancel_scope.cancel()


async def _answer_key_request(
    router: router_module.Router, issue: KeyIssuer, call: _HttpExchange
) -> None:
    """Answers ``POST /.rattangauge/keys`` with a new idempotency key.

    Raises:
        exchange.CallFailed: The request is not valid, no route matches it,
            or no upstream can be reached.
    """
    try:
        call_fields = json.loads(await call.receive_body_start())
        method, path = str(call_fields["method"]), str(call_fields["path"])
    except (ValueError, TypeError, KeyError) as error:
        text = f"the body is not {{method, path}}: {error!r}"
        raise exchange.not_run(errorcodes.CALL_BAD_HEADER, text) from error
    target = router.match(method.upper(), path.partition("?")[0])
    key = await issue(target)
    fields = {"key": keys.format_key(key), "instance": key.instance}
    body = json.dumps(fields).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
    ]
    await call.start(200, headers)
    await call.send_body(body, False)


def application(
    router: router_module.Router, issue: KeyIssuer | None = None
) -> Any:
    """Returns the ASGI application for callers.

    Args:
        router: Runs the calls.
        issue: Issues idempotency keys; None if the daemon issues none.
    """

    async def handle(scope: Any, receive: Any, send: Any) -> None:
        call = _HttpExchange(scope, receive, send)
        started = time.perf_counter()
        request = target = None
        outcome = "cancelled"
        try:
            if issue and (scope["method"], scope["path"]) == KEYS_ENDPOINT:
                await _answer_key_request(router, issue, call)
                outcome = "key issued"
                return
            request, target = await _read_request(router, call, scope)
            await _run_until_disconnect(router, call, request, target)
            outcome = "answered"
        except* exchange.CallFailed as group:
            failure = errors.first_error(group)
            outcome = failure.code
            if call.answered:
                # The HTTP server then breaks off the connection, which shows
                # the caller that the response is incomplete.
                raise
            await call.fail(failure)
        finally:
            elapsed = time.perf_counter() - started
            metrics.observe_call(request, target, outcome, elapsed)

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await util.serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await handle(scope, receive, send)

    return app
