"""HTTP servers of the daemon."""

import asyncio
from collections.abc import Callable
from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config

from rattangauge import settings as settings_module

# hypercorn closes a connection after this many requests.
REQUESTS_PER_CONNECTION = 1_000_000_000


def close_connections(app: Any, closing: Callable[[], bool]) -> Any:
    """Returns an application whose answers end their connections in time.

    Callers then open connections to another daemon before this one closes
    those that are idle.

    Args:
        app: ASGI application.
        closing: Tells whether connections should end.
    """

    async def wrapped(scope: Any, receive: Any, send: Any) -> None:
        async def send_closing(event: Any) -> None:
            if event["type"] == "http.response.start" and closing():
                headers = [*event.get("headers", []), (b"connection", b"close")]
                event = {**event, "headers": headers}
            await send(event)

        await app(scope, receive, send_closing)

    return wrapped


def _ignore_cancelled(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Reports errors of callbacks, except that a connection was cancelled.

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
    """Serves an ASGI application until told to stop, then drains it."""
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
    # hypercorn cancels the task that it runs in, so it needs one of its own.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
