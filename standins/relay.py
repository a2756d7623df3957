"""TCP relay between availability zones that cuts, holds and delays connections.

It listens at the mesh addresses that daemons advertise and passes bytes to the
real ones. The zone of a connection's source follows from the peer's loopback
address 127.0.ZONE.N, unless the route fixes it, as the routes to the platform
do. Faults are set for each pair of source and destination zone; a connection
belongs to the pair of the side that opened it.

- ``POST /routes`` with ``{"listen", "target", "destination", "source"}`` adds a
  route; ``source`` may be left out.
- ``POST /control`` with ``{"source", "destination", "mode", "delay_s"}`` sets
  the fault of a pair (see ``Mode``).
- ``GET /counters`` returns connections and bytes for each pair.
"""

import collections
from collections.abc import Callable
import contextlib
import enum
import json
import socket
import struct
import sys
from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc

from rattangauge import util
from standins import serving

# Zone number of the platform, which belongs to no availability zone.
PLATFORM_ZONE = 0

# A zero linger time makes the kernel reset the connection on close.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_BROKEN = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Mode(enum.Enum):
    """What the relay does with the connections of a pair of zones."""

    PASS = "pass"
    # Resets open connections and every new one.
    CUT = "cut"
    # Keeps all connections open and passes nothing until the mode changes;
    # what was held back then arrives late.
    BLACK_HOLE = "black_hole"
    # Never again passes a byte on connections open now; new ones work.
    FREEZE_OPEN = "freeze_open"
    # Passes what the opener of a connection sends; the rest arrives late.
    ONE_WAY = "one_way"


class Route(NamedTuple):
    """One listening address of the relay.

    Attributes:
        listen: Address at which the relay listens.
        target: Address to which it connects.
        destination: Zone of the target.
        source: Zone of all peers; None to derive it from their address.
    """

    listen: str
    target: str
    destination: int
    source: int | None = None


def zone_of(host: str) -> int:
    """Returns the zone of a loopback address 127.0.ZONE.N.

    >>> zone_of("127.0.3.9")
    3
    """
    return int(host.split(".")[2])


class Pair:
    """Fault and connections of one pair of source and destination zone."""

    def __init__(self) -> None:
        """Creates a pair without a fault."""
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._changed = anyio.Event()
        self._open: set[Relayed] = set()
        self.counters: collections.Counter[str] = collections.Counter()

    @property
    def mode(self) -> Mode:
        """Mode in force for new connections."""
        return self._mode

    def set_fault(self, mode: Mode, delay_s: float) -> None:
        """Sets the fault and applies it to the open connections."""
        self._mode = mode
        self._delay_s = delay_s
        for relayed in list(self._open):
            if mode is Mode.CUT:
                relayed.reset()
            elif mode is Mode.FREEZE_OPEN:
                relayed.frozen = True
        self._changed.set()
        self._changed = anyio.Event()

    async def hold(self, relayed: "Relayed", is_back: bool = False) -> None:
        """Waits until a piece of a connection may pass.

        Args:
            relayed: The connection.
            is_back: Whether the piece goes to the opener of the connection.
        """
        while (
            relayed.frozen
            or self._mode is Mode.BLACK_HOLE
            or (is_back and self._mode is Mode.ONE_WAY)
        ):
            await self._changed.wait()
        if self._delay_s > 0:
            await anyio.sleep(self._delay_s)

    @contextlib.contextmanager
    def registered(self, relayed: "Relayed") -> Any:
        """Lets faults reach a connection while the block runs."""
        self._open.add(relayed)
        self.counters["connections"] += 1
        try:
            yield
        finally:
            self._open.discard(relayed)


class Relayed:
    """One connection of a peer and its onward connection."""

    def __init__(self, peer: anyio.abc.SocketStream, pair: Pair) -> None:
        """Creates the pair of connections; ``run`` passes their bytes."""
        self._peer = peer
        self._pair = pair
        self._scope = anyio.CancelScope()
        self.frozen = False

    def reset(self) -> None:
        """Resets both connections."""
        self._scope.cancel()

    async def run(self, target: str) -> None:
        """Passes bytes both ways until one side ends."""
        with self._pair.registered(self), self._scope:
            with contextlib.suppress(*_BROKEN):
                await self._pair.hold(self)
                host, port = util.parse_address(target)
                onward = await anyio.connect_tcp(host, port)
                await self._pass_both(onward)
        await _close_with_reset(self._peer)

    async def _pass_both(self, onward: anyio.abc.SocketStream) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, self._peer, onward, tasks, False)
                tasks.start_soon(self._pump, onward, self._peer, tasks, True)
        finally:
            await _close_with_reset(onward)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        tasks: anyio.abc.TaskGroup,
        is_back: bool,
    ) -> None:
        try:
            while True:
                piece = await source.receive()
                await self._pair.hold(self, is_back)
                await sink.send(piece)
                self._pair.counters["bytes"] += len(piece)
        except anyio.EndOfStream:
            with contextlib.suppress(*_BROKEN):
                await self._pair.hold(self, is_back)
                await sink.send_eof()
        except _BROKEN:
            tasks.cancel_scope.cancel()


async def _close_with_reset(stream: anyio.abc.SocketStream) -> None:
    with contextlib.suppress(*_BROKEN):
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    await anyio.aclose_forcefully(stream)


class Relay:
    """All routes and pairs of the relay."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        zone_of_peer: Callable[[str], int] = zone_of,
    ) -> None:
        """Creates a relay.

        Args:
            tasks: Task group that serves the routes.
            zone_of_peer: Returns the zone of a peer's address.
        """
        self._tasks = tasks
        self._zone_of_peer = zone_of_peer
        self._pairs: dict[tuple[int, int], Pair] = {}

    def pair(self, source: int, destination: int) -> Pair:
        """Returns the pair of two zones."""
        return self._pairs.setdefault((source, destination), Pair())

    async def add(self, route: Route) -> None:
        """Listens on a route."""
        host, port = util.parse_address(route.listen)
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )

        async def serve(peer: anyio.abc.SocketStream) -> None:
            source = route.source
            if source is None:
                address = peer.extra(anyio.abc.SocketAttribute.remote_address)
                source = self._zone_of_peer(address[0])
            pair = self.pair(source, route.destination)
            if pair.mode is Mode.CUT:
                pair.counters["refused"] += 1
                await _close_with_reset(peer)
            else:
                await Relayed(peer, pair).run(route.target)

        self._tasks.start_soon(listener.serve, serve)

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        """The ASGI application of the control address."""
        if scope["type"] == "lifespan":
            await util.serve_lifespan(receive, send)
            return
        body = await serving.read_body(receive)
        if scope["path"] == "/routes":
            await self.add(Route(**json.loads(body)))
        elif scope["path"] == "/control":
            self._control(json.loads(body))
        reply = json.dumps(self._counters()).encode()
        await util.send_reply(send, 200, "application/json", reply)

    def _control(self, fault: dict[str, Any]) -> None:
        pair = self.pair(fault["source"], fault["destination"])
        mode = Mode(fault.get("mode", "pass"))
        pair.set_fault(mode, float(fault.get("delay_s", 0.0)))

    def _counters(self) -> dict[str, dict[str, int]]:
        return {
            f"{source}-{destination}": dict(pair.counters)
            for (source, destination), pair in self._pairs.items()
        }


async def serve(address: str) -> None:
    """Serves the control address until SIGTERM."""
    async with anyio.create_task_group() as tasks:
        await serving.serve(Relay(tasks).app, address)
        tasks.cancel_scope.cancel()


def main() -> None:
    """Serves the control address given as the only argument."""
    anyio.run(serve, sys.argv[1])


if __name__ == "__main__":
    main()
