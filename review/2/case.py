"""A ping of another writer names a service that is named nowhere (UNASKED)."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import fleet as fleet_module

INQUIRY = "auskunft"
BOOKING = "buchung"
# A service that neither a configuration nor a settings file names.
UNNAMED = "archiv-alt"
REQUESTS = 40


async def case(fleet: fleet_module.Fleet) -> bool:
    """Returns whether each run had the service of the caller's machine."""
    routes = [
        fleet_module.route("holding", INQUIRY),
        fleet_module.route("transfer", BOOKING, kind="unsafe"),
    ]
    services = [INQUIRY, BOOKING]
    fleet.store.put(
        "config", "main", fleet_module.configuration(1, routes, services)
    )
    entry = fleet.add_machine("side-a-1", INQUIRY)
    other = fleet.add_machine("side-a-2", BOOKING)
    await fleet.start_machines("/transfer/1")
    other.worker.ran.clear()
    if fleet_module.IS_TROUBLED:
        await post_foreign_ping(fleet, entry)
    for _ in range(REQUESTS):
        request_id, status = await entry.request("/transfer/2", "POST", b"x")
        fleet.log(
            f"{request_id} sent at {entry.name}, the machine of {INQUIRY}: "
            f"{status}"
        )
        await asyncio.sleep(0.1)
    wrong = 0
    for _at, request_id, caller in other.worker.ran:
        is_wrong = caller != INQUIRY
        wrong += is_wrong
        verdict = "WRONG" if is_wrong else "right"
        fleet.log(f"{request_id} ran with Caller-Service {caller}: {verdict}")
    fleet.log(f"{wrong} of {len(other.worker.ran)} runs have another service")
    _request_id, status = await entry.request("/holding/3")
    fleet.log(f"a request to the service of {entry.name} itself: {status}")
    if not other.worker.ran:
        raise fleet_module.CannotRunError("nothing ran")
    return not wrong


async def post_foreign_ping(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine
) -> None:
    """Sends one ping of another writer to the control address."""
    ping = machine.worker.ping()
    ping["info"] = {**ping["info"], "service": UNNAMED}
    ping["address"] = f"{machine.host}:{fleet.free_port(machine.host)}"
    ping["born"] = int(time.time() * 1000)
    status = await machine.post_ping("i-02d9e6b4", ping)
    fleet.log(
        f"a ping of another writer at {machine.name}, service {UNNAMED}: "
        f"{status}"
    )


if __name__ == "__main__":
    fleet_module.main(case, __file__)
