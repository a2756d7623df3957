"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        start: First line without its end.
        headers: Headers with names in lower case.
        body: Body.
    """

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start.split()[1])


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with a length or in chunks; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        return Message(start, headers, await _read_chunks(reader))
    length = int(headers.get("content-length", "0"))
    return Message(start, headers, await reader.readexactly(length))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int(await reader.readline(), 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a message, with the length of its body."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Starts a server; the handler returns a response, or None to close."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                response = await _until_closed(handler(request, writer), reader)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port)


async def _until_closed(
    work: Awaitable[bytes | None], reader: asyncio.StreamReader
) -> bytes | None:
    """Runs a handler until it ends or its caller closes the connection."""
    task = asyncio.ensure_future(work)
    try:
        while not task.done():
            await asyncio.wait([task], timeout=0.02)
            if reader.at_eof():
                return None
        return task.result()
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task


async def call(
    host: str,
    port: int,
    start: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Sends a request on a new connection.

    Returns:
        The response; None if the connection fails or ends without one.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(encode(start, headers, body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
