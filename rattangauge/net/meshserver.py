"""Listening socket for other daemons."""

import asyncio
import socket

from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.net import connections


async def serve_socket(
    listener: socket.socket, handler: connections.Handler, silence_s: float
) -> None:
    """Serves other daemons on a listening socket until cancelled."""
    owner = connections.Connections(silence_s)
    server = await asyncio.get_running_loop().create_server(
        lambda: connections.Connection(owner, handler),
        sock=listener,
        backlog=util.LISTEN_BACKLOG,
    )
    try:
        await owner.run()
    finally:
        server.close()


async def serve_mesh(
    handler: connections.Handler, settings: settings_module.Settings
) -> None:
    """Serves other daemons until cancelled."""
    address = util.parse_address(settings.listen.mesh)
    listener = util.listen(address.host, address.port)
    await serve_socket(listener, handler, settings.mesh.silence_s)
