"""Exchanges versions and zone summaries with other zones."""

import random as random_module
import time

import anyio
import anyio.abc

from rattangauge import errors
from rattangauge import log
from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.membership import probing
from rattangauge.membership import zone_summary
from rattangauge.net import config_distribution
from rattangauge.net import connection_pool
from rattangauge.net import gossip as gossip_module

EXCHANGE_TIMEOUT_S = 1.0
# Period in which a member that is no gateway looks for missed summaries.
CATCH_UP_S = 5.0
PUSH_TARGETS = 3
# Least time between two summaries of the own zone.
ISSUE_PERIOD_S = 0.1


class Zones:
    """Traffic of a daemon about other zones."""

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: connection_pool.Links,
        gossip: gossip_module.Gossip,
        spread: config_distribution.Spread,
    ) -> None:
        """Creates the traffic; ``run`` starts it."""
        self._settings = settings
        self._members = table
        self._links = links
        self._gossip = gossip
        self._spread = spread
        self._random = random_module.Random()
        self._news: list[messages.ZoneSummary] = []
        self._has_news = anyio.Event()

    async def run(self, joined: anyio.Event) -> None:
        """Exchanges until cancelled.

        Args:
            joined: Set when the neighbours have told the members.
        """
        await joined.wait()
        await anyio.sleep(self._settings.mesh.ping_period_s)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._issue_all)
            tasks.start_soon(self._push_all, tasks)
            while True:
                is_gateway = self._members.is_gateway
                await self._exchange_once(is_gateway)
                period_s = self._settings.mesh.ping_period_s
                if not is_gateway:
                    period_s = max(period_s, CATCH_UP_S)
                await anyio.sleep(period_s * self._random.uniform(0.8, 1.2))

    async def _exchange_once(self, is_gateway: bool) -> None:
        if is_gateway:
            address = self._other_zone_address()
        else:
            peers = self._members.peers
            chosen = probing.sample(peers, 1, self._random)
            address = chosen[0].mesh if chosen else ""
        if address:
            await self._exchange(address, ())

    def _other_zone_address(self) -> str:
        """Returns a gateway of a random other zone, or a contact."""
        own = self._members.own
        summaries = self._members.summaries.summaries.values()
        others = [s for s in summaries if s.zone != own.zone and s.gateways]
        contacts = [
            address
            for address in self._settings.mesh.contacts
            if address not in {m.mesh for m in self._members.live}
        ]
        # A contact now and then finds zones whose gateways have all changed.
        if others and (not contacts or self._random.random() < 0.9):
            summary = self._random.choice(others)
            return self._random.choice(summary.gateways)
        return self._random.choice(contacts) if contacts else ""

    def _message(
        self, summaries: tuple[messages.ZoneSummary, ...]
    ) -> messages.ZoneExchange:
        return messages.ZoneExchange(
            version=self._spread.holder.version,
            digest=self._spread.holder.digest,
            summaries=summaries,
            known=self._members.summaries.known(),
            mesh=self._members.own.mesh,
        )

    async def _exchange(
        self, address: str, summaries: tuple[messages.ZoneSummary, ...]
    ) -> None:
        message = self._message(summaries)
        try:
            reply = await self._links.request(
                address, message, EXCHANGE_TIMEOUT_S
            )
        except errors.CodedError as error:
            log.logger.debug("no zone exchange with {}: {}", address, error)
            return
        if isinstance(reply, messages.ZoneExchange):
            self._take(reply, address)

    def _take(self, message: messages.ZoneExchange, address: str) -> None:
        self._members.report(address, message.version)
        self._spread.offer(message.version, message.digest, address)
        now = time.monotonic()
        taken = self._members.summaries.merge(message.summaries, now)
        if taken:
            self._news += taken
            self._has_news.set()

    async def answer(
        self, stream: connection_pool.Stream, message: messages.ZoneExchange
    ) -> None:
        """Answers another daemon with the summaries that it lacks."""
        self._take(message, message.mesh)
        later = self._members.summaries.later_than(message.known)
        await stream.send(self._message(later))

    async def _issue_all(self) -> None:
        """Issues the summary of the own zone as its first gateway."""
        while True:
            if self._members.is_first_gateway:
                self._issue()
            await anyio.sleep(ISSUE_PERIOD_S)
            with anyio.move_on_after(self._settings.mesh.ping_period_s):
                await self._gossip.wait_changed()

    def _issue(self) -> None:
        fresh = zone_summary.summarize(
            self._members.own, self._members.live, self._members.gateways
        )
        now = time.monotonic()
        issued = self._members.summaries.issue(fresh, now, util.now_ms())
        if issued is not None:
            self._news.append(issued)
            self._has_news.set()

    async def _push_all(self, tasks: anyio.abc.TaskGroup) -> None:
        """Passes new summaries on within the zone and to other zones."""
        while True:
            await self._has_news.wait()
            self._has_news = anyio.Event()
            newest = {summary.zone: summary for summary in self._news}
            self._news = []
            for address in self._push_targets(newest):
                summaries = tuple(newest.values())
                tasks.start_soon(self._exchange, address, summaries)
            await anyio.sleep(ISSUE_PERIOD_S)

    def _push_targets(
        self, newest: dict[str, messages.ZoneSummary]
    ) -> list[str]:
        own = self._members.own
        peers = self._members.peers
        chosen = probing.sample(peers, PUSH_TARGETS, self._random)
        targets = [member.mesh for member in chosen]
        if own.zone in newest and self._members.is_gateway:
            summaries = self._members.summaries.summaries.values()
            targets += [
                self._random.choice(summary.gateways)
                for summary in summaries
                if summary.zone != own.zone and summary.gateways
            ]
        return targets
