"""A zone whose members are scripted: one process that speaks the protocol.

One real daemon is measured among so many members that real ones would take all
processors of a machine. Each scripted member listens on a loopback address of
its own, answers the daemon and probes it as often as a real zone would.
"""

import collections
from collections.abc import AsyncIterator
import contextlib
import random as random_module

import anyio
import anyio.abc
from anyio.streams import buffered

from benchmarks.capacity import records
from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.config import delta as delta_module
from rattangauge.config import edition as edition_module
from rattangauge.generated import messages
from rattangauge.generated import settings as generated
from rattangauge.membership import zone_summary as summary_module
from rattangauge.net import connection_pool
from rattangauge.net import frames

PROBE_PERIOD_S = 1.0
REQUEST_TIMEOUT_S = 5.0
MAX_REFUSAL_BYTES = 500
FIRST_HOST = 20


def settings(host: str) -> settings_module.Settings:
    """Returns settings with which connections from a host are opened."""
    address = f"{host}:0"
    return settings_module.Settings(
        instance=generated.Instance("scripted", "zone-1", "sk-west"),
        listen=generated.Listen(address, address, address),
        mesh=generated.Mesh(),
        platform=generated.Platform("http://127.0.0.1:1"),
        calls=generated.Calls(),
        shutdown=generated.Shutdown(),
        log=generated.Log(),
        rollout=generated.Rollout(),
    )


def edition(version: int, services: int) -> edition_module.Edition:
    """Returns an edition that differs in one object for each version."""
    data = edition_module.encode(records.object_set(services, 1_000 + version))
    digest = edition_module.digest_of(data)
    return edition_module.decode(version, digest, data)


class Zone:
    """Scripted members of a zone around one real daemon."""

    def __init__(
        self,
        count: int,
        tasks: anyio.abc.TaskGroup,
        random: random_module.Random,
    ) -> None:
        """Creates a zone with the daemon and so many members in all."""
        self._random = random
        self._tasks = tasks
        self._links = connection_pool.Links(settings("127.0.0.1"), tasks)
        self._summaries = summary_module.SummaryTable()
        self._editions: dict[str, edition_module.Edition] = {}
        self._current = edition(1, records.SERVICES)
        self._silent: set[str] = set()
        self._count = count
        self.members: dict[str, messages.Member] = {}
        self.received: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Opens the listeners of all members."""
        for number in range(1, self._count):
            host = f"127.0.{FIRST_HOST + number // 200}.{1 + number % 200}"
            listener = await anyio.create_tcp_listener(local_host=host)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            member = records.member(number)._replace(
                mesh=f"{host}:{port}", version=1
            )
            self.members[member.instance] = member

            async def serve(
                stream: anyio.abc.ByteStream, name: str = member.instance
            ) -> None:
                await self._serve(stream, name)

            self._tasks.start_soon(listener.serve, serve)
        # All connections stay on loopback, those to other zones as well.
        gateways = tuple(m.mesh for m in self.members.values())[:2]
        self._summaries.merge(
            [
                summary._replace(gateways=gateways)
                for summary in records.other_summaries()
            ],
            0.0,
        )

    async def _serve(self, stream: anyio.abc.ByteStream, name: str) -> None:
        source = buffered.BufferedByteReceiveStream(stream)
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            while (frame := await frames.read(source)) is not None:
                number, message = frame
                self.received[type(message).__name__] += 1
                if name in self._silent:
                    continue
                for answer in self._answers(name, message):
                    await stream.send(frames.pack(number, answer))

    def _answers(
        self, name: str, message: messages.Message
    ) -> list[messages.Message]:
        version, digest = self._current.version, self._current.digest
        if isinstance(message, messages.LinkPing):
            return [messages.LinkPong(message.sequence)]
        if isinstance(message, messages.Probe):
            reached = self._target(message.target) or name
            is_there = reached not in self._silent
            ack = messages.ProbeAck(is_there, version, digest, (), reached)
            return [ack]
        if isinstance(message, messages.VersionHint):
            return [messages.VersionAck(version, digest)]
        if isinstance(message, messages.JoinRequest):
            return [self._join_reply(message)]
        if isinstance(message, messages.ZoneExchange):
            later = self._summaries.later_than(message.known)
            known = self._summaries.known()
            mesh = self.members[name].mesh
            return [messages.ZoneExchange(version, digest, later, known, mesh)]
        if isinstance(message, messages.EditionRequest):
            return [self._part(message)]
        return []

    def _target(self, address: str) -> str:
        return next(
            (m.instance for m in self.members.values() if m.mesh == address), ""
        )

    def _join_reply(self, message: messages.JoinRequest) -> messages.JoinReply:
        return messages.JoinReply(
            tuple(self.members.values()),
            self._summaries.later_than(message.known),
            self._current.version,
            self._current.digest,
        )

    def _part(self, request: messages.EditionRequest) -> messages.EditionPart:
        current = self._current
        base = self._editions.get(request.have_digest)
        self.received["delta" if base else "whole"] += 1
        data = (
            delta_module.encode_delta(base, current) if base else current.data
        )
        return messages.EditionPart(
            current.version, current.digest, base is not None, data, True
        )

    def silence(self, count: int) -> None:
        """Makes members stop answering, as the loss of a rack does."""
        self._silent.update(list(self.members)[:count])

    async def probe_all(self, address: str) -> None:
        """Probes the daemon as often as a real zone would."""
        while True:
            await anyio.sleep(self._random.expovariate(1 / PROBE_PERIOD_S))
            sender = self._random.choice(list(self.members.values()))
            probe = messages.Probe(
                sender.mesh,
                "",
                self._current.version,
                self._current.digest,
                (),
                sender.instance,
            )
            await self.request(address, probe)

    async def rejoin(self, address: str, member: messages.Member) -> int:
        """Joins as a restarted member and reads the whole edition.

        Returns:
            How often the edition was refused because others read it.
        """
        host, port = util.parse_address(address)
        started = member._replace(incarnation=member.incarnation + 100_000)
        refusals = 0
        async with await anyio.connect_tcp(host, port) as stream:
            source = buffered.BufferedByteReceiveStream(stream)
            await stream.send(frames.pack(1, messages.JoinRequest(started)))
            await _read_answer(stream, source)
            refused = await _ask_edition(stream, source, 3)
            while refused is not None:
                refusals += 1
                await anyio.sleep(refused.retry_after_ms / 1000)
                number = 3 + 2 * refusals
                refused = await _ask_edition(stream, source, number)
        return refusals

    async def request(self, address: str, message: messages.Message) -> None:
        """Sends a message to the daemon and waits for its answer."""
        try:
            await self._links.request(address, message, REQUEST_TIMEOUT_S)
        except errors.CodedError:
            self.received["unanswered"] += 1

    async def change(self, address: str, version: int, reports: bool) -> None:
        """Publishes a version, with the hints that a real zone would send.

        Args:
            address: Mesh address of the daemon.
            version: The new version.
            reports: All members report their version, as to a gateway.
        """
        self._editions[self._current.digest] = self._current
        self._current = edition(version, records.SERVICES)
        members = list(self.members.values())
        count = len(members) if reports else 4
        async with anyio.create_task_group() as tasks:
            for member in self._random.sample(members, count):
                hint = messages.VersionHint(
                    version, self._current.digest, member.mesh
                )
                tasks.start_soon(self.request, address, hint)


async def _read_answer(
    stream: anyio.abc.ByteStream, source: buffered.BufferedByteReceiveStream
) -> messages.EditionRefused | None:
    """Reads one answer; decodes only small ones, to not delay the others."""
    while True:
        head = await source.receive_exactly(frames.HEAD.size)
        payload = await source.receive_exactly(frames.payload_length(head))
        if len(payload) > MAX_REFUSAL_BYTES:
            return None
        _, message = frames.unpack(payload)
        if not isinstance(message, messages.LinkPing):
            return message
        await stream.send(frames.pack(0, messages.LinkPong(message.sequence)))


async def _ask_edition(
    stream: anyio.abc.ByteStream,
    source: buffered.BufferedByteReceiveStream,
    number: int,
) -> messages.EditionRefused | None:
    request = frames.pack(number, messages.EditionRequest())
    await stream.send(request)
    return await _read_answer(stream, source)


@contextlib.asynccontextmanager
async def zone(count: int, seed: int) -> AsyncIterator[Zone]:
    """Opens a scripted zone."""
    async with anyio.create_task_group() as tasks:
        opened = Zone(count, tasks, random_module.Random(seed))
        await opened.start()
        yield opened
        tasks.cancel_scope.cancel()
