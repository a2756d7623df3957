"""HTTP client of the upstream of this daemon, and its announcement."""

from collections.abc import AsyncIterator
import json
from typing import Any
from typing import NamedTuple

import anyio
import httpcore

from rattangauge import errors
from rattangauge import util
from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.http import messages as http_messages
from rattangauge.http import parsing
from rattangauge.net import network_backend

# An upstream that refused a call without running it sends this header with
# this value.
OUTCOME_HEADER = b"rattangauge-outcome"
NOT_RUN = b"not-run"
# Request header with the time until the deadline of the call, in milliseconds.
DEADLINE_HEADER = b"rattangauge-deadline-ms"

# The client sets these headers itself or does not forward them.
_DROPPED_HEADERS = http_messages.HOP_BY_HOP_HEADERS | {
    b"content-length",
    b"host",
}

# httpcore raises these before it has sent any byte of the request, so the call
# did not run.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


class Announcement(NamedTuple):
    """Description of an upstream that it sends to its daemon.

    Attributes:
        service: Service that the upstream runs.
        address: Address of its HTTP port.
        slots: Calls that the upstream can run at a time.
        connections: Connections that the upstream accepts.
        state: Whether the upstream takes calls.
    """

    service: str
    address: util.Address
    slots: int
    connections: int
    state: messages.UpstreamState


_STATES_BY_NAME = {
    "starting": messages.UpstreamState.STARTING,
    "serving": messages.UpstreamState.SERVING,
    "draining": messages.UpstreamState.DRAINING,
}


def parse_announcement(data: bytes) -> Announcement:
    """Parses the JSON announcement of an upstream.

    Raises:
        errors.FindingsError: The announcement is not valid; one finding per
            field.
    """
    findings: list[errors.Finding] = []

    def report(field: str, message: str) -> None:
        code = errorcodes.UPSTREAM_ANNOUNCEMENT
        findings.append(errors.Finding("announcement", field, message, code))

    try:
        table: Any = json.loads(data)
    except ValueError as error:
        table = None
        report("", str(error))
    if isinstance(table, dict):
        return _build_announcement(table, report, findings)
    if not findings:
        report("", f"{table!r} is not an object")
    raise errors.FindingsError(findings)


def _build_announcement(
    table: dict[str, Any], report: Any, findings: list[errors.Finding]
) -> Announcement:
    service = table.get("service")
    if not isinstance(service, str) or not service:
        report("service", f"{service!r} is not the name of a service")
    for field in ("slots", "connections"):
        value = table.get(field)
        is_number = isinstance(value, int) and not isinstance(value, bool)
        if not is_number or value < 1:
            report(field, f"{value!r} is not a positive integer")
    state = _STATES_BY_NAME.get(str(table.get("state", "serving")))
    if state is None:
        known = ", ".join(_STATES_BY_NAME)
        report("state", f"{table['state']!r} is not one of {known}")
    try:
        address = util.parse_address(str(table.get("address")))
    except ValueError as error:
        report("address", str(error))
    if findings or state is None:
        raise errors.FindingsError(findings)
    return Announcement(
        table["service"], address, table["slots"], table["connections"], state
    )


async def _stream_body(request: exchange.Request) -> AsyncIterator[bytes]:
    yield request.open.body
    assert request.body is not None
    async for chunk in exchange.body_after_head(request.body):
        yield chunk


def _request_headers(
    request: exchange.Request, address: util.Address
) -> list[tuple[bytes, bytes]]:
    remaining_s = request.deadline - anyio.current_time()
    headers = [
        (b"host", str(address).encode()),
        (DEADLINE_HEADER, b"%d" % max(1, int(remaining_s * 1000))),
    ]
    length = None
    for header in request.open.headers:
        if header.name == b"content-length":
            length = header.value
        if header.name not in _DROPPED_HEADERS:
            headers.append((header.name, header.value))
    if request.open.last:
        length = b"%d" % len(request.open.body)
    if length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif request.open.body or request.open.method not in ("GET", "HEAD"):
        headers.append((b"content-length", length))
    return headers


def _response_headers(
    headers: list[tuple[bytes, bytes]],
) -> tuple[messages.Header, ...]:
    kept = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == b"content-length" or lowered not in _DROPPED_HEADERS:
            kept.append(messages.Header(lowered, value))
    return tuple(kept)


def _was_refused(response: httpcore.Response) -> bool:
    return any(
        name.lower() == OUTCOME_HEADER and value == NOT_RUN
        for name, value in response.headers
    )


class Client:
    """HTTP client with a connection pool for one upstream."""

    def __init__(self, announcement: Announcement) -> None:
        """Creates the client; it opens connections when calls need them."""
        self._address = announcement.address
        # Scheme, host and port of the upstream.
        self._origin = (
            b"http",
            announcement.address.host.encode(),
            announcement.address.port,
        )
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=announcement.connections,
            max_keepalive_connections=announcement.connections,
            keepalive_expiry=60.0,
            network_backend=network_backend.Backend(),
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def run(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Sends a call to the upstream and forwards its response.

        Raises:
            exchange.CallFailed: The upstream gave no complete response. The
                outcome is "not run" only if no byte was sent or the upstream
                refused the call, else unknown.
        """
        has_response = False

        async def mark_and_respond(response: exchange.Response) -> None:
            nonlocal has_response
            has_response = True
            await respond(response)

        remaining_s = request.deadline - anyio.current_time()
        try:
            with anyio.fail_after(remaining_s):
                await self._send_request(request, mark_and_respond)
        except _NOT_SENT_ERRORS as error:
            failure = exchange.not_run(errorcodes.CALL_NO_UPSTREAM, repr(error))
            failure.allowance = request.open.allowance
            raise failure from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            code = errorcodes.CALL_UPSTREAM_FAILED if has_response else ""
            raise exchange.unknown(repr(error), code) from error
        except TimeoutError as error:
            text = "the deadline passed while the call ran"
            raise exchange.unknown(text, errorcodes.CALL_DEADLINE) from error

    async def _send_request(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        call_open = request.open
        content: Any = call_open.body
        if not call_open.last:
            content = _stream_body(request)
        async with self._pool.stream(
            call_open.method,
            httpcore.URL(
                scheme=self._origin[0],
                host=self._origin[1],
                port=self._origin[2],
                target=call_open.target.encode(),
            ),
            headers=_request_headers(request, self._address),
            content=content,
        ) as response:
            _check_first_line(response)
            if _was_refused(response):
                text = "the upstream refused the call"
                failure = exchange.not_run(errorcodes.CALL_OVERLOADED, text)
                failure.allowance = _remaining_allowance(request, response)
                raise failure
            await self._forward_response(request, response, respond)

    async def _forward_response(
        self,
        request: exchange.Request,
        response: httpcore.Response,
        respond: exchange.Respond,
    ) -> None:
        chunks = response.aiter_stream()
        head = messages.AnswerOpen(
            call_id=request.open.call_id,
            status=response.status,
            headers=_response_headers(response.headers),
            allowance=_remaining_allowance(request, response),
        )
        length = _content_length(response)
        if length is not None and length <= util.SMALL_BODY_BYTES:
            body = b"".join([chunk async for chunk in chunks])
            head = head._replace(body=body, last=True)
            await respond(exchange.Response(head, None))
        else:
            await respond(exchange.Response(head, chunks))


def _check_first_line(response: httpcore.Response) -> None:
    """Checks the version and the status of a response.

    Raises:
        exchange.CallFailed: HTTP/1 does not have them.
    """
    version = response.extensions["http_version"]
    if not version.startswith(b"HTTP/1."):
        text = f"the version of the response is {version!r}"
        raise exchange.unknown(text, errorcodes.CALL_UPSTREAM_FAILED)
    if response.status not in parsing.FINAL_STATUS_CODES:
        text = f"the status of the response is {response.status}"
        raise exchange.unknown(text, errorcodes.CALL_UPSTREAM_FAILED)


def _remaining_allowance(
    request: exchange.Request, response: httpcore.Response
) -> int:
    """Returns the retries that are left after those of the upstream.

    The upstream reports what it and the calls that it made have left.
    """
    for name, value in response.headers:
        if name.lower() == exchange.ALLOWANCE_HEADER and value.isdigit():
            return min(request.open.allowance, int(value))
    return request.open.allowance


def _content_length(response: httpcore.Response) -> int | None:
    for name, value in response.headers:
        if name.lower() == b"content-length" and value.isdigit():
            return int(value)
    return None
