"""A network link of an instance with a low rate, made of TCP relays.

All connections to and from the instance share the link. Only the bytes towards
the instance are slowed down. Each connection may have one window of bytes on
its way; these wait for the link in the order in which they were sent.
"""

import contextlib

import anyio
import anyio.abc

from rattangauge import util

# Bytes of one connection that may wait for the link.
WINDOW_BYTES = 65_536

_BROKEN = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class SlowLink:
    """The link of one instance."""

    def __init__(
        self, tasks: anyio.abc.TaskGroup, bytes_per_s: float, host: str
    ) -> None:
        """Creates a link.

        Args:
            tasks: Task group that runs the relays.
            bytes_per_s: Rate of the link.
            host: IP address on which the relays listen.
        """
        self._tasks = tasks
        self._bytes_per_s = bytes_per_s
        self._host = host
        self._queue = anyio.Lock()
        # Addresses of the relays, by target.
        self._relays: dict[str, str] = {}

    async def to_instance(self, target: str) -> str:
        """Returns the address at which others reach one of the instance."""
        return await self._relay(target, is_to_instance=True)

    async def from_instance(self, target: str) -> str:
        """Returns the address at which the instance reaches another one."""
        return await self._relay(target, is_to_instance=False)

    async def _relay(self, target: str, is_to_instance: bool) -> str:
        if target not in self._relays:
            listener = await anyio.create_tcp_listener(local_host=self._host)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            self._relays[target] = f"{self._host}:{port}"

            async def serve(opener: anyio.abc.SocketStream) -> None:
                await self._pass_both(opener, target, is_to_instance)

            self._tasks.start_soon(listener.serve, serve)
        return self._relays[target]

    async def _pass_both(
        self,
        opener: anyio.abc.SocketStream,
        target: str,
        is_to_instance: bool,
    ) -> None:
        """Passes the bytes of one connection until either side ends it."""
        with contextlib.suppress(*_BROKEN):
            host, port = util.parse_address(target)
            async with opener, await anyio.connect_tcp(host, port) as onward:
                async with anyio.create_task_group() as tasks:
                    scope = tasks.cancel_scope
                    tasks.start_soon(
                        self._pass, opener, onward, is_to_instance, scope
                    )
                    tasks.start_soon(
                        self._pass, onward, opener, not is_to_instance, scope
                    )

    async def _pass(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        is_slow: bool,
        scope: anyio.CancelScope,
    ) -> None:
        with contextlib.suppress(*_BROKEN):
            while True:
                piece = await source.receive(WINDOW_BYTES)
                if is_slow:
                    async with self._queue:
                        await anyio.sleep(len(piece) / self._bytes_per_s)
                await sink.send(piece)
        scope.cancel()
