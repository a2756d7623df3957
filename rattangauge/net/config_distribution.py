"""Distributes editions of the configuration between daemons.

A daemon that adopts a new edition sends hints to others, which pull the edition
from it. Hints and other messages carry versions, so that a daemon learns of a
newer edition.
"""

from collections.abc import Callable
import random as random_module

import anyio

from rattangauge import errors
from rattangauge import events as events_module
from rattangauge import log
from rattangauge import metrics
from rattangauge import settings as settings_module
from rattangauge.config import edition as edition_module
from rattangauge.config import pulls
from rattangauge.config import versions
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.membership import probing
from rattangauge.net import connection_pool

# Members that get a hint from each daemon that adopts an edition.
HINTS_PER_VERSION = 4
HINT_TIMEOUT_S = 1.0
PULL_TIMEOUT_S = 10.0
# Size of one message with a part of an edition. A frame holds at most 1 MiB.
PART_BYTES = 524_288
# Mean delay after which a daemon may ask again one that is busy with transfers.
BUSY_RETRY_MS = 200


class ConfigDistribution:
    """Holds the edition in force and exchanges editions with other daemons."""

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: connection_pool.Links,
        events: events_module.Events,
        on_adopt: Callable[[edition_module.Edition], None],
    ) -> None:
        """Creates the object without an edition; ``run`` starts the exchange.

        Args:
            settings: Settings of the daemon.
            table: Members of the zone.
            links: Connections to other daemons.
            events: Recorder of operational events.
            on_adopt: Called with each edition that is put in force.
        """
        self._settings = settings
        self._members = table
        self._links = links
        self._events = events
        self._on_adopt = on_adopt
        self._random = random_module.Random()
        self._holder = versions.ActiveEdition()
        self._wanted = pulls.WantedEdition()
        self._wanted_changed = anyio.Event()
        self._adopted = anyio.Event()
        self._source_address = ""
        self._full_transfers = 0
        self._delta_cache: dict[tuple[int, str], bytes | None] = {}
        self._rejected = (0, "")
        self._on_change: Callable[[], None] = lambda: None

    @property
    def holder(self) -> versions.ActiveEdition:
        """The edition in force and the lowest version that may be adopted."""
        return self._holder

    @property
    def rejected(self) -> tuple[int, str]:
        """Last rejected version and its error code, or 0 and an empty code."""
        return self._rejected

    def notify(self, on_change: Callable[[], None]) -> None:
        """Sets a function to call after an edition is adopted or rejected."""
        self._on_change = on_change

    def record_peer_version(
        self, version: int, digest: str, address: str
    ) -> None:
        """Records the version of another daemon, to pull it if it is newer."""
        current = self._holder.version
        if version == current and digest != self._holder.digest and version:
            self._reject(
                version, digest, self._holder.evaluate(version, digest)
            )
        if not self._holder.wants(version, digest):
            return
        if self._wanted.add_source(version, digest, address):
            self._wanted_changed.set()

    def apply_edition(
        self, offered: versions.OfferedEdition, source_address: str
    ) -> versions.AdoptionResult:
        """Puts an edition in force if it is newer, complete and consistent.

        Args:
            offered: The edition or a delta to it.
            source_address: Mesh address of the sender; empty for the store.
        """
        result = self._holder.take(offered)
        if result.code:
            self._reject(offered.version, offered.digest, result)
        if result.decision is not versions.Decision.ADOPT:
            return result
        edition = self._holder.current
        self._on_adopt(edition)
        self._delta_cache = {}
        self._source_address = source_address
        if self._wanted.version <= edition.version:
            self._wanted.clear()
        if self._rejected[0] <= edition.version:
            self._rejected = (0, "")
        metrics.VERSION.set(edition.version)
        self._events.record(
            f"version {edition.version}",
            "put in force",
            f"it is newer and complete, digest {edition.digest[:12]}, "
            f"from {source_address or 'the store'}",
        )
        self._adopted.set()
        self._on_change()
        return result

    def _reject(
        self, version: int, digest: str, result: versions.AdoptionResult
    ) -> None:
        """Records a rejection once, until another one replaces it."""
        if self._rejected == (version, result.code):
            return
        self._rejected = (version, result.code)
        metrics.REJECTED.labels(result.code).inc()
        self._events.record(
            f"version {version}",
            "rejected",
            f"digest {digest[:12]}: {result.reason}",
            result.code,
        )
        self._on_change()

    async def run(self, joined: anyio.Event) -> None:
        """Sends hints and pulls editions until cancelled.

        Args:
            joined: Set when the daemon has joined the mesh. Pulls wait for it,
                since the lowest allowed version is known only then.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_hints)
            await joined.wait()
            await self._run_pulls()

    async def _run_hints(self) -> None:
        while True:
            await self._adopted.wait()
            self._adopted = anyio.Event()
            async with anyio.create_task_group() as tasks:
                for member in self._hint_targets():
                    tasks.start_soon(self._send_hint, member.mesh)

    def _hint_targets(self) -> list[messages.Member]:
        version = self._holder.version
        outdated = [
            member
            for member in self._members.peers
            if member.version < version and member.mesh != self._source_address
        ]
        return probing.sample(outdated, HINTS_PER_VERSION, self._random)

    async def _send_hint(self, address: str) -> None:
        version, digest = self._holder.version, self._holder.digest
        own = self._members.own.mesh
        hint = messages.VersionHint(version, digest, own)
        try:
            reply = await self._links.request(address, hint, HINT_TIMEOUT_S)
        except errors.CodedError as error:
            log.logger.debug("cannot send a hint to {}: {}", address, error)
            return
        if isinstance(reply, messages.VersionAck):
            self.record_peer_version(reply.version, reply.digest, address)

    async def answer_hint(
        self, stream: connection_pool.Stream, message: messages.VersionHint
    ) -> None:
        """Answers the hint of another daemon with the version in force."""
        self._members.record_version(message.mesh, message.version)
        self.record_peer_version(message.version, message.digest, message.mesh)
        version, digest = self._holder.version, self._holder.digest
        await stream.send(messages.VersionAck(version, digest))

    async def _run_pulls(self) -> None:
        while True:
            self._wanted_changed = anyio.Event()
            now = anyio.current_time()
            if not self._holder.wants(
                self._wanted.version, self._wanted.digest
            ):
                self._wanted.clear()
            pull = self._wanted.next(now, self._random)
            if pull is not None:
                await self._pull(pull)
                continue
            wait_s = self._wanted.wait_s(now)
            with anyio.move_on_after(wait_s):
                await self._wanted_changed.wait()

    async def _pull(self, pull: pulls.Pull) -> None:
        try:
            with anyio.fail_after(PULL_TIMEOUT_S):
                await self._pull_once(pull)
        except (errors.CodedError, TimeoutError) as error:
            log.logger.debug(
                "cannot pull an edition from {}: {!r}", pull.address, error
            )
            now = anyio.current_time()
            self._wanted.record_failure(pull.address, now, self._random)

    async def _pull_once(self, pull: pulls.Pull) -> None:
        request = messages.EditionRequest()
        if not pull.is_whole:
            version, digest = self._holder.version, self._holder.digest
            request = messages.EditionRequest(version, digest)
        async with self._links.stream(pull.address) as stream:
            await stream.send(request)
            reply = await _receive_edition(stream, pull.address)
        now = anyio.current_time()
        if isinstance(reply, messages.EditionRefused):
            wait_s = reply.retry_after_ms / 1000
            self._wanted.record_refusal(pull.address, now, wait_s, self._random)
            return
        result = self.apply_edition(reply, pull.address)
        if result.decision is not versions.Decision.ADOPT:
            self._wanted.record_failure(pull.address, now, self._random)

    async def serve(
        self, stream: connection_pool.Stream, request: messages.EditionRequest
    ) -> None:
        """Sends the edition in force, as a delta if that is smaller.

        The number of full transfers at a time is limited; further requests
        are answered with ``EDITION_BUSY``.
        """
        edition = self._holder.current
        if edition is None:
            await _send_busy(stream, self._random)
            return
        delta = self._cached_delta(request.have_version, request.have_digest)
        if delta is not None and len(delta) < len(edition.data):
            await _send_edition(stream, edition, delta, True)
            return
        if self._full_transfers >= self._settings.mesh.whole_editions:
            await _send_busy(stream, self._random)
            return
        self._full_transfers += 1
        try:
            await _send_edition(stream, edition, edition.data, False)
        finally:
            self._full_transfers -= 1

    def _cached_delta(self, version: int, digest: str) -> bytes | None:
        key = version, digest
        if key not in self._delta_cache:
            self._delta_cache[key] = self._holder.delta_from(version, digest)
        return self._delta_cache[key]


async def _send_busy(
    stream: connection_pool.Stream, random: random_module.Random
) -> None:
    retry_ms = int(BUSY_RETRY_MS * random.uniform(0.5, 1.5))
    code = errorcodes.EDITION_BUSY
    await stream.send(messages.EditionRefused(code, retry_ms))


async def _send_edition(
    stream: connection_pool.Stream,
    edition: edition_module.Edition,
    data: bytes,
    is_delta: bool,
) -> None:
    for start in range(0, len(data), PART_BYTES):
        end = start + PART_BYTES
        part = messages.EditionPart(
            edition.version,
            edition.digest,
            is_delta,
            data[start:end],
            end >= len(data),
        )
        await stream.send(part)


async def _receive_edition(
    stream: connection_pool.Stream, address: str
) -> versions.OfferedEdition | messages.EditionRefused:
    data = b""
    while True:
        part = await stream.receive()
        if isinstance(part, messages.EditionRefused):
            return part
        if not isinstance(part, messages.EditionPart):
            text = f"received {type(part).__name__} instead of an edition"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text, address)
        data += part.data
        if len(data) > edition_module.MAX_EDITION_BYTES:
            text = "the edition is larger than the limit"
            raise errors.CodedError(errorcodes.FRAME_OVERSIZED, text, address)
        if part.last:
            return versions.OfferedEdition(
                part.version, part.digest, data, part.delta
            )
