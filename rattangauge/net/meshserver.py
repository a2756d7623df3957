"""Listening socket for other daemons."""

import anyio
import anyio.abc
import loguru

from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.net import links as links_module


async def serve_mesh(
    handler: links_module.Handler, settings: settings_module.Settings
) -> None:
    """Serves other daemons until cancelled."""
    address = util.parse_address(settings.listen.mesh)

    async def serve_one(byte_stream: anyio.abc.SocketStream) -> None:
        connection = links_module.Connection(
            byte_stream, settings.mesh.silence_s, handler
        )
        try:
            await connection.run()
        except OSError as error:
            loguru.logger.warning("a mesh connection failed: {}", error)

    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port
    )
    async with listener:
        await listener.serve(serve_one)
