"""A connection of a caller, which may send requests ahead of answers."""

import collections
import contextlib

import anyio
import anyio.abc
import h11

from standins import caller

# Errors of a connection that ends.
ENDED = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Connection:
    """An open connection; answers come in the order of the requests."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        """Creates a caller's side of an open connection."""
        self._stream = stream
        self._waiting: collections.deque[h11.Connection] = collections.deque()
        self._rest = b""

    async def send(
        self,
        method: str,
        target: str,
        fields: list[tuple[str, str]],
        body: bytes = b"",
    ) -> None:
        """Sends a request; a body gets its length.

        Raises:
            OSError, anyio.BrokenResourceError: The connection has ended.
        """
        parser = h11.Connection(h11.CLIENT)
        fields = [*fields, ("content-length", str(len(body)))]
        data = parser.send(
            h11.Request(method=method, target=target, headers=fields)
        )
        data += parser.send(h11.Data(data=body)) or b""
        self._waiting.append(parser)
        await self._stream.send(data + parser.send(h11.EndOfMessage()))

    async def receive(self) -> caller.Answer:
        """Returns the answer to the first request that has none yet.

        Raises:
            OSError, anyio.EndOfStream, anyio.BrokenResourceError: The
                connection ended before the answer was whole.
            h11.RemoteProtocolError: The bytes are no answer.
        """
        parser = self._waiting.popleft()
        parser.receive_data(self._rest or await self._stream.receive())
        head, pieces, is_at_end = None, [], False
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                if is_at_end:
                    raise anyio.EndOfStream from error
                raise
            if event is h11.NEED_DATA:
                try:
                    parser.receive_data(await self._stream.receive())
                except anyio.EndOfStream:
                    is_at_end = True
                    parser.receive_data(b"")
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
            elif not isinstance(event, h11.InformationalResponse):
                break
        self._rest = parser.trailing_data[0]
        if head is None:
            raise anyio.EndOfStream
        return caller.Answer(
            head.status_code, dict(head.headers), b"".join(pieces)
        )

    async def idle(self, duration_s: float) -> bytes | None:
        """Waits while no request waits for an answer.

        Returns:
            Bytes that came without a request; None if the connection ended.
        """
        if self._rest:
            return self._rest
        with anyio.move_on_after(duration_s):
            try:
                return await self._stream.receive()
            except ENDED:
                return None
        return b""

    async def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(*ENDED):
            await self._stream.aclose()


async def connect(host: str, port: int) -> Connection:
    """Opens a connection.

    Raises:
        OSError: Nothing accepts connections there.
    """
    return Connection(await anyio.connect_tcp(host, port))
