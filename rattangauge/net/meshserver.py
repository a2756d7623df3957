"""Server for the mesh connections of other daemons."""

import socket
import time

import anyio
import loguru

from rattangauge import metrics
from rattangauge import settings as settings_module
from rattangauge import supervision
from rattangauge import util
from rattangauge.net import acceptor
from rattangauge.net import connection_monitor
from rattangauge.net import connections

# Time between two checks of the connections that end.
END_CHECK_PERIOD_S = 0.01
# Shortest time that other daemons have to receive the last bytes.
MIN_LINGER_S = 0.2
# Time that another daemon has to close a connection whose last bytes have left
# this process. It may be out of reach, which an idle connection does not show.
CLOSE_TIMEOUT_S = 1.0


class MeshServer:
    """Serves the connections that other daemons open."""

    def __init__(
        self,
        handler: connections.Handler,
        silence_s: float,
        record: supervision.Record = supervision.log_failure,
        record_sent: connection_monitor.RecordSent = metrics.observe_sent,
    ) -> None:
        """Creates a server; ``serve`` starts it.

        Args:
            handler: Called for each stream that another daemon opens.
            silence_s: Seconds without an expected byte after which a connection
                counts as lost.
            record: Records unexpected errors of the checks of connections.
            record_sent: Called with each message that is sent and its size in
                bytes.
        """
        self._handler = handler
        self._monitor = connection_monitor.ConnectionMonitor(
            silence_s, record, record_sent
        )
        self._acceptor = acceptor.Acceptor(self._make_connection)

    async def serve(self, listener: socket.socket) -> None:
        """Serves a listening socket until cancelled; closes it then."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._acceptor.run, listener)
                await self._monitor.run()
        finally:
            self._acceptor.close()

    def _make_connection(self) -> connections.Connection:
        return connections.Connection(self._monitor, self._handler)

    async def end(self, end_at: float) -> None:
        """Ends all connections so that the other daemons lose nothing.

        Each connection ends once the answers of its streams have been sent.
        Until then calls are still read, and the handler must refuse them.

        Args:
            end_at: Monotonic time in seconds at which streams are cut off.
        """
        await self._acceptor.stop()
        ending = self._monitor.connections
        began_at = time.monotonic()
        lost_by = max(end_at, began_at + MIN_LINGER_S)
        waits = dict.fromkeys(ending, began_at + CLOSE_TIMEOUT_S)
        while waits and (now := time.monotonic()) < lost_by:
            for connection in waits:
                if not connection.stream_count or now >= end_at:
                    connection.end()
                if connection.has_unsent:
                    waits[connection] = now + CLOSE_TIMEOUT_S
            await anyio.sleep(END_CHECK_PERIOD_S)
            waits = {
                connection: close_by
                for connection, close_by in waits.items()
                if not connection.is_lost and now < close_by
            }
        for connection in ending:
            if not connection.is_lost:
                loguru.logger.warning("another daemon did not close in time")
                connection.abort()


async def serve_socket(
    listener: socket.socket,
    handler: connections.Handler,
    silence_s: float,
    record: supervision.Record = supervision.log_failure,
) -> None:
    """Serves mesh connections on a listening socket until cancelled.

    Args:
        listener: The listening socket; the server closes it.
        handler: Called for each stream that another daemon opens.
        silence_s: Seconds without an expected byte after which a connection
            counts as lost.
        record: Records unexpected errors of the checks of connections.
    """
    await MeshServer(handler, silence_s, record).serve(listener)


def listen(settings: settings_module.Settings) -> socket.socket:
    """Returns a socket that listens on the configured address."""
    address = util.parse_address(settings.listen.mesh)
    return util.listen(address.host, address.port)


async def serve_mesh(
    handler: connections.Handler,
    settings: settings_module.Settings,
    record: supervision.Record = supervision.log_failure,
) -> None:
    """Serves mesh connections on the configured address until cancelled."""
    await serve_socket(
        listen(settings), handler, settings.mesh.silence_s, record
    )
