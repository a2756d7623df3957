"""Creates and runs the daemon of one instance."""

from collections.abc import Callable
import socket
import time

import anyio
import anyio.abc
import loguru
import prometheus_client

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge import metrics
from rattangauge import process_signals
from rattangauge import receivememory
from rattangauge import settings as settings_module
from rattangauge import supervision
from rattangauge import util
from rattangauge.calls import shutdown as shutdown_module
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.http import messages as http_messages
from rattangauge.http import server as server_module
from rattangauge.membership import heartbeats
from rattangauge.membership import ownmember
from rattangauge.membership import peers as peers_module
from rattangauge.membership import zone_loads
from rattangauge.net import connection_pool
from rattangauge.net import forwardedcall
from rattangauge.net import listeners as listeners_module
from rattangauge.net import meshserver
from rattangauge.sidecar import configsync
from rattangauge.sidecar import dispatch as dispatch_module
from rattangauge.sidecar import headernames
from rattangauge.sidecar import linkpacer
from rattangauge.sidecar import localupstream
from rattangauge.sidecar import peerexchange
from rattangauge.sidecar import rollouts as rollouts_module
from rattangauge.sidecar import rolloutstores
from rattangauge.sidecar import rolloutwatch
from rattangauge.sidecar import stores

# Time between two checks whether all requests have ended.
STOP_CHECK_PERIOD_S = 0.05

_LOG_LOOP = supervision.Loop("decision log")
_RELOAD = supervision.Loop("reload at a signal")
_STOP = supervision.Loop("announcement of the stop")

BYTES_PER_MB = 1024 * 1024
# Limits of the requests at all addresses but that for callers.
SMALL_REQUESTS = server_module.Limits(body_bytes=65_536)

# Message of an upstream to its daemon: that it serves calls, or that it ends.
Announcement = heartbeats.Heartbeat | heartbeats.Departure

# Parses a request of the upstream to the control address.
ReadAnnouncement = Callable[[http_messages.Request], Announcement]
# Reads the settings again and applies them.
Reload = Callable[[], None]
# Listening sockets by the address in the settings.
Listeners = dict[str, socket.socket]


class Node:
    """The daemon of one instance.

    It receives requests at the callers' address, calls and reports of other
    daemons at the mesh address, and heartbeats of its upstream at the control
    address.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        header_names: headernames.HeaderNames,
        store: stores.Store,
        rollout_store: rolloutstores.RolloutStore,
        read_announcement: ReadAnnouncement,
        log: decisionlog.DecisionLog,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates a daemon; ``run`` starts it.

        Args:
            settings: Settings of the daemon.
            header_names: Names of the HTTP headers of the platform.
            store: Store of the platform.
            rollout_store: The same store, for roll-outs.
            read_announcement: Parses a request of the upstream.
            log: Log of decisions.
            tasks: Task group that runs the keepalive checks of connections to
                other daemons.
        """
        self._settings = settings
        self._read_announcement = read_announcement
        self._memory = receivememory.ReceiveMemory(
            int(settings.instance.memory_mb * BYTES_PER_MB)
        )
        self._link_pacer = linkpacer.LinkPacer(
            settings.instance.link_mbps, self._memory
        )
        self._links = connection_pool.Links(
            settings, tasks, log.record, self._record_sent
        )
        self._peers = peers_module.PeerTable(_own_member(settings))
        self._local_upstream = localupstream.LocalUpstream(
            settings, header_names, self._memory, self._link_pacer, log
        )
        self._zone_loads = zone_loads.ZoneLoads()
        self._rollouts = rollouts_module.Rollouts(
            settings, self._peers, self._local_upstream, log
        )
        self._dispatcher = dispatch_module.Dispatcher(
            settings,
            header_names,
            self._links,
            self._peers,
            self._local_upstream,
            self._rollouts,
            self._memory,
            self._zone_loads,
            log,
        )
        self._config_sync = configsync.ConfigSync(
            settings,
            store,
            self._peers,
            self._links,
            self._dispatcher.apply,
            log,
        )
        self._peer_exchange = peerexchange.PeerExchange(
            settings,
            store,
            self._peers,
            self._links,
            self._local_upstream,
            self._config_sync,
            self._zone_loads,
            log,
        )
        self._rollout_watch = rolloutwatch.RolloutWatch(
            settings,
            rollout_store,
            self._peers,
            self._links,
            self._rollouts,
            log,
        )
        self._caller_server = server_module.Server(
            self._dispatcher.handle,
            lambda: self._dispatcher.limits,
            self._memory,
            self._record_cut,
        )
        self._ready_server = self._server(self._handle_readiness)
        self._control_server = self._server(self._handle_announcement)
        self._operators_server = self._server(_handle_metrics)
        self._mesh_server = meshserver.MeshServer(
            self._handle_message,
            settings.mesh.silence_s,
            log.record,
            self._record_sent,
        )
        self._log = log
        self._stopping = anyio.Event()

    async def run(self) -> None:
        """Runs the daemon until ``stop`` is called.

        It begins as soon as all its addresses are free. Returns when the calls
        have ended or the time limit of the shutdown has passed.
        """
        listeners = await self._open_listeners()
        async with anyio.create_task_group() as tasks:
            self._start_servers(tasks, listeners)
            tasks.start_soon(self._config_sync.run)
            tasks.start_soon(self._peer_exchange.run)
            tasks.start_soon(self._rollout_watch.run)
            loguru.logger.info("the daemon started")
            await self._stopping.wait()
            await self._drain()
            tasks.cancel_scope.cancel()
        loguru.logger.info("the daemon stopped")

    async def _open_listeners(self) -> Listeners:
        """Waits for the daemon's addresses and listens at them.

        Returns:
            Sockets by address; none if the daemon is stopped meanwhile.
        """
        listen = self._settings.listen
        addresses = [
            address
            for address in (
                listen.mesh,
                listen.callers,
                listen.ready,
                listen.control,
                listen.operators,
            )
            if address
        ]
        sockets: list[socket.socket] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_at_stop, tasks.cancel_scope)
            sockets = await listeners_module.open_all(
                [util.parse_address(address) for address in addresses]
            )
            tasks.cancel_scope.cancel()
        return dict(zip(addresses, sockets, strict=False))

    async def _cancel_at_stop(self, scope: anyio.CancelScope) -> None:
        await self._stopping.wait()
        scope.cancel()

    def _start_servers(
        self, tasks: anyio.abc.TaskGroup, listeners: Listeners
    ) -> None:
        """Starts a server at each address that has a socket."""
        listen = self._settings.listen
        servers = {
            listen.callers: self._caller_server,
            listen.ready: self._ready_server,
            listen.control: self._control_server,
            listen.operators: self._operators_server,
        }
        for address, listener in listeners.items():
            if address == listen.mesh:
                tasks.start_soon(self._mesh_server.serve, listener)
            else:
                tasks.start_soon(servers[address].serve, listener)

    def _server(self, handler: server_module.Handler) -> server_module.Server:
        """Returns a server for small requests of the platform."""
        return server_module.Server(
            handler, lambda: SMALL_REQUESTS, self._memory
        )

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        self._stopping.set()

    async def _drain(self) -> None:
        """Waits until callers have left and calls have ended.

        The setting ``shutdown.limit_s`` limits the wait.
        """
        began_at = time.monotonic()
        shutdown = shutdown_module.begin(
            began_at, self._settings.shutdown.limit_s
        )
        self._dispatcher.stop(shutdown)
        self._local_upstream.stop()
        self._caller_server.close_connections()
        announce = self._peer_exchange.announce_stop
        await supervision.attempt(self._log.record, _STOP, announce)
        await self._wait_until_idle(
            shutdown.notice_until, shutdown.listen_until
        )
        await self._caller_server.end(shutdown.end_at)
        await self._wait_until_idle(began_at, shutdown.end_at)
        await self._end_platform_servers(shutdown.end_at)
        await self._mesh_server.end(shutdown.end_at)
        self._record_stop(time.monotonic() - began_at)

    async def _wait_until_idle(self, earliest: float, latest: float) -> None:
        """Waits until callers have their answers and calls have ended.

        Args:
            earliest: Monotonic time before which it does not return.
            latest: Monotonic time at which it returns in any case.
        """
        while (now := time.monotonic()) < latest:
            is_idle = (
                not self._caller_server.busy_connections
                and not self._local_upstream.running
            )
            if is_idle and now >= earliest:
                return
            await anyio.sleep(STOP_CHECK_PERIOD_S)

    async def _end_platform_servers(self, end_at: float) -> None:
        """Answers what the platform and the upstream have sent."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ready_server.end, end_at)
            tasks.start_soon(self._control_server.end, end_at)
            tasks.start_soon(self._operators_server.end, end_at)

    def _record_stop(self, elapsed_s: float) -> None:
        """Records what a graceful shutdown leaves at its end."""
        connections = self._caller_server.busy_connections
        calls = self._local_upstream.running
        if connections or calls:
            loguru.logger.warning(
                "shutdown limit reached: {} connections and {} calls are cut",
                connections,
                calls,
            )
        self._log.record(
            logevents.StopEnded(
                elapsed_ms=round(elapsed_s * 1000, 1),
                connections=self._caller_server.open_connections,
                busy=connections,
                unsent_bytes=self._caller_server.unsent_bytes,
                running=calls,
            )
        )

    def _record_sent(self, message: messages.Message, size: int) -> None:
        """Counts a message to another daemon, which takes time on the link."""
        metrics.observe_sent(message, size)
        self._link_pacer.record_sent(message, size)

    def _record_cut(self, cut: server_module.Cut) -> None:
        self._log.record(logevents.ConnectionCut(*cut))

    async def _handle_message(
        self, stream: connection_pool.Stream, message: messages.Message
    ) -> None:
        """Handles the first message of a stream of another daemon."""
        if isinstance(message, messages.CallOpen):
            await forwardedcall.serve(stream, message, self._local_upstream.run)
        elif isinstance(message, messages.PeerNews):
            await self._peer_exchange.handle_report(stream, message)
        elif isinstance(message, messages.QuotaRequest):
            await self._dispatcher.quotas.serve(stream, message)
        elif isinstance(message, messages.RolloutState):
            await self._rollouts.serve(stream, message)
        elif isinstance(message, messages.EditionRequest):
            await self._config_sync.serve(stream, message)

    async def _handle_readiness(
        self, _request: http_messages.Request
    ) -> http_messages.Response:
        """Answers 200 if the daemon is ready for requests, else 503.

        It is ready once it has a configuration, until its shutdown begins.
        """
        is_ready = self._config_sync.version and not self._stopping.is_set()
        return http_messages.Response(200 if is_ready else 503)

    async def _handle_announcement(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Handles a heartbeat of the upstream, or the notice that it ends."""
        try:
            announcement = self._read_announcement(request)
            if isinstance(announcement, heartbeats.Heartbeat):
                heartbeats.check(announcement, self._settings.instance)
        except errors.FindingsError as error:
            loguru.logger.warning("announcement rejected: {}", error)
            return http_messages.Response(400, (), str(error).encode())
        if isinstance(announcement, heartbeats.Heartbeat):
            self._local_upstream.apply_heartbeat(announcement)
        else:
            self._local_upstream.apply_departure(announcement)
        headers = ((b"content-type", b"application/json"),)
        return http_messages.Response(200, headers, b"{}")


async def _handle_metrics(
    _request: http_messages.Request,
) -> http_messages.Response:
    """Answers with the metrics in the Prometheus text format."""
    body = prometheus_client.generate_latest()
    content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
    return http_messages.Response(200, ((b"content-type", content_type),), body)


def _own_member(settings: settings_module.Settings) -> messages.Member:
    """Returns the daemon's own entry in the peer table."""
    return ownmember.make(settings)._replace(
        service=settings.instance.service,
        link_kbps=round(settings.instance.link_mbps * 1000),
    )


async def run(
    settings: settings_module.Settings,
    header_names: headernames.HeaderNames,
    store: stores.Store,
    rollout_store: rolloutstores.RolloutStore,
    read_announcement: ReadAnnouncement,
    log: decisionlog.DecisionLog,
    reload: Reload,
) -> None:
    """Runs a daemon until it receives SIGTERM or SIGINT.

    Args:
        settings: Settings of the daemon.
        header_names: Names of the HTTP headers of the platform.
        store: Store of the platform.
        rollout_store: The same store, for roll-outs.
        read_announcement: Parses a request of the upstream to the control
            address.
        log: Log of decisions.
        reload: Reads the settings again; called at SIGHUP.
    """
    async with anyio.create_task_group() as tasks:
        supervision.watch_callbacks(log.record)
        tasks.start_soon(supervision.run, log.record, _LOG_LOOP, log.run)
        node = Node(
            settings,
            header_names,
            store,
            rollout_store,
            read_announcement,
            log,
            tasks,
        )
        guarded = supervision.guard(log.record, _RELOAD, reload)
        tasks.start_soon(process_signals.handle, node.stop, guarded)
        await node.run()
        tasks.cancel_scope.cancel()
    log.flush()
