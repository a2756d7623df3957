"""Helpers that several modules share."""

import hashlib
import ipaddress
import socket
import time
from typing import Any
from typing import NamedTuple
import urllib.parse

# Bodies up to this size travel in the first message of a call or an answer.
SMALL_BODY_BYTES = 65_536
# New connections that wait for a daemon to take them.
LISTEN_BACKLOG = 1024


class Address(NamedTuple):
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Formats the address as ``IP:PORT``."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT`` with an IP number.

    Raises:
        ValueError: The text is not such an address.

    >>> parse_address("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{text!r} is not IP:PORT")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    return Address(host, int(port))


def listen(host: str, port: int = 0) -> socket.socket:
    """Returns a listening socket; port 0 takes a free one.

    Raises:
        OSError: The address is in use.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server(
        (host, port), family=family, backlog=LISTEN_BACKLOG
    )
    listener.setblocking(False)
    return listener


def now_ms() -> int:
    """Returns the wall-clock time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000


def rendezvous_rank(key: str, name: str) -> int:
    """Returns the rank of a name for a key; the highest rank is chosen.

    >>> rendezvous_rank("a", "b") == rendezvous_rank("a", "b")
    True
    """
    data = f"{key}\0{name}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Answers the lifespan events of ASGI, which need no work here."""
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def send_reply(
    send: Any, status: int, content_type: str, body: bytes
) -> None:
    """Sends a whole HTTP answer of an ASGI application."""
    headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", b"%d" % len(body)),
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


def parse_query(query: bytes) -> dict[str, str]:
    """Parses a query string; the last value of a name counts.

    >>> parse_query(b"a=1&b=2")
    {'a': '1', 'b': '2'}
    """
    return dict(urllib.parse.parse_qsl(query.decode("latin-1")))
