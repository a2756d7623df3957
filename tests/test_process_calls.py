"""What callers lose between two daemons when one of them is stopped (LOST)."""

import collections
import contextlib
import random
import signal

import anyio
import pytest

from standins import appworker
from standins import configurations
from standins import connection
from tests import meshes
from tools import platformfleet

PATHS = [
    configurations.path("/track/", "skladby"),
    configurations.path(
        "/order/",
        "objednavky",
        kind="unsafe",
        **{"timeout-s": 8.0, "target-latency-s": 5.0},
    ),
]
SERVICES = ("skladby", "objednavky")
CALLERS = 24
# Requests that an upstream runs at a time.
SLOTS = 18
# A body that travels behind its call, not inside it.
UPLOAD = b"u" * 40_000
# Time from the signal to the end of a daemon whose calls have ended.
NOTICE_S = 2.5
ANSWER_BYTES = 900_000
# Time that a caller waits after a refusal.
REFUSED_PAUSE_S = 0.02
# Errors of a caller whose connection ends.
ENDED = connection.ENDED


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@contextlib.asynccontextmanager
async def orders_fleet(*names):
    """Yields a fleet in which the calls of a run beside other machines."""
    async with platformfleet.running() as fleet:
        fleet.publish(PATHS, SERVICES)
        for name in ("a", *names):
            service = "skladby" if name == "a" else "objednavky"
            await fleet.add(name, service)
            fleet.start(name)
        await fleet.wait_ready()
        for name in fleet.machines:
            await fleet.wait_served(name, "/track/1")
            await fleet.wait_served(name, "/order/1")
        yield fleet


class Orders:
    """Callers of unsafe requests.

    Attributes:
        statuses: Status of each answered request, by identity.
        unanswered: Identities of requests without an answer.
    """

    def __init__(self, machine):
        """Creates a record without requests.

        Args:
            machine: Machine whose daemon gets the requests.
        """
        self.statuses = {}
        self.unanswered = []
        self._machine = machine

    def counts(self):
        """Returns the number of answers by status."""
        return collections.Counter(self.statuses.values())

    async def send(self, caller, identity, body=b"order"):
        """Sends one request and records its answer; returns the headers."""
        await caller.send(
            "/order/1", "POST", body, request_id=identity, deadline_ms=7900
        )
        status, headers, _body = await caller.receive()
        self.statuses[identity] = status
        return headers

    async def connect(self):
        """Opens a connection to the daemon."""
        stream = await anyio.connect_tcp(
            self._machine.host, self._machine.ports["callers"]
        )
        return meshes.Caller(stream)

    async def send_one(self, identity, body=b"order"):
        """Sends one request on a connection of its own."""
        caller = await self.connect()
        try:
            await self.send(caller, identity, body)
        except ENDED:
            self.unanswered.append(identity)
        await caller.close()

    async def send_repeatedly(self, name):
        """Sends one request after another, some with an upload."""
        generator = random.Random(name)
        caller = await self.connect()
        for number in range(1_000_000):
            identity = f"{name}-{number}"
            body = UPLOAD if generator.random() < 0.3 else b"order"
            try:
                headers = await self.send(caller, identity, body)
            except ENDED:
                self.unanswered.append(identity)
                headers = {b"connection": b"close"}
            if self.statuses.get(identity) == 503:
                await anyio.sleep(REFUSED_PAUSE_S)
            if headers.get(b"connection") == b"close":
                with contextlib.suppress(*ENDED):
                    await caller.close()
                caller = await self.connect()


def run_counts(fleet):
    """Returns how often each request has run."""
    return collections.Counter(
        request.header(b"request-id").decode()
        for machine in fleet.machines.values()
        for request in machine.upstream.arrived
        if request.method == "POST"
    )


def assert_promises(fleet, orders):
    """Asserts that no request ran twice and none ran that was refused."""
    runs = run_counts(fleet)
    assert {identity for identity, count in runs.items() if count > 1} == set()
    refused = {
        identity
        for identity, status in orders.statuses.items()
        if status == 503
    }
    assert refused & set(runs) == set()


def of_random_length(generator):
    """Returns the behaviour of an upstream with calls of mixed length."""

    async def work(request):
        await anyio.sleep(generator.choice((0.0, 0.002, 0.02, 2.45)))
        return appworker.sealed(request)

    return work


async def test_planned_stops_lose_no_call_between_daemons():
    """Guards against calls that are cut when the other daemon stops."""
    async with orders_fleet("b", "c") as fleet:
        for number, name in enumerate(("b", "c")):
            fleet.machines[name].upstream.behaviour = of_random_length(
                random.Random(number)
            )
        orders = Orders(fleet.machines["a"])
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(orders.send_repeatedly, f"q{number}")
            for name in ("b", "c"):
                assert await fleet.machines[name].stop() == 0
                fleet.start(name)
                await fleet.wait_ready(name)
                await fleet.wait_served(name, "/order/1")
            tasks.cancel_scope.cancel()
        assert_promises(fleet, orders)
        assert orders.counts()[200] > 200
        assert set(orders.counts()) <= {200, 503}
        assert not orders.unanswered


@pytest.mark.parametrize("paused_s", [0.0, 0.5])
async def test_answers_at_the_end_of_a_stop_arrive(paused_s):
    """Guards against answers that are lost in the buffers between daemons."""
    async with orders_fleet("b") as fleet:
        ended = anyio.Event()

        async def answer_together(request):
            await ended.wait()
            return appworker.sealed(request, b"x" * ANSWER_BYTES)

        fleet.machines["b"].upstream.behaviour = answer_together
        orders = Orders(fleet.machines["a"])
        async with anyio.create_task_group() as tasks:
            for number in range(SLOTS):
                tasks.start_soon(orders.send_one, f"q{number}")
            with anyio.fail_after(2):
                while len(run_counts(fleet)) < SLOTS:
                    await anyio.sleep(0.01)
            fleet.machines["b"].process.send_signal(signal.SIGTERM)
            await anyio.sleep(NOTICE_S + 0.2)
            receiver = fleet.machines["a"].process
            if paused_s:
                receiver.send_signal(signal.SIGSTOP)
            ended.set()
            await anyio.sleep(paused_s)
            receiver.send_signal(signal.SIGCONT)
        assert_promises(fleet, orders)
        assert orders.counts() == {200: SLOTS}
        assert await fleet.machines["b"].ended(5) == 0


@pytest.mark.parametrize("stopped", ["a", "ab"])
async def test_calls_of_callers_beside_a_stopping_daemon_are_answered(stopped):
    """Guards against calls that end with the daemon that has sent them."""
    async with orders_fleet("b") as fleet:
        ended = anyio.Event()

        async def answer_together(request):
            await ended.wait()
            return appworker.sealed(request)

        fleet.machines["b"].upstream.behaviour = answer_together
        orders = Orders(fleet.machines["a"])
        async with anyio.create_task_group() as tasks:
            for number in range(SLOTS):
                body = UPLOAD if number % 3 == 0 else b"order"
                tasks.start_soon(orders.send_one, f"q{number}", body)
            with anyio.fail_after(2):
                while len(run_counts(fleet)) < SLOTS:
                    await anyio.sleep(0.01)
            for name in stopped:
                fleet.machines[name].process.send_signal(signal.SIGTERM)
            await anyio.sleep(NOTICE_S + 0.2)
            ended.set()
        assert_promises(fleet, orders)
        assert orders.counts() == {200: SLOTS}
        for name in stopped:
            assert await fleet.machines[name].ended(5) == 0
