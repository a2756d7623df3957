"""Addresses, sockets, clocks and ASGI replies for several modules."""

from collections.abc import Iterable
import fcntl
import hashlib
import ipaddress
import select
import socket
import sys
import termios
import time
from typing import Any
from typing import NamedTuple
import urllib.parse

# A body up to this size is sent in the first message of a call or an answer.
SMALL_BODY_BYTES = 65_536
# Largest port number.
MAX_PORT = 65_535
# New connections that the kernel queues until a daemon accepts them.
LISTEN_BACKLOG = 1024


class Address(NamedTuple):
    """An IP address and a port number."""

    host: str
    port: int

    def __str__(self) -> str:
        """Formats the address as ``IP:PORT``."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT``; host names are not accepted.

    Raises:
        ValueError: The text is not such an address.

    >>> parse_address("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    """
    host, separator, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not separator or not is_number or int(port) > MAX_PORT:
        raise ValueError(f"{text!r} is not IP:PORT")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    return Address(host, int(port))


def parse_remote_address(text: str) -> Address:
    """Parses the ``IP:PORT`` of another process, whose port is not 0.

    Raises:
        ValueError: The text is not such an address, or it names a network
            interface, which only means something on the other machine.
    """
    address = parse_address(text)
    if "%" in address.host:
        raise ValueError(f"{text!r} names a network interface")
    if not address.port:
        raise ValueError(f"{text!r} has port 0, at which nothing can be called")
    return address


def _address_error(error: OSError, host: str, port: int) -> OSError:
    """Returns an error with the address at which it came."""
    text = f"{error.strerror} (address {host}, port {port})"
    return OSError(error.errno, text)


def bind(host: str, port: int = 0) -> socket.socket:
    """Opens a non-blocking socket that has an address and does not listen.

    Args:
        host: IP address.
        port: Port; 0 chooses a free one.

    Raises:
        OSError: A socket listens at the address, or it does not belong to this
            host.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            bound.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        raise _address_error(error, host, port) from error
    bound.setblocking(False)
    return bound


def listen(host: str, port: int = 0) -> socket.socket:
    """Opens a non-blocking listening socket; port 0 chooses a free port.

    Raises:
        OSError: The address is in use or does not belong to this host.
    """
    listener = bind(host, port)
    try:
        start_listening(listener)
    except OSError:
        listener.close()
        raise
    return listener


def start_listening(bound: socket.socket) -> None:
    """Makes a socket from ``bind`` accept connections.

    Raises:
        OSError: Another socket listens at the address.
    """
    try:
        bound.listen(LISTEN_BACKLOG)
    except OSError as error:
        host, port = bound.getsockname()[:2]
        raise _address_error(error, host, port) from error


def has_unread(descriptors: Iterable[int]) -> bool:
    """Tells whether bytes, or an end, have arrived that were not read yet.

    Args:
        descriptors: File descriptors of sockets; negative ones are closed.
    """
    poll = select.poll()
    for descriptor in descriptors:
        if descriptor >= 0:
            poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def unconfirmed_bytes(descriptor: int) -> int:
    """Returns the sent bytes that the other side of a TCP socket lacks.

    Args:
        descriptor: File descriptor of the socket; negative if it is closed.
    """
    if descriptor < 0:
        return 0
    result = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(result, sys.byteorder)


def now_ms() -> int:
    """Returns the wall-clock time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000


def rendezvous_rank(key: str, name: str) -> int:
    """Returns the rank of a name for a key in rendezvous hashing.

    Callers choose the names with the highest ranks.

    >>> rendezvous_rank("a", "b") == rendezvous_rank("a", "b")
    True
    """
    data = f"{key}\0{name}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Acknowledges the lifespan events of ASGI; no work is needed."""
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def send_reply(
    send: Any, status: int, content_type: str, body: bytes
) -> None:
    """Sends a complete HTTP response of an ASGI application."""
    headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", b"%d" % len(body)),
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


def parse_query(query: bytes) -> dict[str, str]:
    """Parses a query string; the last of several values of a name is used.

    >>> parse_query(b"a=1&b=2")
    {'a': '1', 'b': '2'}
    """
    return dict(urllib.parse.parse_qsl(query.decode("latin-1")))
