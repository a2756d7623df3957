"""Wires the parts of the daemon beside one upstream together."""

from collections.abc import Callable
import signal
import time

import anyio
import anyio.abc
import loguru
import prometheus_client

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.generated import messages
from rattangauge.http import messages as http_messages
from rattangauge.http import server as server_module
from rattangauge.membership import heartbeats
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool
from rattangauge.net import forward
from rattangauge.net import meshserver
from rattangauge.sidecar import configsync
from rattangauge.sidecar import dispatch as dispatch_module
from rattangauge.sidecar import headernames
from rattangauge.sidecar import localupstream
from rattangauge.sidecar import peerexchange
from rattangauge.sidecar import stores

# After the signal to stop, callers need this time to turn to other daemons.
# Then requests are refused, so that none is cut off at the end.
ANNOUNCE_S = 2.5
STOP_CHECK_S = 0.05

Told = heartbeats.Heartbeat | heartbeats.Departure

# Reads a request of the upstream.
ReadHeartbeat = Callable[[http_messages.Request], Told]
# Reads the settings again.
Reload = Callable[[], None]


class Node:
    """One daemon beside one upstream."""

    def __init__(
        self,
        settings: settings_module.Settings,
        header_names: headernames.HeaderNames,
        store: stores.Store,
        read_heartbeat: ReadHeartbeat,
        log: decisionlog.DecisionLog,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the parts of a daemon; ``run`` starts them."""
        self._settings = settings
        self._read_heartbeat = read_heartbeat
        self._links = connection_pool.Links(settings, tasks)
        self._peers = peers_module.PeerTable(_own_record(settings))
        self._local_upstream = localupstream.LocalUpstream(header_names, log)
        self._dispatcher = dispatch_module.Dispatcher(
            settings,
            header_names,
            self._links,
            self._peers,
            self._local_upstream,
            log,
        )
        self._config_sync = configsync.ConfigSync(
            store, self._peers, self._links, self._dispatcher.use, log
        )
        self._peer_exchange = peerexchange.PeerExchange(
            settings,
            store,
            self._peers,
            self._links,
            self._local_upstream,
            self._config_sync,
            log,
        )
        self._callers = server_module.Server(
            self._dispatcher.handle, lambda: self._dispatcher.limits
        )
        self._stopping = anyio.Event()

    async def run(self) -> None:
        """Runs the daemon until ``stop`` is called and its calls have ended."""
        listen = self._settings.listen
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                meshserver.serve_mesh, self._handle, self._settings
            )
            _serve(tasks, listen.callers, self._callers)
            _serve(tasks, listen.ready, self._server(self._ready))
            _serve(tasks, listen.control, self._server(self._control))
            _serve(tasks, listen.operators, self._server(_metrics))
            tasks.start_soon(self._config_sync.run)
            tasks.start_soon(self._peer_exchange.run)
            loguru.logger.info("the daemon listens")
            await self._stopping.wait()
            await self._finish()
            tasks.cancel_scope.cancel()
        loguru.logger.info("the daemon ends")

    def _server(self, handler: server_module.Handler) -> server_module.Server:
        return server_module.Server(handler)

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        self._stopping.set()

    async def _finish(self) -> None:
        """Lets callers turn away, then waits for what still runs."""
        self._local_upstream.stop()
        self._callers.close_connections()
        await self._peer_exchange.leave()
        began = time.monotonic()
        limit_s = self._settings.shutdown.limit_s
        while (elapsed_s := time.monotonic() - began) < limit_s:
            if elapsed_s >= ANNOUNCE_S:
                self._dispatcher.stop()
            is_idle = (
                not self._callers.busy and not self._local_upstream.running
            )
            if is_idle and elapsed_s >= ANNOUNCE_S:
                return
            await anyio.sleep(STOP_CHECK_S)
        loguru.logger.warning(
            "{} connections and {} calls are cut off",
            self._callers.busy,
            self._local_upstream.running,
        )

    async def _handle(
        self, stream: connection_pool.Stream, message: messages.Message
    ) -> None:
        if isinstance(message, messages.CallOpen):
            await forward.serve(stream, message, self._local_upstream.run)
        elif isinstance(message, messages.PeerNews):
            await self._peer_exchange.answer(stream, message)
        elif isinstance(message, messages.EditionRequest):
            await self._config_sync.serve(stream, message)

    async def _ready(
        self, _request: http_messages.Request
    ) -> http_messages.Response:
        is_ready = self._config_sync.version and not self._stopping.is_set()
        return http_messages.Response(200 if is_ready else 503)

    async def _control(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Takes a heartbeat of the upstream, or word that it is gone."""
        try:
            told = self._read_heartbeat(request)
        except errors.FindingsError as error:
            loguru.logger.warning("a heartbeat is not valid: {}", error)
            return http_messages.Response(400, (), str(error).encode())
        if isinstance(told, heartbeats.Heartbeat):
            is_news = await self._local_upstream.take_heartbeat(told)
        else:
            is_news = await self._local_upstream.take_departure(told)
        if is_news:
            self._peer_exchange.refresh()
        headers = ((b"content-type", b"application/json"),)
        return http_messages.Response(200, headers, b"{}")


async def _metrics(_request: http_messages.Request) -> http_messages.Response:
    body = prometheus_client.generate_latest()
    content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
    return http_messages.Response(200, ((b"content-type", content_type),), body)


def _own_record(settings: settings_module.Settings) -> messages.Member:
    return messages.Member(
        instance=settings.instance.name,
        zone=settings.instance.zone,
        region=settings.instance.region,
        mesh=settings.listen.advertise or settings.listen.mesh,
        service=settings.instance.service,
        incarnation=util.now_ms(),
    )


def _serve(
    tasks: anyio.abc.TaskGroup, address: str, server: server_module.Server
) -> None:
    """Listens on an address; an empty one is left out."""
    if not address:
        return
    listener = util.listen(*util.parse_address(address))
    tasks.start_soon(server.serve, listener)


async def _follow_signals(node: Node, reload: Reload) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                reload()
                continue
            loguru.logger.info(
                "shutting down on {}", signal.Signals(number).name
            )
            node.stop()


async def run(
    settings: settings_module.Settings,
    header_names: headernames.HeaderNames,
    store: stores.Store,
    read_heartbeat: ReadHeartbeat,
    log: decisionlog.DecisionLog,
    reload: Reload,
) -> None:
    """Runs a daemon until it is told to stop by a signal.

    Args:
        settings: Settings of the daemon.
        header_names: Names of the HTTP headers of the platform.
        store: The platform's store.
        read_heartbeat: Reads a request of the upstream to the control address.
        log: Log of decisions.
        reload: Reads the settings again, at SIGHUP.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(log.run)
        node = Node(settings, header_names, store, read_heartbeat, log, tasks)
        tasks.start_soon(_follow_signals, node, reload)
        await node.run()
        tasks.cancel_scope.cancel()
    log.flush()
