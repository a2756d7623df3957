"""HTTP requests and responses with complete bodies, and their encoding."""

from collections.abc import Iterable
import http
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class Request(NamedTuple):
    """A request with its complete body.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
        body: Body.
        received_at: Time at which the headers were complete, on the clock of
            ``time.monotonic``, in seconds.
        keeps_alive: Whether the connection stays open after the request.
        is_first: Whether the request is the first one of its connection.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float = 0.0
    keeps_alive: bool = True
    is_first: bool = False

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header; empty if there is none."""
        return find(self.headers, name)


class Response(NamedTuple):
    """A response with its complete body.

    Attributes:
        status: Status code.
        headers: Headers with names in lower case.
        body: Body.
        keeps_alive: Whether the connection stays open after the response.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    keeps_alive: bool = True

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header; empty if there is none."""
        return find(self.headers, name)


def find(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Returns the first value of a header; empty if it is missing.

    >>> find(((b"a", b"1"), (b"a", b"2")), b"a")
    b'1'
    """
    for key, value in headers:
        if key == name:
            return value
    return b""


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers without those of a single connection.

    These are the hop-by-hop headers and those that ``connection`` lists.

    >>> end_to_end(((b"connection", b"x"), (b"x", b"1"), (b"y", b"2")))
    ((b'y', b'2'),)
    """
    dropped = HOP_BY_HOP_HEADERS
    connection_options = find(headers, b"connection")
    if connection_options:
        names = {
            name.strip().lower() for name in connection_options.split(b",")
        }
        dropped = dropped | names
    return tuple(header for header in headers if header[0] not in dropped)


_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def encode_request(request: Request) -> bytes:
    r"""Encodes a request; its headers must give the length of the body.

    >>> encode_request(Request("GET", "/a", ((b"host", b"b"),), b""))
    b'GET /a HTTP/1.1\r\nhost: b\r\n\r\n'
    """
    first_line = f"{request.method} {request.target} HTTP/1.1".encode("latin-1")
    return _encode(first_line, request.headers) + request.body


def encode_response(response: Response) -> bytes:
    r"""Encodes a response; its headers must give the length of the body.

    >>> encode_response(Response(204))
    b'HTTP/1.1 204 No Content\r\n\r\n'
    """
    reason = _REASONS.get(response.status, b"")
    first_line = b"HTTP/1.1 %d %s" % (response.status, reason)
    return _encode(first_line, response.headers) + response.body


def _encode(first_line: bytes, headers: Headers) -> bytes:
    lines = [b"%s: %s" % header for header in headers]
    return b"\r\n".join((first_line, *lines, b"", b""))
