"""Costs of one daemon when all members of its zone return at once."""

import time
from typing import Any

import anyio

from benchmarks.capacity import processes
from benchmarks.capacity import scripted
from tools import fleet as fleet_module

# The last size is that of the target.
SIZES = (54, 108, 217)
SETTLE_S = 4.0
NAME = "daemon-0"


async def _return(size: int, seed: int) -> dict[str, float]:
    """Lets all members ask one daemon, though they would ask several."""
    async with fleet_module.fleet() as fleet, scripted.zone(size, seed) as zone:
        contacts = [member.mesh for member in zone.members.values()][:6]
        settings = {"mesh": {"contacts": contacts}}
        await fleet.start(fleet_module.Worker(NAME, 1, settings=settings))
        await fleet.wait_version(1)
        await anyio.sleep(SETTLE_S)
        ports, pid = fleet.ports[NAME], fleet.processes[NAME].pid
        control = await processes.control_bytes(ports.operators)
        cpu_s, started = processes.cpu_s(pid), time.perf_counter()
        refusals: list[int] = []

        async def rejoin(member: Any) -> None:
            refusals.append(await zone.rejoin(ports.mesh, member))

        async with anyio.create_task_group() as tasks:
            for member in zone.members.values():
                tasks.start_soon(rejoin, member)
        last_s = time.perf_counter() - started
        used_s = processes.cpu_s(pid) - cpu_s
        after = await processes.control_bytes(ports.operators)
    return {
        "last_s": last_s,
        "cpu_ms": used_s * 1000,
        "sent_bytes": after["sent"] - control["sent"],
        "refusals": sum(refusals),
    }


async def measure(seed: int) -> dict[str, Any]:
    """Measures the return of zones of several sizes."""
    report: dict[str, Any] = {}
    for size in SIZES:
        report[str(size)] = await _return(size, seed)
    report["slope_per_member"] = processes.slopes(report, SIZES)
    return report
