"""Runs an ASGI application of a stand-in until SIGTERM."""

import signal
from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config


async def serve(app: Any, address: str, graceful_s: float = 5.0) -> None:
    """Serves an application on an address until SIGTERM or SIGINT."""
    stop = anyio.Event()
    config = hypercorn.config.Config()
    config.bind = [address]
    config.keep_alive_max_requests = 1_000_000_000
    config.keep_alive_timeout = 300
    config.graceful_timeout = graceful_s
    config.shutdown_timeout = graceful_s
    config.loglevel = "ERROR"
    config.accesslog = None

    async def stop_on_signal() -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                stop.set()
                return

    async def serve_http() -> None:
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop.wait)
        tasks.cancel_scope.cancel()

    # hypercorn cancels the task that it runs in, so it needs one of its own.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stop_on_signal)
        tasks.start_soon(serve_http)


async def read_body(receive: Any) -> bytes:
    """Receives the whole body of a request."""
    body = b""
    more = True
    while more:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise ConnectionResetError("the client went away")
        body += event.get("body", b"")
        more = event.get("more_body", False)
    return body


async def wait_disconnect(receive: Any) -> None:
    """Waits until the client has gone."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def lose_answer(send: Any) -> None:
    """Breaks the connection before the answer is whole.

    An exception alone would be answered with status 500.

    Raises:
        ConnectionResetError: Always; the server then closes the connection.
    """
    headers = [(b"content-length", b"1")]
    start = {"type": "http.response.start", "status": 200}
    await send({**start, "headers": headers})
    raise ConnectionResetError("the answer is lost on purpose")
