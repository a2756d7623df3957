"""Server for the mesh connections of other daemons."""

import asyncio
import socket

from rattangauge import settings as settings_module
from rattangauge import supervision
from rattangauge import util
from rattangauge.net import connection_monitor
from rattangauge.net import connections


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
    monitor = connection_monitor.ConnectionMonitor(silence_s, record)
    server = await asyncio.get_running_loop().create_server(
        lambda: connections.Connection(monitor, handler),
        sock=listener,
        backlog=util.LISTEN_BACKLOG,
    )
    try:
        await monitor.run()
    finally:
        server.close()


async def serve_mesh(
    handler: connections.Handler,
    settings: settings_module.Settings,
    record: supervision.Record = supervision.log_failure,
) -> None:
    """Serves mesh connections on the configured address until cancelled."""
    address = util.parse_address(settings.listen.mesh)
    listener = util.listen(address.host, address.port)
    await serve_socket(listener, handler, settings.mesh.silence_s, record)
