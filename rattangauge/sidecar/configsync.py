"""Keeps the daemon's configuration up to date.

A daemon that watches the store gets each new configuration from there. A daemon
that does not watch the store, or cannot reach it, pulls the configuration from
a peer that reports a newer version. If it cannot read what the peer sends, it
reads the store.
"""

from collections.abc import Callable
import math
import random as random_module
import time

import anyio

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge import supervision
from rattangauge.config import edition as edition_module
from rattangauge.generated import errorcodes
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool
from rattangauge.sidecar import configpull
from rattangauge.sidecar import editionhistory
from rattangauge.sidecar import stores
from rattangauge.sidecar import watchers
from rattangauge.sidecar import watchtimes

# Shortest watch, as a share of the longest. The watches of all daemons begin
# together after a change; they end at different times, so that the first daemon
# that notices a silent connection can tell the others.
MIN_WATCH_SHARE = 0.6
# Pause after a change, so that several changes in a row are read by one watch:
# each watch that ends costs the store a call.
HOLD_OFF_S = 0.3
# Time from a failed call of the store to the next one. It doubles with each
# failure in a row, up to the second value. A call that took longer before it
# failed is repeated at once.
RETRY_S = 0.15
MAX_RETRY_S = 1.0
# A daemon that watches the store pulls from a peer only if the store has not
# delivered the newer version within this time.
PULL_DELAY_S = 0.4
# Time between two checks for a peer with a newer version.
PULL_PERIOD_S = 0.2
# Time within which a peer must send its whole configuration.
PULL_TIMEOUT_S = 1.0
# Time between two checks whether the daemon must watch the store.
WATCH_CHECK_PERIOD_S = 0.1
# A follower that hears too few watchers begins to watch the store after this
# time. Until then watchers that have just become its sources can answer.
UNCONFIRMED_GRACE_S = 0.3
_STORE_LOOP = supervision.Loop("store watch")
_PULL_LOOP = supervision.Loop("pulls")

# Applies a configuration to the daemon.
Apply = Callable[[edition_module.Edition], None]


class ConfigSync:
    """Applies the newest configuration and sends it to peers that ask."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: stores.Store,
        peers: peers_module.PeerTable,
        links: connection_pool.Links,
        apply: Apply,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the state before the first configuration.

        Args:
            settings: Settings of the daemon.
            store: Store with the configuration.
            peers: Peers that may have a newer configuration.
            links: Connections to the peers.
            apply: Applies a configuration to the daemon.
            log: Log of decisions.
        """
        self._times = watchtimes.from_settings(settings.platform)
        self._store = store
        self._peers = peers
        self._sources = watchers.Sources(peers)
        self._links = links
        self._apply = apply
        self._log = log
        self._random = random_module.Random()
        self._is_store_reachable: bool | None = None
        self._is_watcher = True
        # Monotonic time since when too few watchers confirm that they hear the
        # store; infinite while enough of them do.
        self._unconfirmed_since = math.inf
        # Revision from which the store is watched; 0 to read it first.
        self._revision = 0
        # Whether the last answers brought several versions in a row.
        self._is_catching_up = False
        # Peers of the last successful and the last failed pull.
        self._last_source = ""
        self._failed_source = ""
        # Newest version that a peer sent and this daemon could not read.
        self._unreadable_version = 0
        self._outdated_since = 0.0
        self._store_answered_at = -math.inf
        self._history = editionhistory.EditionHistory()

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        current = self._history.current
        return current.version if current else 0

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store answered the last call."""
        return bool(self._is_store_reachable)

    @property
    def is_watching(self) -> bool:
        """Whether the daemon watches the store and got an answer lately."""
        age_s = time.monotonic() - self._store_answered_at
        return self.is_store_reachable and age_s < self._times.watching_ttl_s

    @property
    def _call_form(self) -> configpull.Form:
        """Form of the next call of the store."""
        return configpull.Form.WATCH if self._revision else configpull.Form.READ

    async def run(self) -> None:
        """Keeps the configuration up to date until cancelled."""
        async with anyio.create_task_group() as tasks:
            run, record = supervision.run, self._log.record
            tasks.start_soon(run, record, _STORE_LOOP, self._watch_store)
            tasks.start_soon(run, record, _PULL_LOOP, self._pull_from_peers)

    async def _watch_store(self) -> None:
        """Reads the store, then watches it, whenever this daemon must do so."""
        # After an unexpected error the last answer may not have been applied.
        self._restart_watch()
        failures = 0
        while True:
            if not self._must_watch():
                self._restart_watch()
                await anyio.sleep(WATCH_CHECK_PERIOD_S)
                continue
            requested_at = time.monotonic()
            try:
                await self._ask_store()
            except errors.CodedError as error:
                self._record_store_state(error)
                self._record_failed_call(error, requested_at)
                self._restart_watch()
                failures += error.code != errorcodes.STORE_COMPACTED
                waited_s = time.monotonic() - requested_at
                delay_s = self._retry_delay_s(failures) - waited_s
                await anyio.sleep(max(0.0, delay_s))
            else:
                failures = 0

    def _restart_watch(self) -> None:
        """Makes the next call of the store a read."""
        self._revision = 0
        self._is_catching_up = False

    async def _ask_store(self) -> None:
        """Reads the configuration, or waits for a change of it, and applies it.

        Raises:
            errors.CodedError: The store did not answer.
        """
        form = self._call_form
        requested_at = time.monotonic()
        if form is configpull.Form.WATCH:
            share = self._random.uniform(MIN_WATCH_SHARE, 1.0)
            result = await self._store.watch_configuration(
                self._revision, share * self._times.watch_s
            )
        else:
            result = await self._store.read_configuration()
        self._record_store_state(None)
        self._store_answered_at = time.monotonic()
        self._revision = result.revision
        if result.objects is not None:
            is_newer = result.version > self.version
            self._adopt_from_store(result, form, requested_at)
            self._choose_next_call(result, is_newer)
            await anyio.sleep(HOLD_OFF_S)
        elif not self._revision:
            await anyio.sleep(self._retry_delay_s(1))

    def _choose_next_call(
        self, result: stores.ConfigurationResult, is_newer: bool
    ) -> None:
        """Makes the next call a read while changes come fast, else a watch.

        A watch returns each version since the last call as a whole. On a slow
        link these take longer than the changes that they bring, so the daemon
        would fall further behind with each call; a read returns one version.

        Args:
            result: The last answer of the store.
            is_newer: Whether it had a newer version than the one in force.
        """
        has_several = result.answered_versions > 1
        self._is_catching_up = has_several or (
            self._is_catching_up and is_newer
        )
        if self._is_catching_up:
            self._revision = 0

    def _must_watch(self) -> bool:
        """Tells whether the daemon must read and watch the store itself."""
        if not self.version:
            return True
        now = time.monotonic()
        sources = self._sources.current()
        if not watchers.must_watch(
            sources, now, self._times.confirmation_ttl_s
        ):
            self._unconfirmed_since = math.inf
        else:
            self._unconfirmed_since = min(self._unconfirmed_since, now)
        unconfirmed_s = now - self._unconfirmed_since
        must_watch = unconfirmed_s >= 0.0 and (
            self._is_watcher
            or not sources
            or unconfirmed_s >= UNCONFIRMED_GRACE_S
        )
        # The peers that follow the store send what it has in force; one that
        # cannot read it gets it from the store itself.
        must_watch = must_watch or self.version < self._unreadable_version
        if must_watch is not self._is_watcher:
            self._is_watcher = must_watch
            self._record_role(sources, now)
        return must_watch

    def _record_role(
        self, sources: list[peers_module.Peer], now: float
    ) -> None:
        """Logs that the daemon begins or ceases to watch the store."""
        addresses = " ".join(peer.member.mesh for peer in sources)
        confirmed = len(
            watchers.confirmed(sources, now, self._times.confirmation_ttl_s)
        )
        self._log.record(
            logevents.ConfigRoleChanged(
                self._is_watcher, self.version, addresses, confirmed
            )
        )

    def _retry_delay_s(self, failures: int) -> float:
        """Returns the delay after a number of failures in a row, in seconds.

        It is random, so that daemons do not call the store all at once.
        """
        longest_delay_s = min(MAX_RETRY_S, RETRY_S * 2 ** min(failures, 8))
        return longest_delay_s * self._random.uniform(0.5, 1.0)

    def _record_store_state(self, error: errors.CodedError | None) -> None:
        """Logs a change between a reachable and an unreachable store."""
        is_reachable = error is None
        if is_reachable is self._is_store_reachable:
            return
        self._is_store_reachable = is_reachable
        if error is None:
            self._log.record(logevents.DependencyRegained("store"))
        else:
            self._log.record(
                logevents.DependencyLost("store", error.code, error.message)
            )

    def _record_failed_call(
        self, error: errors.CodedError, requested_at: float
    ) -> None:
        """Logs a failed call of the store.

        The age of the last answer tells a connection that went silent from a
        store that refuses calls.

        Args:
            error: Why the call failed.
            requested_at: Monotonic time of the call, in seconds.
        """
        answer_age_ms = -1
        if math.isfinite(self._store_answered_at):
            answer_age_ms = _elapsed_ms(self._store_answered_at)
        self._log.record(
            logevents.StoreCallFailed(
                call=self._call_form.value,
                version=self.version,
                waited_ms=_elapsed_ms(requested_at),
                answer_age_ms=answer_age_ms,
                code=error.code,
                reason=error.message,
            )
        )

    def _adopt_from_store(
        self,
        result: stores.ConfigurationResult,
        form: configpull.Form,
        requested_at: float,
    ) -> None:
        """Applies the configuration of an answer of the store if it is newer.

        Args:
            result: The answer, with a configuration.
            form: How the store was asked.
            requested_at: Monotonic time of the request, in seconds.
        """
        if result.version <= self.version or result.objects is None:
            return
        # Digest and data stay empty until a peer asks for the whole
        # configuration.
        edition = edition_module.Edition(
            result.version, "", result.objects, b""
        )
        versions = result.answered_versions
        self._adopt(
            configpull.Delivery(edition, "store", form, versions, requested_at)
        )

    def _adopt(self, delivery: configpull.Delivery) -> None:
        """Applies a newer configuration."""
        edition = delivery.edition
        before = self.version
        # Nothing counts as in force if this fails.
        self._apply(edition)
        self._history.add(edition)
        self._outdated_since = 0.0
        self._log.record(
            logevents.ConfigUsed(
                version=edition.version,
                before=before,
                source=delivery.source,
                form=delivery.form.value,
                versions=delivery.versions,
                took_ms=_elapsed_ms(delivery.requested_at),
            )
        )

    async def _pull_from_peers(self) -> None:
        """Pulls a newer configuration from a peer.

        A daemon that watches the store leaves it time to deliver the version
        first.
        """
        while True:
            await anyio.sleep(PULL_PERIOD_S)
            peer = self._choose_source()
            if peer is None:
                self._outdated_since = 0.0
                continue
            now = time.monotonic()
            if not self._outdated_since:
                self._outdated_since = now
            is_due = now - self._outdated_since >= PULL_DELAY_S
            if not self.version or is_due or not self._must_watch():
                await self._pull(peer)

    def _choose_source(self) -> peers_module.Peer | None:
        """Returns the peer to pull from; None if none has a newer version.

        The peer of the last pull has the version in force, so it can send the
        changes alone. Polled watchers have an open connection. Of the others,
        reachable ones with the newest version come first, then those in the
        daemon's own zone.
        """
        zone = self._peers.own.member.zone
        sources = self._sources.current()
        newer = [
            peer
            for peer in self._peers.others()
            if peer.member.version > self.version
        ]
        self._random.shuffle(newer)

        def rank(peer: peers_module.Peer) -> tuple[bool | int, ...]:
            member = peer.member
            return (
                member.mesh != self._failed_source,
                not peer.failures,
                member.mesh == self._last_source,
                peer in sources,
                member.version,
                member.zone == zone,
            )

        return max(newer, key=rank, default=None)

    async def _pull(self, peer: peers_module.Peer) -> None:
        """Pulls the configuration of a peer and applies it if it is newer."""
        address = peer.member.mesh
        wanted = peer.member.version
        requested_at = time.monotonic()
        # After an unexpected error another peer is asked first.
        self._failed_source = address
        try:
            with anyio.fail_after(PULL_TIMEOUT_S):
                delivery = await configpull.receive(
                    self._links, address, self._history.current
                )
        except errors.CodedError as error:
            code, reason = error.code, error.message
        except errors.FindingsError as error:
            code, reason = error.findings[0].code, str(error)
            self._unreadable_version = max(self._unreadable_version, wanted)
        except TimeoutError:
            code = errorcodes.LINK_SILENT
            reason = f"no whole answer in {PULL_TIMEOUT_S} s"
        else:
            if delivery is not None:
                if delivery.edition.version > self.version:
                    self._adopt(delivery)
                self._last_source, self._failed_source = address, ""
                return
            code = errorcodes.CALL_NOT_READY
            reason = "the peer has no newer configuration to send"
        self._log.record(
            logevents.ConfigPullFailed(
                version=self.version,
                wanted=wanted,
                peer=address,
                code=code,
                reason=reason,
                took_ms=_elapsed_ms(requested_at),
            )
        )

    async def serve(
        self, stream: connection_pool.Stream, request: messages.EditionRequest
    ) -> None:
        """Sends the configuration in force to a peer."""
        await self._history.serve(stream, request)


def _elapsed_ms(since: float) -> int:
    """Returns the time since a monotonic time, in milliseconds."""
    return round((time.monotonic() - since) * 1000)
