"""Joins the mesh through known daemons and answers daemons that join.

Contacts are the addresses in the settings and the gateways of other zones.
Neighbours are the other members of the own zone.
"""

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
# A daemon that reaches no other one within this time goes on without an answer,
# since it may be the first one of the mesh.
JOIN_TIMEOUT_S = 2.0
# Mean period of further joins. They reconnect members that removed each other
# during a network partition.
REJOIN_S = 30.0
MAX_RETRY_S = 5.0
NO_PEERS_RETRY_S = 0.5
# Random members in the reply to a daemon that is known already.
SAMPLED_MEMBERS = 16
# Daemons of another zone that are remembered, so that later ones of that zone
# learn of them.
JOINERS_PER_ZONE = 4


class Joiner:
    """Finds the other members and the floor of this daemon.

    The floor is the highest version that other daemons have seen on this
    address. It keeps a restarted daemon from adopting an older one.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: connection_pool.Links,
        gossip: gossip_module.Gossip,
        distribution: config_distribution.ConfigDistribution,
    ) -> None:
        """Creates the object; ``run`` starts to join."""
        self._settings = settings
        self._members = table
        self._links = links
        self._gossip = gossip
        self._distribution = distribution
        self._random = random_module.Random()
        self._joined = anyio.Event()
        self._recent_joiners: dict[str, collections.deque[messages.Member]] = {}

    @property
    def joined(self) -> anyio.Event:
        """Set when the daemon has joined or ``JOIN_TIMEOUT_S`` have passed."""
        return self._joined

    async def run(self) -> None:
        """Joins, and repeats it periodically, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._end_wait)
            await self._join_until_answered()
            self._joined.set()
            rounds_without_peers = 0
            while True:
                # Other daemons of the own zone may start after this one, so it
                # asks more often while it knows none.
                rounds_without_peers = (
                    0 if self._members.peers else rounds_without_peers + 1
                )
                wait_s = REJOIN_S * self._random.uniform(0.5, 1.5)
                if rounds_without_peers:
                    wait_s = pulls.backoff_s(
                        rounds_without_peers,
                        self._random,
                        NO_PEERS_RETRY_S,
                        REJOIN_S,
                    )
                await anyio.sleep(wait_s)
                await self._request_join_all(
                    self._contacts()[: 2 if rounds_without_peers else 1]
                )

    async def _end_wait(self) -> None:
        await anyio.sleep(JOIN_TIMEOUT_S)
        self._joined.set()

    async def _join_until_answered(self) -> None:
        failures = 0
        while not await self._join_once():
            failures += 1
            wait_s = pulls.backoff_s(failures, self._random, 0.1, MAX_RETRY_S)
            await anyio.sleep(wait_s)

    async def _join_once(self) -> bool:
        """Asks contacts, then neighbours; returns whether any answered.

        A daemon without contacts needs no answer.
        """
        contacts = self._contacts()
        if not contacts:
            return True
        asked_addresses = contacts[:CONTACTS_ASKED]
        answered = await self._request_join_all(asked_addresses)
        neighbour_addresses = [m.mesh for m in self._members.peers]
        remaining_addresses = [
            address
            for address in neighbour_addresses
            if address not in asked_addresses
        ]
        self._random.shuffle(remaining_addresses)
        return (
            await self._request_join_all(remaining_addresses[:NEIGHBOURS_ASKED])
            or answered
        )

    def _contacts(self) -> list[str]:
        """Returns the addresses of the contacts in random order."""
        addresses = set(self._settings.mesh.contacts)
        for summary in self._members.summaries.summaries.values():
            addresses.update(summary.gateways)
        addresses.discard(self._members.own.mesh)
        contacts = sorted(addresses)
        self._random.shuffle(contacts)
        return contacts

    async def _request_join_all(self, addresses: list[str]) -> bool:
        answers: list[bool] = []

        async def ask(address: str) -> None:
            answers.append(await self._request_join(address))

        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(ask, address)
        return any(answers)

    async def _request_join(self, address: str) -> bool:
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
        # The floor is raised first, so that no version below it is adopted.
        self._distribution.holder.raise_floor(reply.floor)
        now = time.monotonic()
        self._members.summaries.merge(reply.summaries, now)
        self._gossip.merge(reply.members)
        self._distribution.record_peer_version(
            reply.version, reply.digest, address
        )
        return True

    async def answer(
        self, stream: connection_pool.Stream, message: messages.JoinRequest
    ) -> None:
        """Replies to a joining daemon with members, summaries and its floor."""
        joiner = message.member
        floor = self._members.version_floor(joiner.mesh, joiner.zone)
        records = self._records_for(joiner)
        self._gossip.merge((joiner,))
        reply = messages.JoinReply(
            members=tuple(records),
            summaries=self._members.summaries.later_than(message.known),
            version=self._distribution.holder.version,
            digest=self._distribution.holder.digest,
            floor=max(floor, joiner.version),
        )
        await stream.send(reply)

    def _records_for(self, joiner: messages.Member) -> list[messages.Member]:
        own = self._members.own
        if joiner.zone != own.zone:
            return self._recent_joiners_for(joiner)
        known = self._members.members.get(joiner.instance)
        if known is None or known.incarnation != joiner.incarnation:
            return list(self._members.members.values())
        sampled = probing.sample(
            self._members.live,
            SAMPLED_MEMBERS,
            self._random,
            (own.instance, joiner.instance),
        )
        # The known record of the joiner lets it refute a wrong state.
        return [own, known, *sampled]

    def _recent_joiners_for(
        self, joiner: messages.Member
    ) -> list[messages.Member]:
        """Returns recent joiners from the zone of this joiner, and adds it."""
        recent_joiners = self._recent_joiners.setdefault(
            joiner.zone, collections.deque(maxlen=JOINERS_PER_ZONE)
        )
        others = [m for m in recent_joiners if m.instance != joiner.instance]
        recent_joiners.clear()
        recent_joiners.extend([*others, joiner])
        self._members.record_version(joiner.mesh, joiner.version)
        return others
