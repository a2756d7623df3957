"""Whole HTTP requests and responses."""

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
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float = 0.0

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header; empty if there is none."""
        return find(self.headers, name)


class Response(NamedTuple):
    """A response with its whole body.

    Attributes:
        status: Status code.
        headers: Headers with names in lower case.
        body: Body.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header; empty if there is none."""
        return find(self.headers, name)


def find(headers: Headers, name: bytes) -> bytes:
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
