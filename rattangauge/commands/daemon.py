"""The commands ``explain`` and ``drain``, which call one daemon.

They use the HTTP port of the daemon for operators.
"""

import datetime
from typing import Any

import httpx

from rattangauge import errors
from rattangauge import util
from rattangauge.commands import output
from rattangauge.generated import errorcodes


def _refused_error(response: httpx.Response, address: str) -> errors.CodedError:
    text = f"the daemon answered {response.status_code}"
    try:
        body = response.json()
        detail = body.get("message") or body.get("findings")
    except (ValueError, AttributeError):
        detail = None
    if detail:
        text = f"{text}: {detail}"
    return errors.CodedError(errorcodes.OPERATORS_REFUSED, text, address)


async def request(
    method: str,
    address: str,
    path: str,
    timeout_s: float,
    query: dict[str, str] | None = None,
) -> dict[str, Any]:
    """Sends a request to a daemon's operators' port.

    Args:
        method: HTTP method.
        address: ``IP:PORT`` of the operators' port.
        path: Path of the endpoint.
        timeout_s: Time to wait for the answer, in seconds.
        query: Parameters of the query string.

    Returns:
        The JSON object of the response.

    Raises:
        errors.CodedError: ``operators.request``, ``operators.unreachable`` or
            ``operators.refused``.
    """
    try:
        url = f"http://{util.parse_address(address)}{path}"
    except ValueError as error:
        text = f"--daemon: {error}"
        raise errors.CodedError(errorcodes.OPERATORS_REQUEST, text) from error
    try:
        async with httpx.AsyncClient(timeout=timeout_s) as client:
            response = await client.request(method, url, params=query)
    except httpx.HTTPError as error:
        code = errorcodes.OPERATORS_UNREACHABLE
        raise errors.CodedError(code, repr(error), address) from error
    if not response.is_success:
        raise _refused_error(response, address)
    try:
        table = response.json()
    except ValueError:
        table = None
    if not isinstance(table, dict):
        text = "the answer is no JSON table"
        raise errors.CodedError(errorcodes.OPERATORS_REFUSED, text, address)
    return table


def _format_event(event: dict[str, Any]) -> str:
    moment = datetime.datetime.fromtimestamp(
        event["time_ms"] / 1000, datetime.UTC
    )
    code = f" [{event['code']}]" if event.get("code") else ""
    if event["reason"].endswith(code):
        # The reason of a finding already ends with its code.
        code = ""
    time = moment.isoformat(timespec="milliseconds")
    subject = event["subject"]
    return f"{time} {subject}: {event['action']}: {event['reason']}{code}"


async def explain(
    address: str, subject: str, timeout_s: float, as_json: bool
) -> int:
    """Prints what a daemon decided about a subject, and why."""
    query = {"subject": subject}
    table = await request("GET", address, "/explain", timeout_s, query)
    if as_json:
        output.print_json(table)
        return output.EXIT_OK
    try:
        lines = [_format_event(event) for event in table["events"]]
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        text = f"the answer has no valid events: {error!r}"
        code = errorcodes.OPERATORS_REFUSED
        raise errors.CodedError(code, text, address) from error
    print("\n".join(lines) or f"{address} remembers no events about {subject}")
    return output.EXIT_OK


async def drain(address: str, timeout_s: float, as_json: bool) -> int:
    """Starts the graceful shutdown of a daemon."""
    table = await request("POST", address, "/drain", timeout_s)
    if as_json:
        output.print_json(table)
    else:
        print(f"{address} drains and exits when its calls have finished")
    return output.EXIT_OK
