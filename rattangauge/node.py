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
from rattangauge.net import follow
from rattangauge.net import forward
from rattangauge.net import gossip as gossip_module
from rattangauge.net import ingress
from rattangauge.net import links as links_module
from rattangauge.net import operators
from rattangauge.net import platform
from rattangauge.net import router as router_module
from rattangauge.net import servers
from rattangauge.net import upstream
from rattangauge.net import worker as worker_module


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
        store: platform.Store,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the parts of a daemon; ``run`` starts them."""
        self._settings = settings
        self._stop = anyio.Event()
        self._events = events_module.Events()
        self._members = members.MemberTable(_own_record(settings))
        self._links = links_module.Links(settings, tasks)
        self._worker = worker_module.Worker(settings, self._events)
        self._router = router_module.Router(
            self._links, self._members, self._worker, self._events
        )
        self._gossip = gossip_module.Gossip(
            settings, self._members, self._links, self._worker
        )
        self._follower = follow.Follower(
            settings, store, self._router, self._events
        )

    async def run(self) -> None:
        """Runs the daemon until ``stop`` is called."""
        settings = self._settings
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(servers.serve_mesh, self._handle, settings)
            tasks.start_soon(self._gossip.run)
            tasks.start_soon(self._follower.run)
            tasks.start_soon(
                servers.serve_http,
                operators.application(self._endpoints()),
                settings.listen.operators,
                settings,
                self._stop,
            )
            log.logger.info("the daemon listens")
            await servers.serve_http(
                ingress.application(self._router),
                settings.listen.callers,
                settings,
                self._stop,
            )
            tasks.cancel_scope.cancel()

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        self._stop.set()

    async def _handle(
        self, stream: links_module.Stream, message: messages.Message
    ) -> None:
        if isinstance(message, messages.CallOpen):
            await forward.serve(stream, message, self._worker.run)
        elif isinstance(message, messages.JoinRequest):
            await self._gossip.answer_join(stream, message)

    def _endpoints(self) -> dict[tuple[str, str], operators.Endpoint]:
        return {
            ("GET", "/metrics"): operators.metrics_endpoint,
            ("GET", "/health"): self._health,
            ("GET", "/ready"): self._ready,
            ("GET", "/status"): self._status,
            ("GET", "/explain"): self._explain,
            ("POST", "/upstream"): self._announce,
        }

    async def _health(self, _query: Any, _body: bytes) -> operators.Reply:
        return operators.json_reply({"healthy": True})

    async def _ready(self, _query: Any, _body: bytes) -> operators.Reply:
        version = self._router.version
        status = 200 if version else 503
        return operators.json_reply({"version": version}, status)

    async def _status(self, _query: Any, _body: bytes) -> operators.Reply:
        records = [
            {
                **member._asdict(),
                "state": member.state.name.lower(),
                "upstream": member.upstream.name.lower(),
            }
            for member in self._members.members.values()
        ]
        return operators.json_reply(
            {"version": self._router.version, "members": records}
        )

    async def _explain(
        self, query: dict[str, str], _body: bytes
    ) -> operators.Reply:
        subject = query.get("subject", "")
        return operators.json_reply({"events": self._events.tables(subject)})

    async def _announce(self, _query: Any, body: bytes) -> operators.Reply:
        announcement = upstream.parse_announcement(body)
        await self._worker.announce(announcement)
        self._gossip.refresh_own()
        return operators.json_reply({"accepted": True})


async def _stop_on_signal(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log.logger.info("shutting down on {}", signal.Signals(number).name)
            node.stop()


async def run(settings: settings_module.Settings) -> None:
    """Runs a daemon until it is told to stop by a signal."""
    client = platform.open_client(
        settings.platform.url, settings.platform.timeout_s
    )
    async with client, anyio.create_task_group() as tasks:
        node = Node(settings, platform.HttpStore(client), tasks)
        tasks.start_soon(_stop_on_signal, node)
        await node.run()
        tasks.cancel_scope.cancel()
