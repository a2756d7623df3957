"""HTTP from callers, as an ASGI application."""

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
MAX_DEPTH = 64

# Most calls end sooner. A task that watches the caller costs more than it
# saves for them.
WATCH_AFTER_S = 0.02

# A caller that stops inside its body would hold a daemon that shuts down.
BODY_IDLE_S = 5.0

_STATUS = {
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
_DEFAULT_STATUS = 503

# Issues an idempotency key for calls of a target.
Issue = Callable[[routes.Target], Awaitable[keys.IssuedKey]]


class Context(NamedTuple):
    """What travels with a call over all its hops.

    Attributes:
        call_id: Identity of the call.
        depth: Hops from the first caller.
        allowance: Retries that are left over all hops.
    """

    call_id: str
    depth: int
    allowance: int


def format_context(context: Context) -> bytes:
    """Formats the header that an upstream passes on.

    >>> format_context(Context("c1", 2, 1))
    b'c1;2;1'
    """
    return f"{context.call_id};{context.depth};{context.allowance}".encode()


def _bad_header(name: bytes, value: bytes) -> exchange.CallFailed:
    text = f"{name.decode()}: {value!r} is not valid"
    return exchange.not_run(errorcodes.CALL_BAD_HEADER, text)


def parse_context(value: bytes, allowance: int) -> Context:
    """Parses the context header of a call from an upstream.

    Raises:
        exchange.CallFailed: The header is not valid.

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


class _Call:
    """One HTTP request on its way through the daemon."""

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
        """Whether the head of an answer was sent."""
        return self._answered

    @property
    def body_received(self) -> bool:
        """Whether the whole request body was received."""
        return not self._more_body

    @property
    def target(self) -> str:
        """Path and query of the request."""
        path = self._scope["raw_path"].decode("latin-1")
        query = self._scope["query_string"].decode("latin-1")
        return f"{path}?{query}" if query else path

    async def first_body(self) -> bytes:
        """Receives the body as far as it fits the first message."""
        pieces: list[bytes] = []
        size = 0
        while self._more_body and size <= util.SMALL_BODY_BYTES // 2:
            piece = await self._receive_piece()
            pieces.append(piece)
            size += len(piece)
        return b"".join(pieces)

    async def rest_of_body(self) -> AsyncIterator[bytes]:
        """Yields the pieces of the body after the first ones."""
        while self._more_body:
            yield await self._receive_piece()

    async def _receive_piece(self) -> bytes:
        """Receives a piece of the body.

        Raises:
            exchange.CallFailed: The caller left, or sends nothing more.
        """
        try:
            with anyio.fail_after(BODY_IDLE_S):
                event = await self._receive()
        except TimeoutError as error:
            text = f"no byte of the body came within {BODY_IDLE_S} s"
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
        """Waits until the caller has gone after its whole request."""
        await self._body_ended.wait()
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def respond(self, response: exchange.Response) -> None:
        """Sends an answer to the caller."""
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
        """Sends the head of an answer."""
        self._answered = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def send_body(self, body: bytes, more: bool) -> None:
        """Sends a piece of the body of an answer."""
        event = {"type": "http.response.body", "body": body, "more_body": more}
        if more or self.body_received:
            await self._send(event)
            return
        # The HTTP server ends an answer only when its queue of pieces of the
        # request has room, so what nobody reads any more is read here.
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._discard_body)
            await self._send(event)
            tasks.cancel_scope.cancel()

    async def _discard_body(self) -> None:
        while self._more_body:
            event = await self._receive()
            is_last = event["type"] == "http.disconnect"
            self._more_body = not is_last and event.get("more_body", False)

    async def fail(self, failure: exchange.CallFailed) -> None:
        """Sends a failure to the caller."""
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
        await self.start(_STATUS.get(failure.code, _DEFAULT_STATUS), headers)
        await self.send_body(body, False)


def _deadline_ms(call: _Call, target: routes.Target) -> int:
    value = call.headers.get(DEADLINE_HEADER)
    if value is None:
        return target.policy.timeout_ms
    if not value.isdigit() or not 0 < int(value) <= 86_400_000:
        raise _bad_header(DEADLINE_HEADER, value)
    return int(value)


_OWN_HEADERS = frozenset((DEADLINE_HEADER, CONTEXT_HEADER))


def _call_headers(
    call: _Call, scope: Any, context: Context
) -> tuple[messages.Header, ...]:
    kept = [
        messages.Header(name, value)
        for name, value in scope["headers"]
        if name not in _OWN_HEADERS
    ]
    passed_on = context._replace(depth=context.depth + 1)
    kept.append(messages.Header(CONTEXT_HEADER, format_context(passed_on)))
    return tuple(kept)


def _text_header(call: _Call, name: bytes, default: str) -> str:
    value = call.headers.get(name)
    if value is None:
        return default
    if not value or len(value) > 200 or not value.isascii():
        raise _bad_header(name, value)
    return value.decode()


async def _request(
    router: router_module.Router, call: _Call, scope: Any
) -> tuple[exchange.Request, routes.Target]:
    """Turns an HTTP request into a call.

    Raises:
        exchange.CallFailed: The request cannot be served.
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
            body = await call.first_body()
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
    rest = None if call.body_received else call.rest_of_body()
    deadline = started + deadline_ms / 1000
    return exchange.Request(opened, rest, deadline), target


async def _run(
    router: router_module.Router,
    call: _Call,
    request: exchange.Request,
    target: routes.Target,
) -> None:
    """Runs a call and stops it when the caller goes away."""
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
        timer = loop.call_later(WATCH_AFTER_S, start_watch)
        try:
            await router.run(request, target, call.respond)
        finally:
            timer.cancel()
        if is_watched:
            tasks.cancel_scope.cancel()


async def _answer_key_request(
    router: router_module.Router, issue: Issue, call: _Call
) -> None:
    """Answers ``POST /.rattangauge/keys`` with a new idempotency key.

    Raises:
        exchange.CallFailed: The request is not valid or there is no upstream.
    """
    try:
        wanted = json.loads(await call.first_body())
        method, path = str(wanted["method"]), str(wanted["path"])
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
    router: router_module.Router, issue: Issue | None = None
) -> Any:
    """Returns the ASGI application for callers.

    Args:
        router: Runs the calls.
        issue: Issues idempotency keys.
    """

    async def handle(scope: Any, receive: Any, send: Any) -> None:
        call = _Call(scope, receive, send)
        started = time.perf_counter()
        request = target = None
        outcome = "cancelled"
        try:
            if issue and (scope["method"], scope["path"]) == KEYS_ENDPOINT:
                await _answer_key_request(router, issue, call)
                outcome = "key issued"
                return
            request, target = await _request(router, call, scope)
            await _run(router, call, request, target)
            outcome = "answered"
        except* exchange.CallFailed as group:
            failure = errors.first_error(group)
            outcome = failure.code
            if call.answered:
                # The caller must see that the answer is not whole.
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
