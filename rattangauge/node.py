"""Wires the parts of one daemon together."""

import signal
from typing import Any

import anyio
import anyio.abc

from rattangauge import events as events_module
from rattangauge import log
from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.net import claims as claims_module
from rattangauge.net import config_distribution
from rattangauge.net import connection_pool
from rattangauge.net import drain as drain_module
from rattangauge.net import forward
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

# Membership periods, and seconds at most, for which the daemon announces its
# shutdown before it closes idle connections of callers.
ANNOUNCE_PERIODS = 1.5
MAX_ANNOUNCE_S = 3.0
STOP_OPERATORS_S = 2.0


def _own_record(settings: settings_module.Settings) -> messages.Member:
    return messages.Member(
        instance=settings.instance.name,
        zone=settings.instance.zone,
        region=settings.instance.region,
        mesh=settings.listen.advertise or settings.listen.mesh,
        operators=settings.listen.operators,
        incarnation=util.now_ms(),
    )


class Node:
    """One daemon."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: object_store.Store,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the parts of a daemon; ``run`` starts them."""
        self._settings = settings
        self._stop_callers = anyio.Event()
        self._stop_operators = anyio.Event()
        self._operators_stopped = anyio.Event()
        self._events = events_module.Events()
        self._members = members.MemberTable(_own_record(settings))
        self._links = connection_pool.Links(settings, tasks)
        self._worker = local_upstream.LocalUpstream(settings, self._events)
        self._router = router_module.Router(
            self._links, self._members, self._worker, self._events
        )
        self._spread = config_distribution.ConfigDistribution(
            settings,
            self._members,
            self._links,
            self._events,
            self._router.use_edition,
        )
        self._drain = drain_module.Drain(
            self._worker.run, settings.shutdown.limit_s
        )
        claims = claims_module.KeyClaims(settings, store, tasks)
        self._keyed = idempotency.Keyed(
            settings,
            self._members,
            self._links,
            self._router,
            claims,
            self._drain.run,
            tasks,
        )
        self._router.set_keyed_handler(self._keyed.route)
        self._gossip = gossip_module.Gossip(
            settings,
            self._members,
            self._links,
            self._worker,
            self._spread,
            self._events,
        )
        self._spread.notify(self._gossip.refresh_own)
        exchange = settings, self._members, self._links, self._gossip
        self._joining = join.Joiner(*exchange, self._spread)
        self._zones = zone_exchange.ZoneExchanger(*exchange, self._spread)
        self._follower = head_watcher.HeadWatcher(
            settings, store, self._members, self._spread
        )
        self._status_writer = statuswriter.StatusWriter(
            settings,
            store,
            self._members,
            self._follower,
            self._spread.holder,
        )

    async def run(self) -> None:
        """Runs the daemon until ``stop`` is called."""
        settings = self._settings
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(meshserver.serve_mesh, self._handle, settings)
            tasks.start_soon(self._gossip.run)
            tasks.start_soon(self._serve_operators)
            tasks.start_soon(self._leave)
            tasks.start_soon(self._joining.run)
            tasks.start_soon(self._spread.run, self._joining.joined)
            tasks.start_soon(self._zones.run, self._joining.joined)
            tasks.start_soon(self._follower.run, self._joining.joined)
            tasks.start_soon(self._status_writer.run)
            log.logger.info("the daemon listens")
            app = ingress.application(self._router, self._keyed.issue)
            await http_server.serve_http(
                http_server.close_connections(app, lambda: self._drain.begun),
                settings.listen.callers,
                settings,
                self._stop_callers,
            )
            await self._finish()
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

    async def _finish(self) -> None:
        """Waits for running calls, then stops the operators' port."""
        with anyio.move_on_after(self._drain.seconds_left):
            await self._drain.wait_idle()
        self._stop_operators.set()
        with anyio.move_on_after(STOP_OPERATORS_S):
            await self._operators_stopped.wait()

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        self._drain.begin()
        self._worker.drain()
        self._gossip.drain()

    async def _leave(self) -> None:
        """Closes the callers' port once the members know of the shutdown."""
        await self._drain.wait_begun()
        period_s = self._settings.mesh.ping_period_s
        await anyio.sleep(min(MAX_ANNOUNCE_S, ANNOUNCE_PERIODS * period_s))
        self._stop_callers.set()

    async def _handle(
        self, stream: connection_pool.Stream, message: messages.Message
    ) -> None:
        if isinstance(message, messages.CallOpen):
            async with self._drain.hold():
                await forward.serve(stream, message, self._keyed.run_here)
        elif isinstance(message, messages.JoinRequest):
            await self._joining.answer(stream, message)
        elif isinstance(message, messages.Probe):
            await self._gossip.answer_probe(stream, message)
        elif isinstance(message, messages.ZoneExchange):
            await self._zones.answer(stream, message)
        elif isinstance(message, messages.VersionHint):
            await self._spread.answer_hint(stream, message)
        elif isinstance(message, messages.EditionRequest):
            await self._spread.serve(stream, message)

    def _endpoints(self) -> dict[tuple[str, str], operator_api.Endpoint]:
        return {
            ("GET", "/metrics"): operator_api.metrics_endpoint,
            ("GET", "/health"): self._health,
            ("GET", "/ready"): self._ready,
            ("GET", "/status"): self._status,
            ("GET", "/explain"): self._explain,
            ("POST", "/upstream"): self._announce,
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
        return operator_api.json_reply({"events": self._events.tables(subject)})

    async def _start_drain(
        self, _query: Any, _body: bytes
    ) -> operator_api.Reply:
        self.stop()
        return operator_api.json_reply({"draining": True})

    async def _announce(self, _query: Any, body: bytes) -> operator_api.Reply:
        announcement = upstream.parse_announcement(body)
        await self._worker.announce(announcement)
        self._gossip.refresh_own()
        return operator_api.json_reply({"accepted": True})


async def _stop_on_signal(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log.logger.info("shutting down on {}", signal.Signals(number).name)
            node.stop()


async def run(settings: settings_module.Settings) -> None:
    """Runs a daemon until it is told to stop by a signal."""
    client = object_store.open_client(
        settings.platform.url, settings.platform.timeout_s
    )
    async with client, anyio.create_task_group() as tasks:
        node = Node(settings, object_store.HttpStore(client), tasks)
        tasks.start_soon(_stop_on_signal, node)
        await node.run()
        tasks.cancel_scope.cancel()
