"""Load of one tenant at all machines, and what of it ran."""

import time
from typing import NamedTuple

import anyio
import harness

from standins import configurations
from tools import platformfleet

NAME = "archive"
KEY = "key-of-the-archive"
# Rates of tenants are 1.6 times what they usually send (``quota_x``).
RATE_BY_USUAL = 1.6
# Bounds of the deployment with tenants.
WINDOW_S = 5.0
OVER = 0.1
SLACK = 20.0
# Time without load after the start, in which all daemons learn of each other.
SETTLE_S = 4.0


class Tenant(NamedTuple):
    """A hot tenant.

    Attributes:
        rate_per_s: Its rate; its burst is the same number, as in the example of
            the pages.
        times_usual: What it sends, as a multiple of its usual.
    """

    rate_per_s: float
    times_usual: float

    @property
    def load_per_s(self) -> float:
        """Requests that it sends in a second."""
        return self.rate_per_s / RATE_BY_USUAL * self.times_usual

    @property
    def bound(self) -> float:
        """Requests that may run in a window."""
        allowed = self.rate_per_s * WINDOW_S + self.rate_per_s
        return allowed * (1 + OVER) + SLACK


class TenantLoad:
    """Requests of the tenant, which come to all machines in turn."""

    def __init__(
        self,
        fleet: platformfleet.Fleet,
        record: harness.Record,
        tenant: Tenant,
    ) -> None:
        """Creates a load that is not sent yet."""
        self._tenant = tenant
        self._fleet = fleet
        self._record = record
        self._sent_at: dict[str, float] = {}
        self._machines: dict[str, str] = {}
        self._statuses: dict[str, int] = {}

    async def run(self, length_s: float) -> None:
        """Sends requests for a time, and waits for their answers."""
        names = list(self._fleet.machines)
        began_at = time.monotonic()
        load_per_s = self._tenant.load_per_s
        count = int(length_s * load_per_s)
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                due_at = began_at + number / load_per_s
                await anyio.sleep(max(0.0, due_at - time.monotonic()))
                tasks.start_soon(self._send, names[number % len(names)])

    async def _send(self, name: str) -> None:
        request_id = harness.new_id()
        fields = {
            "request-id": request_id,
            "deadline-ms": "1000",
            "authorization": f"Bearer {KEY}",
        }
        address = self._fleet.machines[name].address("callers")
        self._sent_at[request_id] = time.monotonic()
        self._machines[request_id] = name
        answer = await harness.call(address, "GET", "/track/1", fields)
        self._statuses[request_id] = answer.status

    def most_in_window(self) -> int:
        """Records all requests; returns the most that ran in a window."""
        arrived = [
            request.header(b"request-id").decode()
            for machine in self._fleet.machines.values()
            for request in machine.upstream.arrived
        ]
        ran = set(arrived) & self._sent_at.keys()
        for request_id, sent_at in self._sent_at.items():
            self._record.write(
                f"{request_id} sent at {sent_at:.3f} to "
                f"{self._machines[request_id]}, answered "
                f"{self._statuses[request_id]}, ran: {request_id in ran}"
            )
        times = sorted(self._sent_at[request_id] for request_id in ran)
        return max(
            sum(1 for at in times if start <= at < start + WINDOW_S)
            for start in times
        )

    def is_broken(self) -> bool:
        """Tells whether more requests ran in a window than the rule allows."""
        most = self.most_in_window()
        bound = self._tenant.bound
        self._record.write(f"most in {WINDOW_S} s: {most}, bound: {bound:.0f}")
        return most > bound


def publish(fleet: platformfleet.Fleet, tenant: Tenant) -> None:
    """Writes a configuration with the tenant and one route."""
    fields = {
        "name": NAME,
        "api-keys": [KEY],
        "rate-per-s": tenant.rate_per_s,
        "burst": tenant.rate_per_s,
    }
    path = configurations.path("/track/", "skladby")
    fleet.publish([path], ("skladby",), (fields,))
