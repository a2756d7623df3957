"""What callers lose when a daemon process is stopped (LOST)."""

import contextlib
import random
import signal
import socket

import anyio
import pytest

from standins import appworker
from standins import configurations
from standins import connection
from tests import meshes
from tools import platformfleet

SERVICES = ("skladby", "objednavky")
PATHS = [
    configurations.path("/track/", "skladby", **{"timeout-s": 3.0}),
    configurations.path("/order/", "objednavky", kind="unsafe"),
]
CALLERS_PER_DAEMON = 12
# Errors of a caller whose connection ends.
ENDED = connection.ENDED


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@contextlib.asynccontextmanager
async def fleet_of(*names):
    """Yields a fleet whose daemons serve both services."""
    async with platformfleet.running() as fleet:
        fleet.publish(PATHS, SERVICES)
        for number, name in enumerate(names):
            await fleet.add(name, SERVICES[number % len(SERVICES)])
            fleet.start(name)
        await fleet.wait_ready()
        for name in names:
            await fleet.wait_served(name, "/track/1")
        yield fleet


async def connect(machine):
    """Opens a connection of a caller to the daemon of a machine."""
    stream = await anyio.connect_tcp(machine.host, machine.ports["callers"])
    return meshes.Caller(stream)


class KeptConnections:
    """Callers that use a connection until it is closed.

    Attributes:
        answered: Number of requests that got an answer.
        unanswered: Requests whose connection ended without one: identity, and
            the time from sending it to the end, in seconds.
    """

    def __init__(self):
        """Creates a record without requests."""
        self.answered = 0
        self.unanswered = []

    async def send_repeatedly(self, machine, caller_name, generator):
        """Sends one request after another to the daemon of a machine."""
        for number in range(1_000_000):
            try:
                caller = await connect(machine)
            except ENDED:
                await anyio.sleep(0.01)
                continue
            await self._use(caller, f"{caller_name}-{number}", generator)
            with contextlib.suppress(*ENDED):
                await caller.close()

    async def _use(self, caller, name, generator):
        for number in range(1_000_000):
            is_order = generator.random() < 0.3
            identity = f"{name}-{number}"
            sent_at = anyio.current_time()
            try:
                await caller.send(
                    "/order/1" if is_order else "/track/1",
                    "POST" if is_order else "GET",
                    b"scores" if is_order else b"",
                    request_id=identity,
                )
                _status, headers, _body = await caller.receive()
            except ENDED:
                ended_s = anyio.current_time() - sent_at
                self.unanswered.append((identity, round(ended_s, 4)))
                return
            self.answered += 1
            if headers.get(b"connection") == b"close":
                return
            await anyio.sleep(generator.uniform(0.0, 0.05))


async def test_planned_stops_answer_each_request_of_kept_connections():
    """Guards against connections that are closed under a request."""
    async with fleet_of("a", "b", "c", "d") as fleet:
        record = KeptConnections()
        async with anyio.create_task_group() as tasks:
            for name, machine in fleet.machines.items():
                for number in range(CALLERS_PER_DAEMON):
                    generator = random.Random(f"{name}{number}")
                    tasks.start_soon(
                        record.send_repeatedly,
                        machine,
                        f"{name}{number}",
                        generator,
                    )
            for name, machine in fleet.machines.items():
                assert await machine.stop() == 0
                fleet.start(name)
                await fleet.wait_ready(name)
            tasks.cancel_scope.cancel()
        assert record.answered > 1000
        assert not record.unanswered


async def slow(request):
    """Answers like an upstream that needs some time."""
    await anyio.sleep(1.0)
    return appworker.sealed(request)


async def test_a_stop_answers_the_requests_that_were_sent_ahead_and_run():
    """Guards against running requests that an earlier answer cuts off."""
    async with fleet_of("a", "b") as fleet:
        machine = fleet.machines["a"]
        machine.upstream.behaviour = slow
        caller = await connect(machine)
        arrived_before = len(machine.upstream.arrived)
        for number in range(3):
            await caller._stream.send(
                b"GET /track/%d HTTP/1.1\r\nhost: %s\r\nrequest-id: q%d\r\n"
                b"deadline-ms: 2500\r\n\r\n"
                % (number, configurations.HOST.encode(), number)
            )
        with anyio.fail_after(2):
            while len(machine.upstream.arrived) < arrived_before + 3:
                await anyio.sleep(0.01)
        machine.process.send_signal(signal.SIGTERM)
        data = b""
        with anyio.fail_after(10), contextlib.suppress(*ENDED):
            while True:
                data += await caller._stream.receive()
        assert data.count(b"HTTP/1.1 200") == 3
        assert data.count(b"connection: close") == 1
        assert await machine.ended(10) == 0


ANSWER_BYTES = 24_000_000


async def large(request):
    """Answers with a body that takes a slow reader some seconds."""
    return appworker.sealed(request, b"x" * ANSWER_BYTES)


async def test_a_stop_sends_a_large_answer_to_its_end():
    """Guards against answers that are cut in the buffer of the daemon."""
    async with fleet_of("a", "b") as fleet:
        machine = fleet.machines["a"]
        machine.upstream.behaviour = large
        with socket.socket() as raw:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            raw.connect((machine.host, machine.ports["callers"]))
            raw.setblocking(False)
            raw.send(
                b"GET /track/1 HTTP/1.1\r\nhost: %s\r\nrequest-id: q1\r\n"
                b"deadline-ms: 2500\r\n\r\n" % configurations.HOST.encode()
            )
            received = 0
            is_stopped = False
            with anyio.fail_after(15):
                while True:
                    await anyio.wait_readable(raw)
                    try:
                        data = raw.recv(65_536)
                    except ConnectionResetError:
                        break
                    if not data:
                        break
                    received += len(data)
                    if not is_stopped and received > 200_000:
                        machine.process.send_signal(signal.SIGTERM)
                        is_stopped = True
                    await anyio.sleep(0.01)
        assert received >= ANSWER_BYTES
        assert await machine.ended(10) == 0


async def test_a_new_connection_is_answered_until_the_port_is_closed():
    """Guards against connections that are accepted and get no answer."""
    async with fleet_of("a", "b") as fleet:
        machine = fleet.machines["a"]
        machine.process.send_signal(signal.SIGTERM)
        unanswered = 0

        async def open_repeatedly():
            nonlocal unanswered
            while machine.is_running:
                try:
                    caller = await connect(machine)
                except OSError:
                    await anyio.sleep(0.002)
                    continue
                try:
                    await caller.send("/track/1")
                    await caller.receive()
                except ENDED:
                    unanswered += 1
                with contextlib.suppress(*ENDED):
                    await caller.close()

        async with anyio.create_task_group() as tasks:
            for _ in range(12):
                tasks.start_soon(open_repeatedly)
        assert machine.process.returncode == 0
        assert not unanswered


# Time from SIGTERM after which the platform kills a daemon.
GRACE_S = 6.0
UNREAD_ANSWERS = 10


async def test_a_stop_ends_within_the_grace_whatever_others_do():
    """Guards against waits whose sum is longer than the grace."""
    async with fleet_of("a", "b", "c") as fleet:
        machine = fleet.machines["a"]
        machine.upstream.behaviour = large
        with contextlib.ExitStack() as stack:
            for number in range(UNREAD_ANSWERS):
                raw = stack.enter_context(socket.socket())
                raw.connect((machine.host, machine.ports["callers"]))
                raw.send(
                    b"GET /track/1 HTTP/1.1\r\nhost: %s\r\nrequest-id: q%d"
                    b"\r\ndeadline-ms: 2500\r\n\r\n"
                    % (configurations.HOST.encode(), number)
                )
            await anyio.sleep(1.0)
            for name in ("b", "c"):
                fleet.machines[name].process.send_signal(signal.SIGSTOP)
            stopped_at = anyio.current_time()
            assert await machine.stop() == 0, machine.log_text()
            assert anyio.current_time() - stopped_at < GRACE_S
