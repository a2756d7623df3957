"""Helpers for tests of the connections between daemons.

A scripted daemon sends exactly the messages that a test tells it to send.
"""

import contextlib

import anyio
from anyio.streams import buffered

from rattangauge import receivememory
from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.calls import exchange
from rattangauge.generated import messages
from rattangauge.generated import settings as generated
from rattangauge.net import connection_pool
from rattangauge.net import frames
from rattangauge.net import meshserver

# Memory of messages that no test fills.
MEMORY = receivememory.ReceiveMemory()


def settings(**mesh):
    """Returns the settings of a daemon that listens on loopback."""
    fields = {"silence_s": 0.4, **mesh}
    return settings_module.Settings(
        instance=generated.Instance("a", "zone-1", "sk-west"),
        listen=generated.Listen(
            callers="127.0.0.1:0", mesh="127.0.0.1:0", operators="127.0.0.1:0"
        ),
        mesh=generated.Mesh(**fields),
        platform=generated.Platform("http://127.0.0.1:1"),
        calls=generated.Calls(),
        shutdown=generated.Shutdown(),
        log=generated.Log(),
        rollout=generated.Rollout(),
    )


class Peer:
    """Remote end of one connection; it sends and receives single frames."""

    def __init__(self, stream):
        """Creates the end for the byte stream of a connection."""
        self._stream = stream
        self._reader = buffered.BufferedByteReceiveStream(stream)

    async def send(self, number, message):
        """Sends one frame."""
        await self._stream.send(frames.pack(number, message))

    async def send_bytes(self, data):
        """Sends bytes, which may be a malformed frame."""
        await self._stream.send(data)

    async def receive(self, *kinds):
        """Returns the next frame with a message of the given types.

        Pings that arrive before it are answered, other messages are discarded.
        Returns ``(None, None)`` if the connection ends.
        """
        while (frame := await frames.read(self._reader)) is not None:
            number, message = frame
            if isinstance(message, messages.LinkPing):
                await self.send(0, messages.LinkPong(message.sequence))
            elif not kinds or isinstance(message, kinds):
                return number, message
        return None, None

    async def close(self):
        """Closes the connection."""
        await self._stream.aclose()


@contextlib.asynccontextmanager
async def scripted(script):
    """Runs ``script(peer)`` for each connection; yields the address."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

    async def serve(stream):
        with contextlib.suppress(anyio.BrokenResourceError):
            await script(Peer(stream))
            # The connection stays open without data, as after a network
            # partition.
            await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
    await listener.aclose()


@contextlib.asynccontextmanager
async def serving(handler, silence_s=2.0):
    """Serves mesh connections with a handler; yields the port."""
    listener = util.listen("127.0.0.1")
    port = listener.getsockname()[1]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(meshserver.serve_socket, listener, handler, silence_s)
        yield port
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def pool(**mesh):
    """Yields the pool of outgoing connections of a daemon."""
    async with anyio.create_task_group() as tasks:
        yield connection_pool.Links(settings(**mesh), tasks)
        tasks.cancel_scope.cancel()


def request(call_id="c1", timeout_s=10.0, body=None, **fields):
    """Returns a call with a deadline."""
    opened = messages.CallOpen(
        call_id=call_id,
        service="skladby",
        method="POST",
        target="/skladby",
        deadline_ms=int(timeout_s * 1000),
        last=body is None,
        **fields,
    )
    return exchange.Request(opened, body, anyio.current_time() + timeout_s)


class Answers:
    """Collects response bodies by call.

    Attributes:
        bodies: Part of each body that was received so far.
        whole: The bodies that are complete.
    """

    def __init__(self):
        """Creates an empty collection."""
        self.bodies = {}
        self.whole = {}

    def respond(self, call_id):
        """Returns a callback that receives the response to a call."""

        async def respond(response):
            assert response.open.call_id == call_id
            self.bodies[call_id] = response.open.body
            if response.body is not None:
                async for piece in response.body:
                    self.bodies[call_id] += piece
            self.whole[call_id] = self.bodies[call_id]

        return respond
