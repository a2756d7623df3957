"""HTTP API for operators and for the announcements of the upstream."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple

import prometheus_client

from rattangauge import errors
from rattangauge import util

MAX_REQUEST_BYTES = 65_536

JSON_TYPE = "application/json"


class Reply(NamedTuple):
    """Response to a request on the operator API."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE


# Called with the query parameters and the body of a request.
Endpoint = Callable[[dict[str, str], bytes], Awaitable[Reply]]


def json_reply(value: Any, status: int = 200) -> Reply:
    """Returns a reply with a value as JSON body."""
    return Reply(status, json.dumps(value).encode())


def findings_reply(error: errors.FindingsError) -> Reply:
    """Returns the reply to an invalid request, with one item per finding."""
    findings = [finding._asdict() for finding in error.findings]
    return json_reply({"findings": findings}, 400)


async def metrics_endpoint(_query: dict[str, str], _body: bytes) -> Reply:
    """Returns all metrics in the Prometheus text format."""
    return Reply(
        200,
        prometheus_client.generate_latest(),
        prometheus_client.CONTENT_TYPE_LATEST,
    )


async def _read_body(receive: Any) -> bytes | None:
    body = b""
    more = True
    while more:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        body += event.get("body", b"")
        more = event.get("more_body", False)
        if len(body) > MAX_REQUEST_BYTES:
            return None
    return body


async def _handle_request(
    endpoints: dict[tuple[str, str], Endpoint], scope: Any, receive: Any
) -> Reply:
    endpoint = endpoints.get((scope["method"], scope["path"]))
    if endpoint is None:
        return json_reply({"message": f"no page {scope['path']}"}, 404)
    body = await _read_body(receive)
    if body is None:
        return json_reply({"message": "the body is too large"}, 413)
    query = util.parse_query(scope["query_string"])
    try:
        return await endpoint(query, body)
    except errors.FindingsError as error:
        return findings_reply(error)
    except errors.CodedError as error:
        return json_reply({"code": error.code, "message": str(error)}, 400)


def application(endpoints: dict[tuple[str, str], Endpoint]) -> Any:
    """Returns the ASGI application of the operator API.

    Args:
        endpoints: Endpoint for each pair of method and path.
    """

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await util.serve_lifespan(receive, send)
            return
        reply = await _handle_request(endpoints, scope, receive)
        await util.send_reply(
            send, reply.status, reply.content_type, reply.body
        )

    return app
