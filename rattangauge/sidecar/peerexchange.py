"""Tells the peers of the daemon, and finds the peers in the store."""

import random as random_module
import time

import anyio
import anyio.abc
import loguru

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool
from rattangauge.sidecar import configsync
from rattangauge.sidecar import localupstream
from rattangauge.sidecar import stores
from rattangauge.sidecar import watchers

REPLY_TIMEOUT_S = 0.5
# Exchanges that a daemon begins in a second; in a larger fleet each peer hears
# less often, and learns the load of the others from their answers.
NEWS_PER_S = 10.0
# Another zone hears less often: bytes between zones cost more.
OTHER_ZONE_FACTOR = 2.0
# A peer that cannot be reached is tried again after this time.
RETRY_S = 0.3
MAX_RETRY_S = 1.0
# A peer that was not reached for this time is forgotten; the directory names
# it again if it is there.
FORGET_S = 60.0
DIRECTORY_PERIOD_S = 10.0
DIRECTORY_RETRY_S = 0.3


def news_period_s(least_s: float, peers: int) -> float:
    """Returns the time between two exchanges with one peer, in seconds.

    Args:
        least_s: Period of a small fleet.
        peers: Daemons of the fleet.

    >>> news_period_s(1.0, 11), news_period_s(1.0, 100)
    (1.1, 10.0)
    """
    return max(least_s, peers / NEWS_PER_S)


class PeerExchange:
    """Exchanges news with all peers."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: stores.Store,
        peers: peers_module.PeerTable,
        links: connection_pool.Links,
        local_upstream: localupstream.LocalUpstream,
        config_sync: configsync.ConfigSync,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the part; ``run`` starts it."""
        self._settings = settings
        self._store = store
        self._peers = peers
        self._links = links
        self._local_upstream = local_upstream
        self._config_sync = config_sync
        self._log = log
        self._changed = anyio.Event()
        self._told: set[str] = set()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._random = random_module.Random()
        self._is_leaving = False

    async def run(self) -> None:
        """Exchanges news until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._follow_directory)

    def refresh(self) -> None:
        """Tells all peers at once that the daemon's own record has changed."""
        self._update_own()
        self._changed.set()
        self._changed = anyio.Event()

    async def leave(self) -> None:
        """Tells the peers that the daemon takes no more calls."""
        self._is_leaving = True
        self.refresh()

    def _update_own(self) -> messages.PeerNews:
        own = self._peers.own
        upstream = self._local_upstream.upstream
        service = self._settings.instance.service
        slots = 0
        if upstream is not None:
            service = upstream.heartbeat.service
            slots = upstream.heartbeat.slots
        state = messages.MemberState.ALIVE
        if self._is_leaving:
            state = messages.MemberState.LEFT
        own.member = own.member._replace(
            service=service,
            slots=slots,
            state=state,
            upstream=self._local_upstream.state,
            version=self._config_sync.version,
            watches=self._config_sync.watches,
            counter=own.member.counter + 1,
        )
        load = self._local_upstream.load
        own.report(load, time.monotonic())
        return messages.PeerNews(own.member, load)

    async def answer(
        self, stream: connection_pool.Stream, news: messages.PeerNews
    ) -> None:
        """Takes the news of a peer and answers with the daemon's own."""
        is_new = self._peers.take(news, time.monotonic())
        self._tell_new(news.member.mesh)
        if is_new:
            await stream.send(self._update_own())
        else:
            version = self._config_sync.version
            watches = self._config_sync.watches
            await stream.send(messages.VersionAck(version, "", watches))

    def _tell_new(self, address: str) -> None:
        """Starts to exchange news with a peer, if that has not begun."""
        if self._tasks is None or address in self._told:
            return
        if address == self._peers.own.member.mesh:
            return
        self._told.add(address)
        self._tasks.start_soon(self._tell, address)

    async def _tell(self, address: str) -> None:
        """Tells one peer until it is forgotten."""
        reached_at = time.monotonic()
        while True:
            peer = self._peers.get(address)
            if peer is None:
                break
            changed = self._changed
            now = time.monotonic()
            if await self._exchange(address):
                reached_at = now
                pause_s = self._period_s(peer)
            elif now - reached_at > FORGET_S:
                break
            else:
                failures = min(peer.failures, 6)
                longest_s = min(MAX_RETRY_S, RETRY_S * 1.5**failures)
                pause_s = longest_s * self._random.uniform(0.5, 1.0)
            with anyio.move_on_after(pause_s):
                await changed.wait()
        self._told.discard(address)
        self._peers.remove(address)
        loguru.logger.info("peer {} is forgotten", address)

    def _period_s(self, peer: peers_module.Peer) -> float:
        period_s = news_period_s(
            self._settings.mesh.news_period_s, len(self._peers)
        )
        if peer in watchers.sources(self._peers):
            period_s = min(period_s, watchers.SOURCE_PERIOD_S)
        elif peer.member.zone != self._settings.instance.zone:
            period_s *= OTHER_ZONE_FACTOR
        return period_s * self._random.uniform(0.8, 1.2)

    async def _exchange(self, address: str) -> bool:
        """Tells a peer; returns whether it answered."""
        news = self._update_own()
        try:
            reply = await self._links.request(
                address, news, REPLY_TIMEOUT_S, connection_pool.CALLS
            )
        except errors.CodedError as error:
            self._note_lost(address, error)
            return False
        peer = self._peers.get(address)
        if isinstance(reply, messages.PeerNews):
            self._peers.take(reply, time.monotonic())
            peer = self._peers.get(address)
        if peer is not None:
            if isinstance(reply, messages.VersionAck):
                version = max(reply.version, peer.member.version)
                peer.member = peer.member._replace(version=version)
                peer.tell_watching(reply.watches, time.monotonic())
            if peer.failures:
                self._log.record(logevents.DependencyRegained(address))
            peer.reached()
        return True

    def _note_lost(self, address: str, error: errors.CodedError) -> None:
        peer = self._peers.get(address)
        if peer is None:
            return
        if not peer.failures:
            self._log.record(
                logevents.DependencyLost(address, error.code, error.message)
            )
        peer.failed(time.monotonic())

    async def _follow_directory(self) -> None:
        """Keeps the daemon in the directory and learns of the others."""
        is_first = True
        while True:
            try:
                await self._read_directory(is_first)
            except errors.CodedError as error:
                loguru.logger.debug("the directory is not read: {}", error)
                pause_s = DIRECTORY_RETRY_S
            else:
                is_first = False
                pause_s = DIRECTORY_PERIOD_S
            await anyio.sleep(pause_s * self._random.uniform(0.7, 1.3))

    async def _read_directory(self, is_first: bool) -> None:
        own = self._peers.own.member
        entry = stores.Entry(own.mesh, own.zone, own.region)
        if is_first:
            # Of two daemons that start together, the later one to read sees
            # the other.
            await self._store.enter(entry)
        entries = await self._store.entries(may_be_old=not is_first)
        if entry not in entries and not self._is_leaving:
            await self._store.enter(entry)
        for other in entries:
            self._add(other)

    def _add(self, entry: stores.Entry) -> None:
        member = messages.Member(
            mesh=entry.mesh, zone=entry.zone, region=entry.region
        )
        if self._peers.add(member) is not None:
            self._tell_new(entry.mesh)
