"""Exchanges configuration versions and zone summaries between zones."""

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
# Period in which a member that is not a gateway asks another member for missed
# summaries.
CATCH_UP_S = 5.0
# Random members of the own zone that get new summaries from each daemon.
PUSH_MEMBERS = 3
# Minimum time between two summaries of the own zone.
ISSUE_PERIOD_S = 0.1


class ZoneExchanger:
    """Exchanges of one daemon about all zones of the mesh."""

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: connection_pool.Links,
        gossip: gossip_module.Gossip,
        distribution: config_distribution.ConfigDistribution,
    ) -> None:
        """Creates the object; ``run`` starts the exchanges."""
        self._settings = settings
        self._members = table
        self._links = links
        self._gossip = gossip
        self._distribution = distribution
        self._random = random_module.Random()
        self._unsent_summaries: list[messages.ZoneSummary] = []
        self._has_unsent = anyio.Event()

    async def run(self, joined: anyio.Event) -> None:
        """Exchanges versions and summaries until cancelled.

        Args:
            joined: Set when the daemon has joined the mesh.
        """
        await joined.wait()
        await anyio.sleep(self._settings.mesh.ping_period_s)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_issuing)
            tasks.start_soon(self._run_pushes, tasks)
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
            sampled = probing.sample(peers, 1, self._random)
            address = sampled[0].mesh if sampled else ""
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
        # One exchange in ten goes to a contact, to find zones whose known
        # gateways have all been replaced.
        if others and (not contacts or self._random.random() < 0.9):
            summary = self._random.choice(others)
            return self._random.choice(summary.gateways)
        return self._random.choice(contacts) if contacts else ""

    def _build_message(
        self, summaries: tuple[messages.ZoneSummary, ...]
    ) -> messages.ZoneExchange:
        return messages.ZoneExchange(
            version=self._distribution.holder.version,
            digest=self._distribution.holder.digest,
            summaries=summaries,
            known=self._members.summaries.known(),
            mesh=self._members.own.mesh,
        )

    async def _exchange(
        self, address: str, summaries: tuple[messages.ZoneSummary, ...]
    ) -> None:
        message = self._build_message(summaries)
        try:
            reply = await self._links.request(
                address, message, EXCHANGE_TIMEOUT_S
            )
        except errors.CodedError as error:
            log.logger.debug(
                "cannot exchange zone summaries with {}: {}", address, error
            )
            return
        if isinstance(reply, messages.ZoneExchange):
            self._merge_exchange(reply, address)

    def _merge_exchange(
        self, message: messages.ZoneExchange, address: str
    ) -> None:
        self._members.record_version(address, message.version)
        self._distribution.record_peer_version(
            message.version, message.digest, address
        )
        now = time.monotonic()
        new_summaries = self._members.summaries.merge(message.summaries, now)
        if new_summaries:
            self._unsent_summaries += new_summaries
            self._has_unsent.set()

    async def answer(
        self, stream: connection_pool.Stream, message: messages.ZoneExchange
    ) -> None:
        """Replies to another daemon with the summaries that it lacks."""
        self._merge_exchange(message, message.mesh)
        later = self._members.summaries.later_than(message.known)
        await stream.send(self._build_message(later))

    async def _run_issuing(self) -> None:
        """Issues the summary of the own zone while this is its first gateway.

        A summary is issued when a member changes, and at least once a period.
        """
        while True:
            if self._members.is_first_gateway:
                self._issue_summary()
            await anyio.sleep(ISSUE_PERIOD_S)
            with anyio.move_on_after(self._settings.mesh.ping_period_s):
                await self._gossip.wait_changed()

    def _issue_summary(self) -> None:
        summary = zone_summary.summarize(
            self._members.own, self._members.live, self._members.gateways
        )
        now = time.monotonic()
        issued = self._members.summaries.issue(summary, now, util.now_ms())
        if issued is not None:
            self._unsent_summaries.append(issued)
            self._has_unsent.set()

    async def _run_pushes(self, tasks: anyio.abc.TaskGroup) -> None:
        """Forwards new summaries to members and other zones until cancelled."""
        while True:
            await self._has_unsent.wait()
            self._has_unsent = anyio.Event()
            newest = {
                summary.zone: summary for summary in self._unsent_summaries
            }
            self._unsent_summaries = []
            for address in self._push_targets(newest):
                summaries = tuple(newest.values())
                tasks.start_soon(self._exchange, address, summaries)
            await anyio.sleep(ISSUE_PERIOD_S)

    def _push_targets(
        self, newest: dict[str, messages.ZoneSummary]
    ) -> list[str]:
        own = self._members.own
        peers = self._members.peers
        sampled = probing.sample(peers, PUSH_MEMBERS, self._random)
        targets = [member.mesh for member in sampled]
        if own.zone in newest and self._members.is_gateway:
            summaries = self._members.summaries.summaries.values()
            targets += [
                self._random.choice(summary.gateways)
                for summary in summaries
                if summary.zone != own.zone and summary.gateways
            ]
        return targets
