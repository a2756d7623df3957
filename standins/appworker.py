"""A stand-in for an upstream of the users' platform."""

from collections.abc import Awaitable
from collections.abc import Callable
import socket

import anyio
import anyio.abc

from rattangauge import util
from rattangauge.http import messages
from rattangauge.http import server as server_module

SEAL = (b"server-seal", b"stand-in")

Behaviour = Callable[[messages.Request], Awaitable[messages.Response]]


def sealed(
    request: messages.Request, body: bytes = b"served", status: int = 200
) -> messages.Response:
    """Returns the response of an upstream that ran a request."""
    identity = (b"request-id", request.header(b"request-id"))
    return messages.Response(status, (identity, SEAL), body)


def not_run(request: messages.Request, status: int = 503) -> messages.Response:
    """Returns the response of an upstream that did not run a request."""
    identity = (b"request-id", request.header(b"request-id"))
    return messages.Response(status, (identity, (b"not-executed", b"1")))


class _Server(server_module.Server):
    """Closes the connection of a request whose handler raises an error."""

    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the response to a request, or loses its connection."""
        try:
            return await super().handle(request)
        except Exception:
            for connection in list(self._connections):
                if any(run.request is request for run in connection._running):
                    connection.close("the stand-in loses the answer")
            raise


class AppWorker:
    """Runs requests and remembers them.

    Attributes:
        arrived: Requests in the order of their arrival.
        running: Requests that run now.
        peak: Most requests that ran at a time.
        cancelled: Requests whose connection ended while they ran.
        behaviour: What it does with a request; an error loses the answer.
    """

    def __init__(self, work_s: float = 0.0) -> None:
        """Creates an upstream whose requests take a time."""
        self.arrived: list[messages.Request] = []
        self.running = 0
        self.peak = 0
        self.cancelled = 0
        self.address = ""
        self._scope = anyio.CancelScope()
        self._work_s = work_s
        self.behaviour: Behaviour = self._work

    async def _work(self, request: messages.Request) -> messages.Response:
        await anyio.sleep(self._work_s)
        return sealed(request)

    async def _handle(self, request: messages.Request) -> messages.Response:
        self.arrived.append(request)
        self.running += 1
        self.peak = max(self.peak, self.running)
        is_whole = False
        try:
            response = await self.behaviour(request)
            is_whole = True
            return response
        finally:
            self.running -= 1
            self.cancelled += not is_whole

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to serve at its address, by default at a free port."""
        host, port = util.parse_address(self.address or "127.0.0.1:0")
        listener = util.listen(host, port)
        self.address = f"{host}:{listener.getsockname()[1]}"
        self._scope = anyio.CancelScope()
        tasks.start_soon(self._serve, listener, self._scope)

    async def _serve(
        self, listener: socket.socket, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await _Server(self._handle).serve(listener)

    def stop(self) -> None:
        """Closes the port and all connections, as a process that ends."""
        self._scope.cancel()
