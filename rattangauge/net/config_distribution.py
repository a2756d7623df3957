"""Spreads editions between daemons: hints, pulls and serving editions."""

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

HINTS = 4
HINT_TIMEOUT_S = 1.0
PULL_TIMEOUT_S = 10.0
# A frame holds at most 1 MiB.
PART_BYTES = 524_288
BUSY_RETRY_MS = 200


class Spread:
    """The edition in force of a daemon and its exchange with others."""

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: connection_pool.Links,
        events: events_module.Events,
        use: Callable[[edition_module.Edition], None],
    ) -> None:
        """Creates it without an edition; ``run`` starts the exchange.

        Args:
            settings: Settings of the daemon.
            table: Members of the zone.
            links: Connections to other daemons.
            events: Record of decisions.
            use: Called with each edition that is put in force.
        """
        self._settings = settings
        self._members = table
        self._links = links
        self._events = events
        self._use = use
        self._random = random_module.Random()
        self._holder = versions.Holder()
        self._wanted = pulls.Wanted()
        self._news = anyio.Event()
        self._adopted = anyio.Event()
        self._teller = ""
        self._whole_served = 0
        self._deltas: dict[tuple[int, str], bytes | None] = {}
        self._rejected = (0, "")
        self._on_change: Callable[[], None] = lambda: None

    @property
    def holder(self) -> versions.Holder:
        """The edition in force with its floor."""
        return self._holder

    @property
    def rejected(self) -> tuple[int, str]:
        """Version that was last rejected and its code; 0 if none was."""
        return self._rejected

    def notify(self, on_change: Callable[[], None]) -> None:
        """Sets what is called after an edition was adopted or rejected."""
        self._on_change = on_change

    def offer(self, version: int, digest: str, address: str) -> None:
        """Takes note of the version that another daemon has."""
        current = self._holder.version
        if version == current and digest != self._holder.digest and version:
            self._reject(version, digest, self._holder.judge(version, digest))
        if not self._holder.wants(version, digest):
            return
        if self._wanted.offer(version, digest, address):
            self._news.set()

    def take(self, offered: versions.Offered, teller: str) -> versions.Taken:
        """Puts an edition in force if it is newer, whole and consistent.

        Args:
            offered: The edition or a delta to it.
            teller: Mesh address that it came from; empty for the store.
        """
        taken = self._holder.take(offered)
        if taken.code:
            self._reject(offered.version, offered.digest, taken)
        if taken.decision is not versions.Decision.ADOPT:
            return taken
        edition = self._holder.current
        self._use(edition)
        self._deltas = {}
        self._teller = teller
        if self._wanted.version <= edition.version:
            self._wanted.clear()
        if self._rejected[0] <= edition.version:
            self._rejected = (0, "")
        metrics.VERSION.set(edition.version)
        self._events.record(
            f"version {edition.version}",
            "put in force",
            f"it is newer and complete, digest {edition.digest[:12]}, "
            f"from {teller or 'the store'}",
        )
        self._adopted.set()
        self._on_change()
        return taken

    def _reject(self, version: int, digest: str, taken: versions.Taken) -> None:
        """Records a rejection; repeats of the last one are not recorded."""
        if self._rejected == (version, taken.code):
            return
        self._rejected = (version, taken.code)
        metrics.REJECTED.labels(taken.code).inc()
        self._events.record(
            f"version {version}",
            "rejected",
            f"digest {digest[:12]}: {taken.reason}",
            taken.code,
        )
        self._on_change()

    async def run(self, joined: anyio.Event) -> None:
        """Pulls and hints until cancelled.

        Args:
            joined: Set when the neighbours have told the floor.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._hint_all)
            await joined.wait()
            await self._pull_all()

    async def _hint_all(self) -> None:
        while True:
            await self._adopted.wait()
            self._adopted = anyio.Event()
            async with anyio.create_task_group() as tasks:
                for member in self._hinted():
                    tasks.start_soon(self._hint, member.mesh)

    def _hinted(self) -> list[messages.Member]:
        version = self._holder.version
        behind = [
            member
            for member in self._members.peers
            if member.version < version and member.mesh != self._teller
        ]
        return probing.sample(behind, HINTS, self._random)

    async def _hint(self, address: str) -> None:
        version, digest = self._holder.version, self._holder.digest
        own = self._members.own.mesh
        hint = messages.VersionHint(version, digest, own)
        try:
            reply = await self._links.request(address, hint, HINT_TIMEOUT_S)
        except errors.CodedError as error:
            log.logger.debug("no hint to {}: {}", address, error)
            return
        if isinstance(reply, messages.VersionAck):
            self.offer(reply.version, reply.digest, address)

    async def answer_hint(
        self, stream: connection_pool.Stream, message: messages.VersionHint
    ) -> None:
        """Answers the hint of another daemon with the own version."""
        self._members.report(message.mesh, message.version)
        self.offer(message.version, message.digest, message.mesh)
        version, digest = self._holder.version, self._holder.digest
        await stream.send(messages.VersionAck(version, digest))

    async def _pull_all(self) -> None:
        while True:
            self._news = anyio.Event()
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
                await self._news.wait()

    async def _pull(self, pull: pulls.Pull) -> None:
        try:
            with anyio.fail_after(PULL_TIMEOUT_S):
                await self._pull_once(pull)
        except (errors.CodedError, TimeoutError) as error:
            log.logger.debug("no edition from {}: {!r}", pull.address, error)
            now = anyio.current_time()
            self._wanted.failed(pull.address, now, self._random)

    async def _pull_once(self, pull: pulls.Pull) -> None:
        request = messages.EditionRequest()
        if not pull.whole:
            version, digest = self._holder.version, self._holder.digest
            request = messages.EditionRequest(version, digest)
        async with self._links.stream(pull.address) as stream:
            await stream.send(request)
            reply = await _receive_edition(stream, pull.address)
        now = anyio.current_time()
        if isinstance(reply, messages.EditionRefused):
            wait_s = reply.retry_after_ms / 1000
            self._wanted.refused(pull.address, now, wait_s, self._random)
            return
        taken = self.take(reply, pull.address)
        if taken.decision is not versions.Decision.ADOPT:
            self._wanted.failed(pull.address, now, self._random)

    async def serve(
        self, stream: connection_pool.Stream, request: messages.EditionRequest
    ) -> None:
        """Sends the edition in force, as a delta where that is smaller."""
        edition = self._holder.current
        if edition is None:
            await _refuse(stream, self._random)
            return
        delta = self._delta(request.have_version, request.have_digest)
        if delta is not None and len(delta) < len(edition.data):
            await _send_edition(stream, edition, delta, True)
            return
        if self._whole_served >= self._settings.mesh.whole_editions:
            await _refuse(stream, self._random)
            return
        self._whole_served += 1
        try:
            await _send_edition(stream, edition, edition.data, False)
        finally:
            self._whole_served -= 1

    def _delta(self, version: int, digest: str) -> bytes | None:
        key = version, digest
        if key not in self._deltas:
            self._deltas[key] = self._holder.delta_from(version, digest)
        return self._deltas[key]


async def _refuse(
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
) -> versions.Offered | messages.EditionRefused:
    data = b""
    while True:
        part = await stream.receive()
        if isinstance(part, messages.EditionRefused):
            return part
        if not isinstance(part, messages.EditionPart):
            text = f"{type(part).__name__} came instead of an edition"
            raise errors.CodedError(errorcodes.FRAME_UNEXPECTED, text, address)
        data += part.data
        if len(data) > edition_module.MAX_EDITION_BYTES:
            text = "the edition is larger than the limit"
            raise errors.CodedError(errorcodes.FRAME_OVERSIZED, text, address)
        if part.last:
            return versions.Offered(part.version, part.digest, data, part.delta)
