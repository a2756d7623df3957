"""Exchanges state with the peers.

Each daemon reports its own state to all others at an interval, and at once when
its upstream changes. It finds the others in the store's directory of daemons,
and through the reports that it receives.
"""

import math
import random as random_module
import time

import anyio
import anyio.abc
import loguru

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge import supervision
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.membership import heartbeats
from rattangauge.membership import peers as peers_module
from rattangauge.membership import zone_loads as zone_loads_module
from rattangauge.net import connection_pool
from rattangauge.sidecar import configsync
from rattangauge.sidecar import directory
from rattangauge.sidecar import localupstream
from rattangauge.sidecar import stores
from rattangauge.sidecar import watchers
from rattangauge.sidecar import watchtimes

# Time within which a peer must answer a report.
REPLY_TIMEOUT_S = 0.5
# Time within which a polled watcher must answer. It is longer, since its late
# answer still carries the newest version, and a failure replaces the watcher.
SOURCE_REPLY_TIMEOUT_S = 1.0
# Time between two checks whether a watcher must be polled.
SOURCE_CHECK_PERIOD_S = 0.1
# Exchanges that a daemon starts in a second. In a large fleet each peer gets
# fewer reports; daemons also learn the load of others from answers to calls.
MAX_EXCHANGES_PER_S = 10.0
# Peers in other zones get fewer reports, as traffic between zones costs more;
# still fewer in a fleet so large that a load report has expired before the next
# one anyway.
OTHER_ZONE_FACTOR = 2.0
LARGE_FLEET_OTHER_ZONE_FACTOR = 4.0
# Delay before the next exchange with an unreachable peer. It grows with each
# failure in a row, up to the second value.
RETRY_S = 0.3
MAX_RETRY_S = 1.0
# Time over which a daemon of a fleet with more than the second value of daemons
# spreads its first reports.
FIRST_EXCHANGE_SPREAD_S = 0.5
MAX_DAEMONS_WITHOUT_SPREAD = 30
# The reply to a report is whole while the peer has been known for less.
FULL_REPLY_S = 5.0
# A peer that has been unreachable for this time is removed. If the directory
# still lists it, it is added again.
REMOVE_AFTER_S = 60.0

_DIRECTORY_LOOP = supervision.Loop("directory")
_POLL_LOOP = supervision.Loop("polls")
_CHANGE_LOOP = supervision.Loop("reports of changes")


def exchange_period_s(min_period_s: float, peers: int) -> float:
    """Returns the time between two exchanges with one peer, in seconds.

    Args:
        min_period_s: Period in a small fleet, in seconds.
        peers: Number of daemons in the fleet.

    >>> exchange_period_s(1.0, 11), exchange_period_s(1.0, 100)
    (1.1, 10.0)
    """
    return max(min_period_s, peers / MAX_EXCHANGES_PER_S)


def other_zone_factor(period_s: float) -> float:
    """Returns by how much exchanges with peers of other zones are rarer.

    Args:
        period_s: Time between two exchanges in the own zone, in seconds.

    >>> other_zone_factor(1.1), other_zone_factor(10.0)
    (2.0, 4.0)
    """
    if period_s > peers_module.LOAD_EXPIRY_S:
        return LARGE_FLEET_OTHER_ZONE_FACTOR
    return OTHER_ZONE_FACTOR


class PeerExchange:
    """Reports the state of the daemon to all peers and receives theirs."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: stores.Store,
        peers: peers_module.PeerTable,
        links: connection_pool.Links,
        local_upstream: localupstream.LocalUpstream,
        config_sync: configsync.ConfigSync,
        zone_loads: zone_loads_module.ZoneLoads,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the exchange; ``run`` starts it.

        Args:
            settings: Settings of the daemon.
            store: Store with the directory of daemons.
            peers: Table that is updated with the state of the peers.
            links: Connections to the peers.
            local_upstream: Upstream whose state and load are reported.
            config_sync: Source of the configuration version that is reported.
            zone_loads: Loads of the other zones, which their daemons report.
            log: Log of decisions.
        """
        self._settings = settings
        times = watchtimes.from_settings(settings.platform)
        self._poll_period_s = times.poll_period_s
        self._directory = directory.Directory(
            store, peers, self._start_exchange, log
        )
        self._peers = peers
        self._sources = watchers.Sources(peers)
        self._links = links
        self._local_upstream = local_upstream
        self._config_sync = config_sync
        self._zone_loads = zone_loads
        self._log = log
        self._own_changed = anyio.Event()
        # Monotonic time at which each peer with an exchange was last reached,
        # or the exchange was started, by address.
        self._exchanging: dict[str, float] = {}
        self._polling: set[str] = set()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._random = random_module.Random()
        self._is_stopping = False

    async def run(self) -> None:
        """Exchanges state with the peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for loop, function in (
                (_DIRECTORY_LOOP, self._directory.follow),
                (_POLL_LOOP, self._poll_sources),
                (_CHANGE_LOOP, self._report_upstream_changes),
            ):
                record = self._log.record
                tasks.start_soon(supervision.run, record, loop, function)

    async def _report_upstream_changes(self) -> None:
        """Reports each change of the local upstream to all peers at once.

        The first report is of changes that came before, such as those after an
        unexpected error.
        """
        while True:
            self._refresh()
            await self._local_upstream.wait_reported_change()

    def _refresh(self) -> None:
        """Reports the changed state of the daemon to all peers at once."""
        self._refresh_own_report()
        self._own_changed.set()
        self._own_changed = anyio.Event()

    async def announce_stop(self) -> None:
        """Tells all peers that the daemon accepts no more calls."""
        self._is_stopping = True
        self._directory.stop()
        self._refresh()

    def _refresh_own_report(self) -> messages.PeerNews:
        """Updates the daemon's own record and returns it as a report."""
        own = self._peers.own
        upstream = self._local_upstream.upstream
        service = self._settings.instance.service
        slots = 0
        upstream_version = ""
        if upstream is not None:
            service = service or upstream.heartbeat.service
            slots = upstream.heartbeat.slots
            upstream_version = upstream.heartbeat.version
        state = messages.MemberState.ALIVE
        if self._is_stopping:
            state = messages.MemberState.LEFT
        own.member = own.member._replace(
            service=service,
            slots=slots,
            state=state,
            upstream=self._local_upstream.state,
            version=self._config_sync.version,
            watches=self._config_sync.is_watching,
            upstream_version=upstream_version,
            counter=own.member.counter + 1,
        )
        load = self._local_upstream.load
        own.update_load(load, time.monotonic())
        departure = self._local_upstream.last_departure
        leaving: tuple[messages.LeavingUpstream, ...] = ()
        if departure is not None and departure.started_ms:
            leaving = (messages.LeavingUpstream(own.member.mesh, *departure),)
        return messages.PeerNews(own.member, load, leaving=leaving)

    def _report_to(self, address: str) -> messages.PeerNews:
        """Returns the daemon's report for one peer.

        It says which upstream of the peer was last known to leave: the peer may
        have restarted since it acknowledged that.
        """
        report = self._refresh_own_report()
        peer = self._peers.get(address)
        own_zone = self._settings.instance.zone
        if peer is not None and peer.member.zone != own_zone:
            loads = zone_loads_module.report(self._peers, time.monotonic())
            report = report._replace(zone_loads=loads)
        if peer is None or peer.leaving is None:
            return report
        return report._replace(leaving=(*report.leaving, peer.leaving))

    def _update_peers(self, report: messages.PeerNews) -> None:
        """Applies the report of a peer to the table and the local upstream."""
        now = time.monotonic()
        self._peers.update(report, now)
        self._zone_loads.record(report.member.zone, report.zone_loads, now)
        own_mesh = self._peers.own.member.mesh
        for process in report.leaving:
            if process.mesh == own_mesh:
                departure = heartbeats.Departure(
                    process.instance, process.started_ms
                )
                self._local_upstream.apply_departure(departure)

    async def handle_report(
        self, stream: connection_pool.Stream, report: messages.PeerNews
    ) -> None:
        """Handles the report of a peer.

        If the peer's present process has been known only for a short time, the
        reply is the daemon's own report, since an earlier reply may have been
        lost; else it is an acknowledgement with the version of the
        configuration.
        """
        now = time.monotonic()
        address = report.member.mesh
        self._update_peers(report)
        peer = self._peers.get(address)
        self._start_exchange(address)
        if peer is not None and now - peer.known_since < FULL_REPLY_S:
            await stream.send(self._report_to(address))
        else:
            version = self._config_sync.version
            watches = self._config_sync.is_watching
            await stream.send(messages.VersionAck(version, "", watches))

    def _start_exchange(self, address: str) -> None:
        """Starts the exchange with a peer, unless it has been started."""
        if self._tasks is None or address in self._exchanging:
            return
        if address == self._peers.own.member.mesh:
            return
        self._exchanging[address] = time.monotonic()
        self._tasks.start_soon(
            supervision.run,
            self._log.record,
            supervision.Loop("exchange with a peer", address),
            self._exchange_until_removed,
            address,
            self._own_changed,
        )

    async def _exchange_until_removed(
        self, address: str, own_changed: anyio.Event
    ) -> None:
        """Reports to one peer, then removes it from the table.

        Args:
            address: Mesh address of the peer.
            own_changed: Event of the next change of the own state.
        """
        # Exchanges that end with an unexpected error reach no peer.
        if not self._is_lost(address):
            await self._wait_for_first_exchange(address, own_changed)
            await self._exchange_repeatedly(address)
        self._exchanging.pop(address, None)
        self._peers.remove(address)
        loguru.logger.info("removed peer {} from the peer table", address)

    def _is_lost(self, address: str) -> bool:
        """Tells whether a peer has been unreachable for too long."""
        unreached_s = time.monotonic() - self._exchanging[address]
        return unreached_s > REMOVE_AFTER_S

    async def _exchange_repeatedly(self, address: str) -> None:
        """Reports to one peer until it is unreachable or unknown."""
        while True:
            peer = self._peers.get(address)
            if peer is None:
                return
            own_changed = self._own_changed
            now = time.monotonic()
            if await self._exchange(address):
                self._exchanging[address] = now
                pause_s = self._period_s(peer)
            elif self._is_lost(address):
                return
            else:
                failures = min(peer.failures, 6)
                longest_s = min(MAX_RETRY_S, RETRY_S * 1.5**failures)
                pause_s = longest_s * self._random.uniform(0.5, 1.0)
            with anyio.move_on_after(pause_s):
                await own_changed.wait()

    async def _wait_for_first_exchange(
        self, address: str, own_changed: anyio.Event
    ) -> None:
        """Waits until a peer must be sent the first report.

        A peer that has reported got this daemon's report in reply, so it is due
        a period later, or at the next change. In a large fleet the others are
        called at different times: of two daemons that learn of each other from
        the directory, one is then called by the other and opens no connection.
        """
        spread_s = FIRST_EXCHANGE_SPREAD_S
        if len(self._peers) <= MAX_DAEMONS_WITHOUT_SPREAD:
            spread_s = 0.0
        with anyio.move_on_after(spread_s * self._random.random()):
            await own_changed.wait()
        peer = self._peers.get(address)
        if peer is not None and peer.has_reported:
            with anyio.move_on_after(self._period_s(peer)):
                await own_changed.wait()

    def _period_s(self, peer: peers_module.Peer) -> float:
        """Returns the time to the next exchange with a reachable peer."""
        period_s = exchange_period_s(
            self._settings.mesh.news_period_s, len(self._peers)
        )
        if peer.member.zone != self._settings.instance.zone:
            period_s *= other_zone_factor(period_s)
        return period_s * self._random.uniform(0.8, 1.2)

    async def _poll_sources(self) -> None:
        """Polls the watchers that the daemon follows.

        A watcher that has just become a source is polled at once, so that the
        daemon need not watch the store until it hears from it.
        """
        polled_at: dict[str, float] = {}
        while True:
            now = time.monotonic()
            sources = self._sources.current()
            addresses = {peer.member.mesh for peer in sources}
            polled_at = {
                address: at
                for address, at in polled_at.items()
                if address in addresses
            }
            for address in addresses:
                last_at = polled_at.get(address, -math.inf)
                if now - last_at >= self._poll_period_s:
                    polled_at[address] = now
                    self._start_poll(address)
            await anyio.sleep(SOURCE_CHECK_PERIOD_S)

    def _start_poll(self, address: str) -> None:
        """Starts an exchange with a watcher, unless one is under way."""
        if self._tasks is not None and address not in self._polling:
            self._polling.add(address)
            self._tasks.start_soon(self._poll, address)

    async def _poll(self, address: str) -> None:
        loop = supervision.Loop("poll", address)
        try:
            await supervision.attempt(
                self._log.record,
                loop,
                self._exchange,
                address,
                SOURCE_REPLY_TIMEOUT_S,
            )
        finally:
            self._polling.discard(address)

    async def _exchange(
        self, address: str, timeout_s: float = REPLY_TIMEOUT_S
    ) -> bool:
        """Sends a report to a peer; returns whether the peer answered.

        Args:
            address: Mesh address of the peer.
            timeout_s: Time within which it must answer, in seconds.
        """
        report = self._report_to(address)
        try:
            reply = await self._links.request(
                address, report, timeout_s, connection_pool.SMALL_BODIES
            )
        except errors.CodedError as error:
            self._record_failure(address, error)
            return False
        peer = self._peers.get(address)
        if isinstance(reply, messages.PeerNews):
            self._update_peers(reply)
            peer = self._peers.get(address)
        if peer is not None:
            if isinstance(reply, messages.VersionAck):
                version = max(reply.version, peer.member.version)
                peer.member = peer.member._replace(
                    version=version, watches=reply.watches
                )
                peer.set_watching(reply.watches, time.monotonic())
            if peer.failures:
                self._log.record(logevents.DependencyRegained(address))
            peer.record_success()
        return True

    def _record_failure(self, address: str, error: errors.CodedError) -> None:
        """Logs the first of several failures in a row and counts each."""
        peer = self._peers.get(address)
        if peer is None:
            return
        if not peer.failures:
            self._log.record(
                logevents.DependencyLost(address, error.code, error.message)
            )
        peer.record_failure(time.monotonic())
