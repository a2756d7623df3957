"""Followers reject a configuration that the store accepted (CONFIG)."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import fleet as fleet_module

INQUIRY = "auskunft"
BOOKING = "buchung"
MACHINES = 10
# Time for which requests are sent after the change must be in force.
WATCHED_S = 20.0


async def case(fleet: fleet_module.Fleet) -> bool:
    """Returns whether each request was run as the new version says."""
    services = [INQUIRY, BOOKING]
    routes = [fleet_module.route("holding", INQUIRY)]
    fleet.store.put(
        "config", "main", fleet_module.configuration(1, routes, services)
    )
    for number in range(MACHINES):
        fleet.add_machine(f"side-a-{number + 1}", services[number % 2])
    await fleet.start_machines("/holding/1")
    added = "share_transfer" if fleet_module.IS_TROUBLED else "share-transfer"
    routes = [
        fleet_module.route("holding", BOOKING),
        fleet_module.route(added, BOOKING, kind="unsafe"),
    ]
    fleet.store.put(
        "config", "main", fleet_module.configuration(2, routes, services)
    )
    acked_at = time.monotonic()
    fleet.log(f"r2 is acked: holding moves to {BOOKING}, {added} is added")
    await asyncio.sleep(fleet_module.CONFIG_APPLY_S + 0.1)
    outdated: set[str] = set()
    while time.monotonic() < acked_at + WATCHED_S:
        for machine in fleet.machines:
            if await is_outdated(fleet, machine, acked_at):
                outdated.add(machine.name)
        await asyncio.sleep(0.5)
    fleet.log(f"machines with the old version: {sorted(outdated)}")
    return not outdated


async def is_outdated(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine, acked_at: float
) -> bool:
    """Sends a request; tells whether the service of the old version ran it."""
    sent_s = time.monotonic() - acked_at
    request_id, status = await machine.request("/holding/2")
    services = [
        other.service
        for other in fleet.machines
        for _at, ran_id, _caller in other.worker.ran
        if ran_id == request_id
    ]
    is_old = INQUIRY in services
    fleet.log(
        f"{request_id} sent at {machine.name} {sent_s:.2f} s after the ack: "
        f"{status}, run by {services}{' OLD' if is_old else ''}"
    )
    return is_old


if __name__ == "__main__":
    fleet_module.main(case, __file__)
