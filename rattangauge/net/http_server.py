"""HTTP server for the ASGI applications of the daemon."""

import asyncio
from collections.abc import Callable
from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config

from rattangauge import settings as settings_module

# hypercorn closes a connection after this many requests; the value is too large
# to be reached.
REQUESTS_PER_CONNECTION = 1_000_000_000


def close_connections(app: Any, is_closing: Callable[[], bool]) -> Any:
    """Returns an application that closes connections during a shutdown.

    Its responses then carry ``connection: close``, so that callers connect to
    another daemon before this one closes its idle connections.

    Args:
        app: ASGI application.
        is_closing: Returns whether responses should close their connections.
    """

    async def wrapper(scope: Any, receive: Any, send: Any) -> None:
        async def send_closing(event: Any) -> None:
            if event["type"] == "http.response.start" and is_closing():
                headers = [*event.get("headers", []), (b"connection", b"close")]
                event = {**event, "headers": headers}
            await send(event)

        await app(scope, receive, send_closing)

    return wrapper


def _ignore_cancelled(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Ignores ``CancelledError`` and passes other errors to the default.

    The streams of asyncio ask a cancelled connection task for its exception,
    which raises ``CancelledError`` in their callback.
    """
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def serve_http(
    app: Any,
    address: str,
    settings: settings_module.Settings,
    stop: anyio.Event,
) -> None:
    """Serves an ASGI application until stopped.

    Args:
        app: ASGI application.
        address: Address to listen on.
        settings: Settings of the daemon, with the limits and timeouts.
        stop: Set to stop; open requests then have ``shutdown.limit_s``.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.keep_alive_max_requests = REQUESTS_PER_CONNECTION
    config.keep_alive_timeout = 60
    config.h11_max_incomplete_size = settings.listen.max_header_bytes
    config.graceful_timeout = settings.shutdown.limit_s
    config.shutdown_timeout = settings.shutdown.limit_s
    config.loglevel = "ERROR"
    config.accesslog = None
    config.include_date_header = False
    config.include_server_header = False

    async def serve() -> None:
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop.wait)

    asyncio.get_running_loop().set_exception_handler(_ignore_cancelled)
    # hypercorn cancels the task in which it runs, so it gets its own task.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
