"""DRAIN: after a restart of all daemons, a worker that left gets requests.

A worker deregisters and gets its ack, all daemons are killed and start again,
and a heartbeat that the worker had sent before arrives late.
"""

import time

import anyio
import harness

from rattangauge.http import messages
from standins import appworker
from standins import configurations
from tools import platformfleet

NAMES = ("a", "b", "c")
LEAVING = "a"
WORK_S = 0.1
# Bounds of the small deployments.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# Time from the kill to the start of the daemons.
DOWN_S = 0.2
# Time by which the requests come later than the machines are in touch again.
MARGIN_S = 0.4
REQUESTS = 60
REQUEST_PERIOD_S = 0.02


class Worker:
    """Runs requests; says in its answers that it leaves once it does."""

    def __init__(self) -> None:
        """Creates a worker that stays."""
        self.is_leaving = False

    async def run(self, request: messages.Request) -> messages.Response:
        """Returns the response to a request."""
        await anyio.sleep(WORK_S)
        response = appworker.sealed(request)
        if not self.is_leaving:
            return response
        notice = (b"server-leaving", b"1")
        return response._replace(headers=(*response.headers, notice))


async def _restart_all(fleet: platformfleet.Fleet) -> None:
    """Kills all daemons at once and starts them again."""
    for machine in fleet.machines.values():
        machine.process.kill()
    for machine in fleet.machines.values():
        machine.process.wait()
    await anyio.sleep(DOWN_S)
    for name in NAMES:
        fleet.start(name)
    await fleet.wait_ready()


async def _send(record: harness.Record, address: str) -> None:
    request_id = harness.new_id()
    fields = {"request-id": request_id, "deadline-ms": "1000"}
    answer = await harness.call(address, "GET", "/track/1", fields)
    record.write(f"{request_id} answered {answer.status}")


async def case(record: harness.Record, has_trouble: bool) -> bool:
    """Tells whether a request reached the worker that had left."""
    async with platformfleet.running() as fleet:
        path = configurations.path("/track/", "skladby")
        fleet.publish([path], ("skladby",))
        workers = {}
        for name in NAMES:
            machine = await fleet.add(name, "skladby")
            workers[name] = Worker()
            machine.upstream.behaviour = workers[name].run
            fleet.start(name)
        await fleet.wait_ready()
        for name in NAMES:
            await fleet.wait_served(name, "/track/0")
        await anyio.sleep(STABLE_WINDOW_S)
        machine = fleet.machines[LEAVING]
        machine.sends_heartbeats = False
        late_heartbeat = machine.heartbeat()
        record.write(f"heartbeat sent, on its way: {late_heartbeat}")
        workers[LEAVING].is_leaving = True
        born = {"born": late_heartbeat["born"]}
        await fleet.announce(machine, "deregister", born)
        acked_at = time.monotonic()
        record.write("the worker deregistered, which was acknowledged")
        in_touch_at = acked_at + STABLE_WINDOW_S
        if has_trouble:
            await _restart_all(fleet)
            started = [m.started_at for m in fleet.machines.values()]
            in_touch_at = max(started) + STABLE_WINDOW_S
            record.write("all daemons were killed and are ready again")
        begin_at = max(in_touch_at, acked_at + DRAIN_S) + MARGIN_S
        await anyio.sleep(begin_at - time.monotonic())
        before = len(machine.upstream.arrived)
        await fleet.announce(machine, "heartbeat", late_heartbeat)
        late_s = time.monotonic() - acked_at
        record.write(f"the heartbeat arrived {late_s:.1f} s after the ack")
        async with anyio.create_task_group() as tasks:
            for number in range(REQUESTS):
                name = NAMES[number % len(NAMES)]
                address = fleet.machines[name].address("callers")
                tasks.start_soon(_send, record, address)
                await anyio.sleep(REQUEST_PERIOD_S)
        reached = machine.upstream.arrived[before:]
        for request in reached:
            request_id = request.header(b"request-id").decode()
            record.write(f"{request_id} ran on the worker that had left")
        return bool(reached)


if __name__ == "__main__":
    harness.run(case)
