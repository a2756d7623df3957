"""Joins the mesh through contacts and answers daemons that join."""

import collections
import random as random_module
import time

import anyio

from rattangauge import errors
from rattangauge import log
from rattangauge import settings as settings_module
from rattangauge.config import pulls
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.membership import probing
from rattangauge.net import config_distribution
from rattangauge.net import connection_pool
from rattangauge.net import gossip as gossip_module

CONTACTS_ASKED = 5
NEIGHBOURS_ASKED = 3
REQUEST_TIMEOUT_S = 1.0
# A daemon that finds nobody for this time is the first one of the mesh.
ALONE_S = 2.0
# Finds members again that a partition has made each other remove.
REJOIN_S = 30.0
MAX_RETRY_S = 5.0
ALONE_RETRY_S = 0.5
# Members told to a daemon that is known already.
SAMPLED_MEMBERS = 16
# Daemons of another zone that are remembered for others of that zone.
VISITORS_PER_ZONE = 4


class Joining:
    """Finds the other members and what they know of this address."""

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: connection_pool.Links,
        gossip: gossip_module.Gossip,
        spread: config_distribution.Spread,
    ) -> None:
        """Creates it; ``run`` starts to join."""
        self._settings = settings
        self._members = table
        self._links = links
        self._gossip = gossip
        self._spread = spread
        self._random = random_module.Random()
        self._joined = anyio.Event()
        self._visitors: dict[str, collections.deque[messages.Member]] = {}

    @property
    def joined(self) -> anyio.Event:
        """Set when neighbours have told the members and the floor."""
        return self._joined

    async def run(self) -> None:
        """Joins, and joins again from time to time, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._give_up)
            await self._join_first()
            self._joined.set()
            alone = 0
            while True:
                # The contacts of the own zone may start later than this one.
                alone = 0 if self._members.peers else alone + 1
                wait_s = REJOIN_S * self._random.uniform(0.5, 1.5)
                if alone:
                    wait_s = pulls.backoff_s(
                        alone, self._random, ALONE_RETRY_S, REJOIN_S
                    )
                await anyio.sleep(wait_s)
                await self._ask_all(self._contacts()[: 2 if alone else 1])

    async def _give_up(self) -> None:
        await anyio.sleep(ALONE_S)
        self._joined.set()

    async def _join_first(self) -> None:
        failures = 0
        while not await self._join_once():
            failures += 1
            wait_s = pulls.backoff_s(failures, self._random, 0.1, MAX_RETRY_S)
            await anyio.sleep(wait_s)

    async def _join_once(self) -> bool:
        """Asks contacts, then neighbours; returns whether any answered."""
        contacts = self._contacts()
        if not contacts:
            return True
        asked = contacts[:CONTACTS_ASKED]
        answered = await self._ask_all(asked)
        neighbours = [m.mesh for m in self._members.peers]
        left = [address for address in neighbours if address not in asked]
        self._random.shuffle(left)
        return await self._ask_all(left[:NEIGHBOURS_ASKED]) or answered

    def _contacts(self) -> list[str]:
        """Returns addresses that may be asked, in random order."""
        addresses = set(self._settings.mesh.contacts)
        for summary in self._members.summaries.summaries.values():
            addresses.update(summary.gateways)
        addresses.discard(self._members.own.mesh)
        contacts = sorted(addresses)
        self._random.shuffle(contacts)
        return contacts

    async def _ask_all(self, addresses: list[str]) -> bool:
        answers: list[bool] = []

        async def ask(address: str) -> None:
            answers.append(await self._ask(address))

        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(ask, address)
        return any(answers)

    async def _ask(self, address: str) -> bool:
        known = self._members.summaries.known()
        request = messages.JoinRequest(self._members.own, known)
        try:
            reply = await self._links.request(
                address, request, REQUEST_TIMEOUT_S
            )
        except errors.CodedError as error:
            log.logger.debug("cannot join through {}: {}", address, error)
            return False
        if not isinstance(reply, messages.JoinReply):
            return False
        # The floor comes first: a version below it must not be taken.
        self._spread.holder.raise_floor(reply.floor)
        now = time.monotonic()
        self._members.summaries.merge(reply.summaries, now)
        self._gossip.merge(reply.members)
        self._spread.offer(reply.version, reply.digest, address)
        return True

    async def answer(
        self, stream: connection_pool.Stream, message: messages.JoinRequest
    ) -> None:
        """Tells a daemon the members, summaries, version and its floor."""
        joiner = message.member
        floor = self._members.floor(joiner.mesh, joiner.zone)
        records = self._records_for(joiner)
        self._gossip.merge((joiner,))
        reply = messages.JoinReply(
            members=tuple(records),
            summaries=self._members.summaries.later_than(message.known),
            version=self._spread.holder.version,
            digest=self._spread.holder.digest,
            floor=max(floor, joiner.version),
        )
        await stream.send(reply)

    def _records_for(self, joiner: messages.Member) -> list[messages.Member]:
        own = self._members.own
        if joiner.zone != own.zone:
            return self._visitors_for(joiner)
        known = self._members.members.get(joiner.instance)
        if known is None or known.incarnation != joiner.incarnation:
            return list(self._members.members.values())
        sampled = probing.sample(
            self._members.live,
            SAMPLED_MEMBERS,
            self._random,
            (own.instance, joiner.instance),
        )
        # What is believed of the joiner lets it refute a wrong belief.
        return [own, known, *sampled]

    def _visitors_for(self, joiner: messages.Member) -> list[messages.Member]:
        """Returns daemons of the joiner's zone that asked before it."""
        visitors = self._visitors.setdefault(
            joiner.zone, collections.deque(maxlen=VISITORS_PER_ZONE)
        )
        others = [m for m in visitors if m.instance != joiner.instance]
        visitors.clear()
        visitors.extend([*others, joiner])
        self._members.report(joiner.mesh, joiner.version)
        return others
