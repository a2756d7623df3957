"""HTTP/1.1 server that handles requests with complete bodies.

hypercorn is not used for two reasons: the request of a caller that disconnects
must be cancelled at once, and a request may cost only a fraction of a
millisecond, since the daemon shares the machine with an upstream.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import socket
import time

import anyio
import loguru

from rattangauge import receivememory
from rattangauge import util
from rattangauge.http import callerconnection
from rattangauge.http import limits as limits_module
from rattangauge.http import messages
from rattangauge.http import owner
from rattangauge.net import acceptor

# Connections that linger at a time; beyond it the earliest are closed.
MAX_LINGERING = 256
# Time between two checks whether a server that ends may close its connections.
END_CHECK_PERIOD_S = 0.01
# Time for which a server that ends reads an idle connection after its own end
# of it. A request that crosses this gets no answer, as HTTP/1.1 has no means
# against it.
CROSSING_S = 0.05

Cut = owner.Cut
Limits = limits_module.Limits

# Returns the response to a request; cancelled if the caller disconnects.
Handler = Callable[[messages.Request], Awaitable[messages.Response]]
# Records a connection that was cut.
RecordCut = Callable[[Cut], None]


def _log_cut(cut: Cut) -> None:
    loguru.logger.warning("connection cut: {}", cut)


class Server:
    """Serves callers at one address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = Limits,
        memory: receivememory.ReceiveMemory | None = None,
        record_cut: RecordCut = _log_cut,
    ) -> None:
        """Creates a server.

        Args:
            handler: Returns the response to a request. It is cancelled if the
                caller disconnects.
            limits: Returns the limits in force.
            memory: Memory of all messages that have been received in part; one
                of its own by default.
            record_cut: Records each connection that is closed while its caller
                waits for responses.
        """
        self._handler = handler
        self._limits = limits
        self._is_closing = False
        self._connections: set[callerconnection.Connection] = set()
        # Those that linger, in the order in which they began to.
        self._lingering: dict[callerconnection.Connection, None] = {}
        self._memory = memory or receivememory.ReceiveMemory()
        self._record_cut = record_cut
        self._acceptor = acceptor.Acceptor(
            lambda: callerconnection.Connection(self)
        )

    @property
    def limits(self) -> Limits:
        """Limits in force."""
        return self._limits()

    @property
    def memory(self) -> receivememory.ReceiveMemory:
        """Memory of all messages that have been received in part."""
        return self._memory

    @property
    def is_closing(self) -> bool:
        """Whether each connection is closed once its requests have ended."""
        return self._is_closing

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request without its whole answer.

        Bytes of an answer that wait for the caller to read them count as well.
        """
        return sum(1 for c in self._connections if c.is_busy)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that wait for callers to read them."""
        return sum(c.unsent_bytes for c in self._connections)

    def record_cut(self, cut: Cut) -> None:
        """Records a connection that was closed while its caller waited."""
        self._record_cut(cut)

    def close_connections(self) -> None:
        """Starts to close each connection once its requests have ended.

        Requests that run are answered; none is started behind them.
        """
        self._is_closing = True

    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the response to a request."""
        return await self._handler(request)

    async def serve(self, listener: socket.socket) -> None:
        """Serves connections until cancelled.

        Args:
            listener: A socket from ``util.listen``; it is closed at the end.
        """
        try:
            await self._acceptor.run(listener)
            await anyio.sleep_forever()
        finally:
            self._acceptor.close()
            for connection in list(self._connections):
                connection.close("the server ends")

    async def end(self, end_at: float) -> None:
        """Closes the listener, answers what was sent and closes the rest.

        Args:
            end_at: Time at which it returns at the latest, on the clock of
                ``time.monotonic``, in seconds.
        """
        self.close_connections()
        await self._acceptor.stop()
        await self._wait_until(self._is_idle, end_at)
        for connection in list(self._connections):
            connection.close_idle(CROSSING_S)
        await self._wait_until(lambda: not self._connections, end_at)

    async def _wait_until(
        self, condition: Callable[[], bool], end_at: float
    ) -> None:
        while not condition() and time.monotonic() < end_at:
            await anyio.sleep(END_CHECK_PERIOD_S)

    def _is_idle(self) -> bool:
        """Tells whether no request is expected or without its answer."""
        if any(c.is_busy or c.is_new for c in self._connections):
            return False
        return not util.has_unread(
            c.descriptor for c in self._connections if not c.is_ending
        )

    def bound_unread(self) -> None:
        """Cuts connections if callers leave too many bytes unread.

        The responses that callers have not read may take as much memory as
        messages that have been received in part; beyond it, connections are
        cut. Those come first of which nothing was read for the longest time.
        """
        now = time.monotonic()
        unread = {c: c.unread_bytes for c in self._connections}
        for connection in unread:
            connection.record_progress(now)
        limit = self._memory.limit_bytes
        excess = sum(unread.values()) - limit
        while excess > 0:
            connection = min(unread, key=lambda c: _rank(c, unread[c]))
            excess -= unread.pop(connection)
            self.discard(connection)
            connection.abort(
                f"responses that nobody reads exceed {limit} bytes"
            )

    def add(self, connection: callerconnection.Connection) -> None:
        """Adds a new connection."""
        self._connections.add(connection)

    def add_lingering(self, connection: callerconnection.Connection) -> None:
        """Adds a connection that lingers; the earliest may have to end."""
        self._lingering[connection] = None
        if len(self._lingering) > MAX_LINGERING:
            earliest = next(iter(self._lingering))
            del self._lingering[earliest]
            earliest.end_linger()

    def discard(self, connection: callerconnection.Connection) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)
        self._lingering.pop(connection, None)


def _rank(
    connection: callerconnection.Connection, unread_bytes: int
) -> tuple[bool, float, int]:
    """Ranks connections by what their callers leave unread.

    Those with few bytes come last, as their end frees little.
    """
    is_small = unread_bytes <= callerconnection.SEND_BUFFER_BYTES
    return is_small, connection.progress_at, -unread_bytes
