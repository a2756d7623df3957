"""Memory and processor share of a daemon that holds editions and is alone."""

import time
from typing import Any

import anyio

from benchmarks.capacity import processes
from benchmarks.capacity import records
from tools import fleet as fleet_module

# The last size is that of the target.
SERVICES = (16, 33, 66)
SETTLE_S = 3.0


async def _observe(
    fleet: fleet_module.Fleet, observed_s: float
) -> dict[str, float]:
    pid = fleet.processes["a"].pid
    await anyio.sleep(SETTLE_S)
    used_s, started = processes.cpu_s(pid), time.perf_counter()
    await anyio.sleep(observed_s)
    share = (processes.cpu_s(pid) - used_s) / (time.perf_counter() - started)
    rss_mib = processes.rss_bytes(pid) / processes.MIB
    return {"rss_mib": rss_mib, "cpu_percent": share * 100}


async def measure(observed_s: float) -> dict[str, Any]:
    """Measures a daemon that is idle and that holds editions."""
    report: dict[str, Any] = {}
    for count in (0, *SERVICES):
        async with fleet_module.fleet() as fleet:
            await fleet.start(fleet_module.Worker("a", 1))
            if count:
                objects = records.object_set(count)
                await fleet_module.put_edition(fleet.platform_url, 1, objects)
                await fleet.wait_version(1)
            report[str(count)] = await _observe(fleet, observed_s)
    report["slope_per_service"] = processes.slopes(report, SERVICES)
    return report
