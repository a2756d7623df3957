"""Callers and upstreams of a soak, which keep what they saw."""

import collections
import random
from typing import NamedTuple
import zlib

import anyio
import h11

from rattangauge.http import messages
from standins import appworker
from standins import caller
from standins import configurations
from standins import connection as connection_module
from tools import invariants
from tools import platformfleet
from tools import soakchecks
from tools import soakconfig

DEADLINE_S = 2.5
# An answer that is later than this does not come any more.
ANSWER_LIMIT_S = DEADLINE_S + 2.0
RECONNECT_S = 0.02
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
UPLOAD_BYTES = 100_000
# Size of the answers of the route for large ones.
LARGE_BYTES = 150_000
LARGE_PREFIX = "/large/"
MAX_AHEAD = 4
MAX_IDLE_S = 1.0
# Requests a second of all callers together.
RATE = 150.0
# Most requests take little time, one in ten up to a second.
WORK_S, LONG_WORK_S = 0.03, 1.0
LONG_SHARE = 0.1


class Request(NamedTuple):
    """A request of a caller."""

    identity: str
    method: str
    target: str
    body: bytes = b""


def expected_body(
    identity: str, method: str, target: str, body: bytes
) -> bytes:
    """Returns the body of the answer to a request; it belongs to no other."""
    size = zlib.crc32(identity.encode()) % 2_000
    if target.startswith(LARGE_PREFIX):
        size += LARGE_BYTES
    text = f"{identity} {method} {target} {len(body)} {zlib.crc32(body)}"
    return text.encode().ljust(size, b".")


class Record:
    """What callers and upstreams saw.

    Attributes:
        calls: Requests of callers.
        runs: Times that each request ran.
        quota_runs: Times at which requests of the tenant with a quota ran.
        foreign: Requests that ran as another tenant, or came with a key.
    """

    def __init__(self, seed: int) -> None:
        """Creates an empty record; the seed chooses times of work."""
        self.calls: list[soakchecks.KeptCall] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.quota_runs: list[float] = []
        self.foreign: list[invariants.Violation] = []
        self._random = random.Random(seed)

    def behaviour(self, machine: platformfleet.Machine) -> appworker.Behaviour:
        """Returns the behaviour of the upstream of a machine."""

        async def run(request: messages.Request) -> messages.Response:
            wanted = request.header(b"target-instance")
            if wanted not in (b"", machine.upstream_id.encode()):
                return appworker.not_run(request, 421)
            identity = request.header(b"request-id").decode()
            self.runs[identity] += 1
            self._record_tenant(identity, request)
            is_long = self._random.random() < LONG_SHARE
            limit_s = LONG_WORK_S if is_long else WORK_S
            await anyio.sleep(self._random.uniform(0.0, limit_s))
            body = expected_body(
                identity, request.method, request.target, request.body
            )
            return appworker.sealed(request, body)

        return run

    def _record_tenant(self, identity: str, request: messages.Request) -> None:
        """Records a run of a tenant, and whether it is the right one."""
        now, tenant = anyio.current_time(), soakconfig.of(identity)
        if tenant == soakconfig.SCHOOL:
            self.quota_runs.append(now)
        name = request.header(b"tenant-id").decode()
        has_key = bool(request.header(b"authorization"))
        if identity and (name != tenant or has_key):
            text = f"ran as {name!r} for {tenant!r}, key passed on: {has_key}"
            found = invariants.Violation("KEY", now, identity, text)
            self.foreign.append(found)


def outcome_of(request: Request, answer: caller.Answer) -> tuple[str, str]:
    """Returns outcome and detail of an answer."""
    detail = f"{request.method} {request.target}: status {answer.status}"
    identity = answer.headers.get(b"request-id", request.identity.encode())
    if identity != request.identity.encode():
        return caller.WRONG, f"{detail} of {identity!r}"
    is_sealed = b"server-seal" in answer.headers
    if answer.status == 401:
        is_due = soakconfig.of(request.identity) == soakconfig.STRANGER
        return caller.NOT_RUN if is_due else caller.WRONG, detail
    if answer.status == 200:
        expected = expected_body(*request)
        if is_sealed and answer.body == expected:
            return caller.ANSWERED, detail
        return caller.WRONG, f"{detail}, {answer.body[:80]!r}"
    if is_sealed:
        return caller.WRONG, f"{detail} with a seal"
    promises = answer.status in PROMISES
    return caller.NOT_RUN if promises else caller.UNKNOWN, detail


class Caller:
    """A caller that uses connections to one daemon until they are closed."""

    def __init__(
        self,
        machine: platformfleet.Machine,
        name: str,
        idle_s: float,
        record: Record,
    ) -> None:
        """Creates a caller.

        Args:
            machine: Machine with the daemon.
            name: Name of the caller, which also seeds its choices.
            idle_s: Mean time between an answer and the next request.
            record: Gets what the caller sees.
        """
        self._machine = machine
        self._name = name
        self._mean_idle_s = idle_s
        self._record = record
        self._random = random.Random(name)
        self._count = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            try:
                connection = await connection_module.connect(
                    self._machine.host, self._machine.ports["callers"]
                )
            except OSError:
                await anyio.sleep(RECONNECT_S)
                continue
            try:
                while await self._exchange(connection, self._next_requests()):
                    pass
            finally:
                with anyio.CancelScope(shield=True):
                    await connection.close()
            await anyio.sleep(self._idle())

    def _idle(self) -> float:
        """Returns the time until the next request, in seconds."""
        idle_s = self._random.uniform(0.0, 2 * self._mean_idle_s)
        return min(idle_s, MAX_IDLE_S)

    def _request(self, method: str, prefix: str, body: bytes = b"") -> Request:
        self._count += 1
        identity = f"{self._name}-{self._count}"
        return Request(identity, method, f"{prefix}{identity}", body)

    def _next_requests(self) -> list[Request]:
        """Returns requests that are sent without waiting for answers."""
        kind = self._random.random()
        if kind < 0.25:
            return [self._request("POST", "/order/", b"x" * 100)]
        if kind < 0.30:
            body = self._random.randbytes(UPLOAD_BYTES)
            return [self._request("POST", "/upload/", body)]
        if kind < 0.34:
            return [self._request("GET", LARGE_PREFIX)]
        count = self._random.randint(2, MAX_AHEAD) if kind < 0.44 else 1
        return [self._request("GET", "/track/") for _ in range(count)]

    async def _exchange(
        self, connection: connection_module.Connection, requests: list[Request]
    ) -> bool:
        """Sends requests, records what comes, and waits for a while.

        Returns:
            Whether the connection can be used again.
        """
        sent_s = anyio.current_time()
        sent = await _send(connection, requests)
        for index, request in enumerate(sent):
            answer = await self._receive(connection, request, sent_s)
            if answer is None or _closes(answer):
                for behind in sent[index + 1 :]:
                    end = caller.BROKEN, "behind another request"
                    self._add(behind, sent_s, end, is_behind=True)
                return False
        return await self._stays_open(connection, requests[-1])

    async def _receive(
        self,
        connection: connection_module.Connection,
        request: Request,
        sent_s: float,
    ) -> caller.Answer | None:
        """Receives and records an answer; None if none can follow."""
        place = f"{request.method} {request.target}"
        try:
            with anyio.fail_after(ANSWER_LIMIT_S):
                answer = await connection.receive()
        except h11.RemoteProtocolError as error:
            self._add(request, sent_s, (caller.WRONG, f"{place}: {error!r}"))
            return None
        except connection_module.ENDED as error:
            self._add(request, sent_s, (caller.BROKEN, f"{place}: {error!r}"))
            return None
        self._add(request, sent_s, outcome_of(request, answer))
        return answer

    async def _stays_open(
        self, connection: connection_module.Connection, request: Request
    ) -> bool:
        """Waits; tells whether the connection can be used again."""
        data = await connection.idle(self._idle())
        if data:
            end = caller.WRONG, f"{data[:80]!r} without a request"
            self._add(request, anyio.current_time(), end)
        return data == b""

    def _add(
        self,
        request: Request,
        sent_s: float,
        end: tuple[str, str],
        is_behind: bool = False,
    ) -> None:
        is_safe = request.method == "GET"
        self._record.calls.append(
            soakchecks.KeptCall(
                invariants.SeenCall(sent_s, request.identity, is_safe, *end),
                self._machine.name,
                anyio.current_time(),
                is_behind,
            )
        )


async def _send(
    connection: connection_module.Connection, requests: list[Request]
) -> list[Request]:
    """Sends requests without waiting for answers.

    Returns:
        Those that were sent, the one at which the connection ended included:
        its answer may have come before that.
    """
    sent = []
    for request in requests:
        fields = [
            ("host", configurations.HOST),
            ("request-id", request.identity),
            (
                "authorization",
                soakconfig.key(soakconfig.of(request.identity)),
            ),
            ("tenant-id", soakconfig.CHOIR),
            ("deadline-ms", str(int(DEADLINE_S * 1000))),
        ]
        sent.append(request)
        try:
            await connection.send(
                request.method, request.target, fields, request.body
            )
        except connection_module.ENDED:
            break
    return sent


def _closes(answer: caller.Answer) -> bool:
    return answer.headers.get(b"connection", b"").lower() == b"close"
