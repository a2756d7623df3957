"""Converts calls to HTTP requests, and responses of the upstream to answers."""

from collections.abc import AsyncIterator
import time

import anyio

from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.http import messages as http_messages
from rattangauge.sidecar import headernames

# Largest body whose size was not announced.
MAX_UNANNOUNCED_BYTES = 1024 * 1024
# Status of a response of another upstream that has got the address.
WRONG_INSTANCE_STATUS = 421


def make_request(
    header_names: headernames.HeaderNames,
    instance: str,
    request: exchange.Request,
) -> http_messages.Request:
    """Returns the HTTP request for a call.

    Args:
        header_names: Names of the HTTP headers of the platform.
        instance: Identity of the upstream that must run the call.
        request: The call with its whole body.
    """
    call_open = request.open
    remaining_ms = int((request.deadline - time.monotonic()) * 1000)
    headers = [
        *((header.name, header.value) for header in call_open.headers),
        (header_names.deadline_ms, b"%d" % max(1, remaining_ms)),
        (header_names.expected_instance, instance.encode()),
    ]
    if call_open.body or call_open.method not in ("GET", "HEAD"):
        headers.append((b"content-length", b"%d" % len(call_open.body)))
    return http_messages.Request(
        call_open.method, call_open.target, tuple(headers), call_open.body
    )


def is_refusal(
    header_names: headernames.HeaderNames, response: http_messages.Response
) -> bool:
    """Tells whether a response says that the upstream did not run the call."""
    if response.status == WRONG_INSTANCE_STATUS:
        return True
    return bool(response.header(header_names.not_run))


def is_leaving(
    header_names: headernames.HeaderNames, response: http_messages.Response
) -> bool:
    """Tells whether a response says that the upstream is about to end.

    A response of another upstream that has got the address says nothing.
    """
    if response.status == WRONG_INSTANCE_STATUS:
        return False
    return response.header(header_names.is_leaving) == b"1"


def make_answer(
    header_names: headernames.HeaderNames,
    request: exchange.Request,
    response: http_messages.Response,
) -> messages.AnswerOpen:
    """Returns the answer to a call that the upstream has run.

    Raises:
        exchange.CallFailed: A successful response has no proof that the
            upstream ran the call.
    """
    is_success = 200 <= response.status < 300
    if is_success and not response.header(header_names.execution_proof):
        text = "the response of the upstream does not prove that it ran"
        raise exchange.unknown(text, errorcodes.CALL_UPSTREAM_FAILED)
    headers = http_messages.end_to_end(response.headers)
    return messages.AnswerOpen(
        call_id=request.open.call_id,
        status=response.status,
        headers=tuple(messages.Header(*header) for header in headers),
        body=response.body,
        last=True,
    )


async def receive_body(request: exchange.Request) -> exchange.Request:
    """Receives the rest of a call's body and returns the call with it.

    The body is only requested once the call has a slot, so that a refused call
    costs no transfer between daemons.

    Raises:
        exchange.CallFailed: The body was not received completely, or is longer
            than announced. The call did not run.
    """
    if request.body is None:
        return request
    remaining_s = max(0.0, request.deadline - time.monotonic())
    try:
        with anyio.fail_after(remaining_s):
            body = await _join(request.body, request.open.body_bytes)
    except TimeoutError as error:
        text = "the deadline passed before the whole body came"
        raise exchange.not_run(errorcodes.CALL_DEADLINE, text) from error
    except exchange.CallFailed as failure:
        raise exchange.not_run(failure.code, failure.message) from failure
    call_open = request.open._replace(body=body, last=True)
    return request._replace(open=call_open, body=None)


async def _join(pieces: AsyncIterator[bytes], size: int) -> bytes:
    """Joins the pieces of a body.

    Args:
        pieces: The pieces.
        size: Announced size of the body, in bytes; 0 if unknown.

    Raises:
        exchange.CallFailed: They are longer than announced.
    """
    limit_bytes = size or MAX_UNANNOUNCED_BYTES
    body = bytearray()
    async for piece in pieces:
        body += piece
        if len(body) > limit_bytes:
            text = f"the body is longer than {limit_bytes} bytes"
            raise exchange.not_run(errorcodes.CALL_BODY_LIMIT, text)
    return bytes(body)
