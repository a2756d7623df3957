"""Processor time of a call at the caller's daemon and at the upstream's."""

import random as random_module
import time
from typing import Any

import anyio

from benchmarks import load
from benchmarks.capacity import processes
from benchmarks.capacity import records
from tools import fleet as fleet_module

# 200,000 calls a second at 2,600 daemons are 77 a second at each.
RATES = (40, 77, 154)
SERVICE = "service-0"
SETTLE_S = 2.0


async def _observe(
    fleet: fleet_module.Fleet, rate: float, observed_s: float, seed: int
) -> dict[str, float]:
    pids = {name: fleet.processes[name].pid for name in ("a", "b")}
    used = {name: processes.cpu_s(pid) for name, pid in pids.items()}
    started = time.perf_counter()
    report = {}
    if rate:
        source = random_module.Random(seed)
        address = fleet.ports["a"].callers
        times = load.arrivals(rate, 0.0, observed_s, source)
        calls = [load.Call(t, address, f"/{SERVICE}/1") for t in times]
        report["good"] = load.summarise(await load.run(calls))["good"]
    else:
        await anyio.sleep(observed_s)
    passed_s = time.perf_counter() - started
    for name, pid in pids.items():
        spent_s = processes.cpu_s(pid) - used[name]
        report[f"{name}_cpu_ms_per_s"] = spent_s * 1000 / passed_s
    return report


async def measure(observed_s: float, seed: int) -> dict[str, Any]:
    """Measures two daemons by calls a second; daemon b has the upstream."""
    report: dict[str, Any] = {}
    workers = (
        fleet_module.Worker("a", 1),
        fleet_module.Worker("b", 1, SERVICE, work_ms=0.0),
    )
    async with fleet_module.fleet() as fleet:
        await fleet.start(*workers)
        objects = records.object_set(records.SERVICES)
        await fleet_module.put_edition(fleet.platform_url, 1, objects)
        await fleet.wait_version(1)
        await fleet.wait_serving(SERVICE, 1)
        await anyio.sleep(SETTLE_S)
        idle = await _observe(fleet, 0, observed_s, seed)
        for rate in RATES:
            found = await _observe(fleet, rate, observed_s, seed)
            for name in ("a", "b"):
                key = f"{name}_cpu_ms_per_s"
                spent = found[key] - idle[key]
                calls_per_s = found["good"] / observed_s
                found[f"{name}_cpu_ms_per_call"] = spent / calls_per_s
                found[f"{name}_core_percent"] = found[key] / 10
            report[str(rate)] = found
    report["slope_per_call_a_second"] = processes.slopes(report, RATES)
    return report
