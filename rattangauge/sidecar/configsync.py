"""Follows the configuration in the store, and through the peers without it."""

from collections import deque
from collections.abc import Callable
import math
import random as random_module
import time

import anyio
import loguru

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge.config import delta
from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import errorcodes
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool
from rattangauge.sidecar import stores
from rattangauge.sidecar import watchers

# A silent connection shows after one watch, so a watch is short.
WATCH_S = 3.0
# Changes in a row are read together; each watch that ends is a call.
HOLD_OFF_S = 0.3
RETRY_S = 0.15
MAX_RETRY_S = 1.0
# The configuration of a peer is pulled if the store has not brought it by then.
PULL_AFTER_S = 0.4
PULL_PERIOD_S = 0.2
PULL_TIMEOUT_S = 1.0
# Time between two looks at whether others still watch the store.
ROLE_CHECK_S = 0.1
# A watch that has begun is worth this much longer than it may last.
WATCH_GRACE_S = 0.5
# Older configurations that peers may hold, as bases of what is sent to them.
KEPT_BASES = 8

# Puts a configuration in force.
Use = Callable[[edition_module.Edition], None]


class ConfigSync:
    """Keeps the newest configuration in force."""

    def __init__(
        self,
        store: stores.Store,
        peers: peers_module.PeerTable,
        links: connection_pool.Links,
        use: Use,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the part without a configuration.

        Args:
            store: The store.
            peers: Peers that may have a newer configuration.
            links: Connections to them.
            use: Puts a configuration in force.
            log: Log of decisions.
        """
        self._store = store
        self._peers = peers
        self._links = links
        self._use = use
        self._log = log
        self._current: edition_module.Edition | None = None
        self._random = random_module.Random()
        self._is_reachable: bool | None = None
        self._behind_since = 0.0
        self._heard_store_at = -math.inf
        self._bases: deque[edition_module.Edition] = deque(maxlen=KEPT_BASES)
        # What turns an older version into the one in force.
        self._deltas: dict[int, bytes] = {}

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none."""
        return self._current.version if self._current else 0

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last call of the store succeeded."""
        return bool(self._is_reachable)

    @property
    def watches(self) -> bool:
        """Whether the daemon watches the store and hears it."""
        age_s = time.monotonic() - self._heard_store_at
        return self.is_store_reachable and age_s < WATCH_S + WATCH_GRACE_S

    async def run(self) -> None:
        """Follows the configuration until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_store)
            tasks.start_soon(self._follow_peers)

    async def _follow_store(self) -> None:
        revision = 0
        failures = 0
        while True:
            if not self._must_watch():
                revision = 0
                await anyio.sleep(ROLE_CHECK_S)
                continue
            try:
                if revision:
                    found = await self._store.watch_configuration(
                        revision, WATCH_S
                    )
                else:
                    found = await self._store.read_configuration()
            except errors.CodedError as error:
                self._note_store(error)
                revision = 0
                failures += error.code != errorcodes.STORE_COMPACTED
                await anyio.sleep(self._pause_s(failures))
                continue
            self._note_store(None)
            self._heard_store_at = time.monotonic()
            failures = 0
            revision = found.revision
            if found.objects is not None:
                self._take(found.version, found.objects)
                await anyio.sleep(HOLD_OFF_S)
            elif not found.version and not self.version:
                revision = 0
                await anyio.sleep(self._pause_s(1))

    def _must_watch(self) -> bool:
        if not self.version:
            return True
        sources = watchers.sources(self._peers)
        return watchers.must_watch(sources, time.monotonic())

    def _pause_s(self, failures: int) -> float:
        longest_s = min(MAX_RETRY_S, RETRY_S * 2 ** min(failures, 8))
        return longest_s * self._random.uniform(0.5, 1.0)

    def _note_store(self, error: errors.CodedError | None) -> None:
        is_reachable = error is None
        if is_reachable is self._is_reachable:
            return
        self._is_reachable = is_reachable
        if error is None:
            self._log.record(logevents.DependencyRegained("store"))
        else:
            self._log.record(
                logevents.DependencyLost("store", error.code, error.message)
            )

    def _take(self, version: int, objects: objects_module.ObjectSet) -> None:
        if version <= self.version:
            return
        # It is encoded when a peer asks for it.
        edition = edition_module.Edition(version, "", objects, b"")
        self._adopt(edition, "store")

    def _adopt(self, edition: edition_module.Edition, source: str) -> None:
        self._log.record(
            logevents.ConfigUsed(edition.version, self.version, source)
        )
        if self._current is not None:
            self._bases.append(self._current._replace(data=b""))
        self._deltas.clear()
        self._current = edition
        self._behind_since = 0.0
        self._use(edition)

    async def _follow_peers(self) -> None:
        """Pulls a newer configuration from a peer that has it for a while."""
        while True:
            await anyio.sleep(PULL_PERIOD_S)
            newest = self._newest()
            if newest is None or newest.member.version <= self.version:
                self._behind_since = 0.0
                continue
            now = time.monotonic()
            if not self._behind_since:
                self._behind_since = now
            is_due = now - self._behind_since >= PULL_AFTER_S
            if not self.version or is_due or not self._must_watch():
                await self._pull(newest.member.mesh)

    def _newest(self) -> peers_module.Peer | None:
        """Returns a peer with the newest version, of the own zone if any."""
        zone = self._peers.own.member.zone
        others = self._peers.others()
        self._random.shuffle(others)
        return max(
            others,
            key=lambda peer: (peer.member.version, peer.member.zone == zone),
            default=None,
        )

    async def _pull(self, address: str) -> None:
        request = messages.EditionRequest(self.version)
        try:
            with anyio.fail_after(PULL_TIMEOUT_S):
                edition = await self._receive(address, request)
        except (errors.CodedError, errors.FindingsError, TimeoutError) as error:
            loguru.logger.warning(
                "no configuration from {}: {}", address, error
            )
            return
        if edition is not None and edition.version > self.version:
            self._adopt(edition, address)

    async def _receive(
        self, address: str, request: messages.EditionRequest
    ) -> edition_module.Edition | None:
        pieces = []
        async with self._links.stream(address, connection_pool.CALLS) as stream:
            await stream.send(request)
            while True:
                part = await stream.receive()
                if not isinstance(part, messages.EditionPart):
                    return None
                pieces.append(part.data)
                if part.last:
                    break
        data = b"".join(pieces)
        if not part.delta:
            return edition_module.decode(part.version, part.digest, data)
        if self._current is None or part.version <= self.version:
            return None
        return delta.apply_by_version(self._current, part.version, data)

    async def serve(
        self, stream: connection_pool.Stream, request: messages.EditionRequest
    ) -> None:
        """Sends the configuration in force to a peer."""
        if self._current is None:
            code = errorcodes.CALL_NOT_READY
            await stream.send(messages.EditionRefused(code, 1000))
            return
        changes = self._delta_from(request.have_version)
        if changes is not None:
            version = self.version
            part = messages.EditionPart(version, "", True, changes, True)
            await stream.send(part)
            return
        current = self._current = _encoded(self._current)
        parts = edition_module.split(current.data)
        for number, data in enumerate(parts, 1):
            is_last = number == len(parts)
            await stream.send(
                messages.EditionPart(
                    current.version, current.digest, False, data, is_last
                )
            )

    def _delta_from(self, version: int) -> bytes | None:
        """Returns what turns a version into the one in force, if known."""
        assert self._current is not None
        if version not in self._deltas:
            bases = [base for base in self._bases if base.version == version]
            if not bases:
                return None
            made = delta.make_by_version(bases[-1], self._current)
            self._deltas[version] = made
        return self._deltas[version]


def _encoded(edition: edition_module.Edition) -> edition_module.Edition:
    """Returns an edition with its data, as peers receive it."""
    if edition.data:
        return edition
    data = edition_module.encode(edition.objects)
    return edition._replace(data=data, digest=edition_module.digest_of(data))
