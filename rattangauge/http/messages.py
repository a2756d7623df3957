"""Whole HTTP requests and responses."""

from collections.abc import Iterable
import http
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
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
    """A request with its whole body.

    Attributes:
        method: Method.
        target: Path and query.
        headers: Headers with names in lower case.
        body: Body.
        received_at: Time at which its headers were complete, in seconds.
        keeps_alive: Whether the caller keeps the connection.
        is_first: Whether it is the first one of its connection.
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
    """A response with its whole body.

    Attributes:
        status: Status code.
        headers: Headers with names in lower case.
        body: Body.
        keeps_alive: Whether the upstream keeps the connection.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    keeps_alive: bool = True

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header; empty if there is none."""
        return find(self.headers, name)


def find(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Returns the first value of a header; empty if there is none.

    >>> find(((b"a", b"1"), (b"a", b"2")), b"a")
    b'1'
    """
    for key, value in headers:
        if key == name:
            return value
    return b""


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that do not concern one connection only.

    >>> end_to_end(((b"connection", b"x"), (b"x", b"1"), (b"y", b"2")))
    ((b'y', b'2'),)
    """
    dropped = HOP_HEADERS
    named = find(headers, b"connection")
    if named:
        names = {name.strip().lower() for name in named.split(b",")}
        dropped = dropped | names
    return tuple(header for header in headers if header[0] not in dropped)


_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def encode_request(request: Request) -> bytes:
    r"""Encodes a request; its headers must hold the length of its body.

    >>> encode_request(Request("GET", "/a", ((b"host", b"b"),), b""))
    b'GET /a HTTP/1.1\r\nhost: b\r\n\r\n'
    """
    first = f"{request.method} {request.target} HTTP/1.1".encode("latin-1")
    return _encode(first, request.headers) + request.body


def encode_response(response: Response) -> bytes:
    r"""Encodes a response; its headers must hold the length of its body.

    >>> encode_response(Response(204))
    b'HTTP/1.1 204 No Content\r\n\r\n'
    """
    reason = _REASONS.get(response.status, b"")
    first = b"HTTP/1.1 %d %s" % (response.status, reason)
    return _encode(first, response.headers) + response.body


def _encode(first: bytes, headers: Headers) -> bytes:
    lines = [b"%s: %s" % header for header in headers]
    return b"\r\n".join((first, *lines, b"", b""))
