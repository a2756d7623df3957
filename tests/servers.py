"""HTTP servers for tests."""

import contextlib

import anyio

from rattangauge import util
from rattangauge.http import limits as limits_module
from rattangauge.http import server as server_module


@contextlib.asynccontextmanager
async def serving(handler, limits=limits_module.Limits, memory=None, cuts=None):
    """Yields a server and its port on 127.0.0.1.

    Args:
        handler: Answers the requests.
        limits: Returns the limits in force.
        memory: Memory of the server; by default a share of the machine's.
        cuts: List that gets the connections that are cut; logged by default.
    """
    record = server_module._log_cut if cuts is None else cuts.append
    server = server_module.Server(handler, limits, memory, record)
    listener = util.listen("127.0.0.1")
    port = listener.getsockname()[1]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, listener)
        yield server, port
        tasks.cancel_scope.cancel()
