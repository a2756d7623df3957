"""Creates the components of one daemon and runs them."""

from typing import Any

import anyio
import anyio.abc

from rattangauge import events as events_module
from rattangauge import log
from rattangauge import process_signals
from rattangauge import settings as settings_module
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.membership import ownmember
from rattangauge.net import claims as claims_module
from rattangauge.net import config_distribution
from rattangauge.net import connection_pool
from rattangauge.net import drain as drain_module
from rattangauge.net import forwardedcall
from rattangauge.net import gossip as gossip_module
from rattangauge.net import head_watcher
from rattangauge.net import http_server
from rattangauge.net import idempotency
from rattangauge.net import ingress
from rattangauge.net import join
from rattangauge.net import local_upstream
from rattangauge.net import meshserver
from rattangauge.net import object_store
from rattangauge.net import operator_api
from rattangauge.net import router as router_module
from rattangauge.net import statuswriter
from rattangauge.net import upstream
from rattangauge.net import zone_exchange

# Time between the start of a shutdown and the close of the callers' port, in
# membership ping periods, with a maximum in seconds. Other daemons hear of the
# shutdown in this time and send no more calls.
SHUTDOWN_ANNOUNCE_PERIODS = 1.5
MAX_SHUTDOWN_ANNOUNCE_S = 3.0
# Time to wait for the operators' port to close, in seconds.
OPERATORS_STOP_TIMEOUT_S = 2.0


def _own_member(settings: settings_module.Settings) -> messages.Member:
    return ownmember.make(settings)._replace(
        operators=settings.listen.operators
    )


class Node:
    """One daemon: its servers, its membership and its configuration."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: object_store.Store,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the components of the daemon; ``run`` starts them.

        Args:
            settings: Settings of the daemon.
            store: The platform's store.
            tasks: Task group for background tasks of the components.
        """
        self._settings = settings
        self._stop_callers = anyio.Event()
        self._stop_operators = anyio.Event()
        self._operators_stopped = anyio.Event()
        self._events = events_module.Events()
        self._members = members.MemberTable(_own_member(settings))
        self._pool = connection_pool.Links(settings, tasks)
        self._local_upstream = local_upstream.LocalUpstream(
            settings, self._events
        )
        self._router = router_module.Router(
            self._pool, self._members, self._local_upstream, self._events
        )
        self._config_distribution = config_distribution.ConfigDistribution(
            settings,
            self._members,
            self._pool,
            self._events,
            self._router.use_edition,
        )
        self._drain = drain_module.Drain(
            self._local_upstream.run, settings.shutdown.limit_s
        )
        claims = claims_module.KeyClaims(settings, store, tasks)
        self._idempotency = idempotency.Keyed(
            settings,
            self._members,
            self._pool,
            self._router,
            claims,
            self._drain.run,
            tasks,
        )
        self._router.set_keyed_handler(self._idempotency.route)
        self._gossip = gossip_module.Gossip(
            settings,
            self._members,
            self._pool,
            self._local_upstream,
            self._config_distribution,
            self._events,
        )
        self._config_distribution.notify(self._gossip.refresh_own)
        peer_components = settings, self._members, self._pool, self._gossip
        self._join = join.Joiner(*peer_components, self._config_distribution)
        self._zone_exchange = zone_exchange.ZoneExchanger(
            *peer_components, self._config_distribution
        )
        self._head_watcher = head_watcher.HeadWatcher(
            settings, store, self._members, self._config_distribution
        )
        self._status_writer = statuswriter.StatusWriter(
            settings,
            store,
            self._members,
            self._head_watcher,
            self._config_distribution.holder,
        )

    async def run(self) -> None:
        """Runs the daemon until ``stop`` is called and its calls have ended."""
        settings = self._settings
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                meshserver.serve_mesh, self._handle_stream, settings
            )
            tasks.start_soon(self._gossip.run)
            tasks.start_soon(self._serve_operators)
            tasks.start_soon(self._close_caller_port)
            tasks.start_soon(self._join.run)
            tasks.start_soon(self._config_distribution.run, self._join.joined)
            tasks.start_soon(self._zone_exchange.run, self._join.joined)
            tasks.start_soon(self._head_watcher.run, self._join.joined)
            tasks.start_soon(self._status_writer.run)
            log.logger.info("the daemon starts to listen")
            app = ingress.application(self._router, self._idempotency.issue)
            await http_server.serve_http(
                http_server.close_connections(app, lambda: self._drain.begun),
                settings.listen.callers,
                settings,
                self._stop_callers,
            )
            await self._wait_for_calls()
            await self._gossip.leave()
            tasks.cancel_scope.cancel()

    async def _serve_operators(self) -> None:
        await http_server.serve_http(
            operator_api.application(self._endpoints()),
            self._settings.listen.operators,
            self._settings,
            self._stop_operators,
        )
        self._operators_stopped.set()

    async def _wait_for_calls(self) -> None:
        """Waits for running calls, then closes the operators' port.

        The wait for calls ends at the time limit of the shutdown.
        """
        with anyio.move_on_after(self._drain.seconds_left):
            await self._drain.wait_idle()
        self._stop_operators.set()
        with anyio.move_on_after(OPERATORS_STOP_TIMEOUT_S):
            await self._operators_stopped.wait()

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        self._drain.begin()
        self._local_upstream.drain()
        self._gossip.drain()

    async def _close_caller_port(self) -> None:
        """Closes the callers' port after members were told of the shutdown."""
        await self._drain.wait_begun()
        period_s = self._settings.mesh.ping_period_s
        await anyio.sleep(
            min(MAX_SHUTDOWN_ANNOUNCE_S, SHUTDOWN_ANNOUNCE_PERIODS * period_s)
        )
        self._stop_callers.set()

    async def _handle_stream(
        self, stream: connection_pool.Stream, message: messages.Message
    ) -> None:
        if isinstance(message, messages.CallOpen):
            async with self._drain.hold():
                await forwardedcall.serve(
                    stream, message, self._idempotency.run_here
                )
        elif isinstance(message, messages.JoinRequest):
            await self._join.answer(stream, message)
        elif isinstance(message, messages.Probe):
            await self._gossip.answer_probe(stream, message)
        elif isinstance(message, messages.ZoneExchange):
            await self._zone_exchange.answer(stream, message)
        elif isinstance(message, messages.VersionHint):
            await self._config_distribution.answer_hint(stream, message)
        elif isinstance(message, messages.EditionRequest):
            await self._config_distribution.serve(stream, message)

    def _endpoints(self) -> dict[tuple[str, str], operator_api.Endpoint]:
        return {
            ("GET", "/metrics"): operator_api.metrics_endpoint,
            ("GET", "/health"): self._health,
            ("GET", "/ready"): self._ready,
            ("GET", "/status"): self._status,
            ("GET", "/explain"): self._explain,
            ("POST", "/upstream"): self._announce_upstream,
            ("POST", "/drain"): self._start_drain,
        }

    async def _health(self, _query: Any, _body: bytes) -> operator_api.Reply:
        return operator_api.json_reply({"healthy": True})

    async def _ready(self, _query: Any, _body: bytes) -> operator_api.Reply:
        version = self._router.version
        status = 200 if version and not self._drain.begun else 503
        table = {"version": version, "draining": self._drain.begun}
        return operator_api.json_reply(table, status)

    async def _status(self, _query: Any, _body: bytes) -> operator_api.Reply:
        return operator_api.json_reply(self._status_writer.view())

    async def _explain(
        self, query: dict[str, str], _body: bytes
    ) -> operator_api.Reply:
        subject = query.get("subject", "")
        return operator_api.json_reply(
            {"events": self._events.to_dicts(subject)}
        )

    async def _start_drain(
        self, _query: Any, _body: bytes
    ) -> operator_api.Reply:
        self.stop()
        return operator_api.json_reply({"draining": True})

    async def _announce_upstream(
        self, _query: Any, body: bytes
    ) -> operator_api.Reply:
        announcement = upstream.parse_announcement(body)
        await self._local_upstream.announce(announcement)
        self._gossip.refresh_own()
        return operator_api.json_reply({"accepted": True})


async def run(settings: settings_module.Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT ends it gracefully."""
    client = object_store.open_client(
        settings.platform.url, settings.platform.timeout_s
    )
    async with client, anyio.create_task_group() as tasks:
        node = Node(settings, object_store.HttpStore(client), tasks)
        tasks.start_soon(process_signals.handle, node.stop)
        await node.run()
        tasks.cancel_scope.cancel()
