"""A worker leaves just after its daemon began; a ping comes late (DRAIN)."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import fleet as fleet_module
from common import platform
from common import wire

INQUIRY = "auskunft"
# Delay of the late ping.
LATE_S = 2.0
# Time for which the worker serves after it said that it is gone.
STAYS_S = 10.0
CALLERS = 4
WORK_S = 0.05


async def work(worker: platform.Worker, request: wire.Message) -> bytes:
    """Runs a request."""
    await asyncio.sleep(WORK_S)
    return worker.answer(request, b"served")


async def case(fleet: fleet_module.Fleet) -> bool:
    """Returns whether no request reached the worker after ``drain-s``."""
    routes = [fleet_module.route("holding", INQUIRY)]
    fleet.store.put(
        "config", "main", fleet_module.configuration(1, routes, [INQUIRY])
    )
    leaving = fleet.add_machine("side-a-1", INQUIRY)
    staying = fleet.add_machine("side-a-2", INQUIRY)
    await fleet.start_machines("/holding/1")
    worker = leaving.worker
    worker.work = staying.worker.work = work
    await restart_daemon(fleet, leaving)
    late_ping = worker.ping()
    fleet.log(f"{worker.instance} sends a ready ping, seq {worker.seq}")
    if not fleet_module.IS_TROUBLED:
        status = await leaving.post_ping(worker.instance, late_ping)
        fleet.log(f"the ready ping arrives: {status}")
    body = {"born": worker.born}
    status = await leaving.post_ping(worker.instance, body, "deregister")
    acked_at = time.monotonic()
    fleet.log(f"{worker.instance} says that it is gone: {status}")
    if status != 200:
        raise fleet_module.CannotRunError("the notice was not acknowledged")
    end = acked_at + STAYS_S
    callers = [send_requests(fleet, staying, end) for _ in range(CALLERS)]
    if fleet_module.IS_TROUBLED:
        callers.append(deliver_late(fleet, leaving, late_ping))
    await asyncio.gather(*callers)
    return not count_late(fleet, leaving, acked_at)


async def restart_daemon(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine
) -> None:
    """Stops and starts a daemon while its worker goes on."""
    machine.stop_pings()
    machine.signal(signal.SIGTERM)
    if not await machine.ended(fleet_module.GRACE_S):
        raise fleet_module.CannotRunError(
            "the daemon did not end after SIGTERM"
        )
    fleet.log(f"the daemon of {machine.name} ended after SIGTERM")
    machine.start_daemon()
    while not await machine.is_ready():
        await asyncio.sleep(0.05)
    fleet.log(f"the daemon of {machine.name} is ready again")


async def deliver_late(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine, ping: dict
) -> None:
    """Delivers a ping late."""
    await asyncio.sleep(LATE_S)
    status = await machine.post_ping(machine.worker.instance, ping)
    fleet.log(f"the ready ping arrives late: {status}")


async def send_requests(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine, end: float
) -> None:
    """Sends one request after the other until a time."""
    while time.monotonic() < end:
        request_id, status = await machine.request("/holding/2")
        fleet.log(f"{request_id} sent at {machine.name}: {status}")
        await asyncio.sleep(0.05)


def count_late(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine, acked_at: float
) -> int:
    """Returns how many requests reached a worker that said it is gone.

    Only those that its daemon sent on when it was in touch again count.
    """
    late = 0
    in_touch_at = machine.started_at + fleet_module.IN_TOUCH_S
    for at, request_id, _caller in machine.worker.ran:
        if at > max(acked_at + fleet_module.DRAIN_S, in_touch_at):
            late += 1
            fleet.log(
                f"{request_id} reached {machine.worker.instance} "
                f"{at - acked_at:.2f} s after the ack: LATE"
            )
    fleet.log(f"{late} requests reached a worker that is gone")
    return late


if __name__ == "__main__":
    fleet_module.main(case, __file__)
