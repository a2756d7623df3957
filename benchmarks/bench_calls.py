"""Measures calls over real daemons against a naive version.

Run as ``python -m benchmarks.bench_calls --seed N [--scenario NAME]
[--json FILE]``.
"""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
from typing import Any

import anyio

from benchmarks import load
from tests import builders
from tools import fleet as fleet_module

MODULES = {"ours": "rattangauge.daemon", "naive": "benchmarks.naive"}
WARM_UP_S = 8.0

Fleet = fleet_module.Fleet
Scenario = Callable[[random.Random], Awaitable[dict[str, Any]]]


@contextlib.asynccontextmanager
async def _fleet(module: str, service: str, *workers: fleet_module.Worker):
    """Opens a fleet that serves ``/SERVICE`` and waits until it is warm."""
    async with fleet_module.fleet() as fleet:
        fleet.daemon_module = module
        await fleet.start(*workers)
        # The policies of both deployments hedge (examples/).
        objects = builders.object_set((service,), hedge=True)
        await fleet_module.put_edition(fleet.platform_url, 1, objects)
        await fleet.wait_version(1)
        serving = sum(worker.service == service for worker in workers)
        await fleet.wait_serving(service, serving)
        yield fleet


def _workers(
    service: str, count: int, **fields: Any
) -> list[fleet_module.Worker]:
    return [
        fleet_module.Worker(f"w{i}", i % 3 + 1, service, **fields)
        for i in range(count)
    ]


def _calls(
    fleet: Fleet,
    service: str,
    times: list[float],
    source: random.Random,
    **fields: Any,
) -> list[load.Call]:
    """Returns calls to random daemons of the fleet."""
    addresses = [ports.callers for ports in fleet.ports.values()]
    return [
        load.Call(time, source.choice(addresses), f"/{service}/1", **fields)
        for time in times
    ]


async def _warm_up(fleet: Fleet, service: str, rate: float) -> None:
    source = random.Random(0)
    times = load.arrivals(rate, 0.0, WARM_UP_S, source)
    await load.run(_calls(fleet, service, times, source, kind="warm"))


def _cpu_s(fleet: Fleet, name: str) -> float:
    """Returns the processor time of a process of the fleet, in seconds."""
    pid = fleet.processes[name].pid
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _hop(source: random.Random) -> dict[str, Any]:
    """What the daemons add to a call, at a low rate."""
    workers = [
        fleet_module.Worker("a", 1),
        fleet_module.Worker("b", 1, "skladby", work_ms=0.0),
    ]
    report: dict[str, Any] = {}
    async with _fleet(MODULES["ours"], "skladby", *workers) as fleet:
        paths = {
            "direct": fleet.ports["b"].upstream,
            "own upstream": fleet.ports["b"].callers,
            "two daemons": fleet.ports["a"].callers,
        }
        samples: dict[str, list[load.Result]] = {name: [] for name in paths}
        # The ways take turns, so that other load on the machine hits all.
        for _ in range(5):
            for name, address in paths.items():
                times = load.arrivals(100.0, 0.0, 4.0, source)
                calls = [load.Call(t, address, "/skladby/1") for t in times]
                samples[name] += await load.run(calls)
        for name, results in samples.items():
            report[name] = load.summarise(results)
    for name in ("own upstream", "two daemons"):
        for key in ("p50_ms", "p99_ms"):
            added = report[name][key] - report["direct"][key]
            report[f"added by {name}, {key}"] = round(added, 3)
    return report


async def _rate(source: random.Random) -> dict[str, Any]:
    """Processor time of each daemon per call."""
    workers = [
        fleet_module.Worker("a", 1),
        fleet_module.Worker("b", 1, "skladby", work_ms=0.0),
    ]
    report: dict[str, Any] = {}
    async with _fleet(MODULES["ours"], "skladby", *workers) as fleet:
        await _warm_up(fleet, "skladby", 100.0)
        address = fleet.ports["a"].callers
        before = {name: _cpu_s(fleet, name) for name in ("a", "b")}
        times = load.arrivals(400.0, 0.0, 10.0, source)
        calls = [load.Call(time, address, "/skladby/1") for time in times]
        results = await load.run(calls)
        report["calls"] = load.summarise(results)
        for name in ("a", "b"):
            used = _cpu_s(fleet, name) - before[name]
            side = "caller's daemon" if name == "a" else "upstream's daemon"
            report[f"{side}, ms of processor per call"] = round(
                used * 1000 / len(calls), 3
            )
            report[f"{side}, calls per second and core"] = round(
                len(calls) / used
            )
    return report


async def _swing_once(module: str, seed: int) -> dict[str, Any]:
    """Demand of half, four times and again half the capacity."""
    source = random.Random(seed)
    service = "skladby"
    workers = _workers(
        service, 5, slots=9, work_ms=100.0, options=("--backlog=2000",)
    )
    capacity = 5 * 9 / 0.1
    async with _fleet(module, service, *workers) as fleet:
        await _warm_up(fleet, service, capacity / 3)
        phases = {
            "before": (0, 4, 0.5),
            "peak": (4, 10, 4),
            "after": (10, 16, 0.5),
        }
        calls = []
        for kind, (begin, end, factor) in phases.items():
            times = load.arrivals(capacity * factor, begin, end, source)
            calls += _calls(fleet, service, times, source, kind=kind)
        results = await load.run(calls)
    report = {}
    for kind, (begin, end, _) in phases.items():
        summary = load.summarise(results, kind)
        summary["good per second"] = round(summary["good"] / (end - begin), 1)
        report[kind] = summary
    return {"capacity per second": capacity, **report}


async def _blocking_once(module: str, seed: int) -> dict[str, Any]:
    """Short calls without and with long uploads."""
    source = random.Random(seed)
    service = "nahravky"
    workers = _workers(
        service, 3, slots=9, work_ms=20.0, options=("--backlog=2000",)
    )
    report = {}
    async with _fleet(module, service, *workers) as fleet:
        await _warm_up(fleet, service, 150.0)
        for name, uploads in (("without uploads", 0), ("with uploads", 60)):
            times = load.arrivals(150.0, 1.0, 7.0, source)
            calls = _calls(fleet, service, times, source)
            for number in range(uploads):
                call = load.Call(
                    number * 0.01,
                    fleet.ports[f"w{number % 3}"].callers,
                    f"/{service}/1?work_ms=3000",
                    kind="long",
                    method="POST",
                    body=b"x" * 1_500_000,
                    deadline_ms=60_000,
                )
                calls.append(call)
            results = await load.run(calls)
            report[name] = load.summarise(results)
            if uploads:
                report["uploads"] = load.summarise(results, "long")
    return report


async def _slow_in_moments(
    fleet: Fleet, count: int, source: random.Random
) -> None:
    """Slows random upstreams for half a second, every second and a half."""
    while True:
        await anyio.sleep(1.0)
        names = source.sample(list(fleet.workers), count)
        for name in names:
            await fleet.control_upstream(name, slow_factor=30.0)
        await anyio.sleep(0.5)
        for name in names:
            await fleet.control_upstream(name, slow_factor=1.0)


async def _slowed_once(module: str, seed: int) -> dict[str, Any]:
    """Some upstreams are slow for moments while all report good health."""
    source = random.Random(seed)
    service = "auskunft"
    workers = _workers(
        service, 4, slots=18, work_ms=10.0, options=("--backlog=2000",)
    )
    report = {}
    async with _fleet(module, service, *workers) as fleet:
        await _warm_up(fleet, service, 300.0)
        for count in (0, 1, 2):
            times = load.arrivals(300.0, 0.0, 9.0, source)
            calls = _calls(fleet, service, times, source)
            async with anyio.create_task_group() as tasks:
                if count:
                    tasks.start_soon(_slow_in_moments, fleet, count, source)
                results = await load.run(calls)
                tasks.cancel_scope.cancel()
            report[f"{count} slowed"] = load.summarise(results)
            for name in fleet.workers:
                await fleet.control_upstream(name, slow_factor=1.0)
        await fleet.control_upstream("w0", lie_state="starting")
        await anyio.sleep(3.0)
        times = load.arrivals(300.0, 0.0, 5.0, source)
        calls = _calls(fleet, service, times, source)
        results = await load.run(calls)
        report["one reported as starting"] = load.summarise(results)
    return report


def _against_naive(
    once: Callable[[str, int], Awaitable[dict[str, Any]]],
) -> Scenario:
    async def scenario(source: random.Random) -> dict[str, Any]:
        seed = source.randrange(2**32)
        return {
            name: await once(module, seed) for name, module in MODULES.items()
        }

    return scenario


SCENARIOS: dict[str, Scenario] = {
    "hop": _hop,
    "rate": _rate,
    "swing": _against_naive(_swing_once),
    "blocking": _against_naive(_blocking_once),
    "slowed": _against_naive(_slowed_once),
}


async def _run(arguments: argparse.Namespace) -> None:
    chosen = arguments.scenario or list(SCENARIOS)
    report = {"seed": arguments.seed}
    for name in chosen:
        source = random.Random(f"{arguments.seed} {name}")
        report[name] = await SCENARIOS[name](source)
        print(json.dumps({name: report[name]}, indent=2), flush=True)
    if arguments.json:
        text = json.dumps(report, indent=2)
        await anyio.Path(arguments.json).write_text(text)


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--scenario", action="append", choices=SCENARIOS)
    parser.add_argument("--json", default="")
    anyio.run(_run, parser.parse_args(), backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
