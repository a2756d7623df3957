"""Costs of one real daemon in a scripted zone: idle, changes and a rack."""

import json
import math
import sys
import time
from typing import Any
from typing import NamedTuple

import anyio

from benchmarks.capacity import processes
from benchmarks.capacity import records
from benchmarks.capacity import scripted
from rattangauge.membership import gateways
from rattangauge.membership import probing
from tools import fleet as fleet_module

# The last size is that of the target.
SIZES = (54, 108, 217)
# A rack holds a tenth of a zone.
RACK_SHARE = 10
SETTLE_S = 12.0
CHANGES = 20
CHANGE_PERIOD_S = 1.0
RACK_S = 15.0


class _Counters(NamedTuple):
    at_s: float
    cpu_s: float
    sent: float
    received: float
    store_writes: int
    store_calls: int


def _daemon_name(is_gateway: bool, count: int) -> str:
    """Returns a name that makes the daemon the first gateway, or none."""
    others = [records.member(number) for number in range(1, count)]
    for number in range(10_000):
        own = records.member(0)._replace(instance=f"daemon-{number}")
        chosen = gateways.select_gateways("zone-1", [own, *others])
        if chosen[0] == own if is_gateway else own not in chosen:
            return own.instance
    raise ValueError("no name has the rank that is looked for")


async def _read(fleet: fleet_module.Fleet, name: str) -> _Counters:
    control = await processes.control_bytes(fleet.ports[name].operators)
    store = await fleet.get_json(f"{fleet.platform_url}/counters")
    calls = sum(store[kind] for kind in ("reads", "writes", "watches"))
    return _Counters(
        time.perf_counter(),
        processes.cpu_s(fleet.processes[name].pid),
        control["sent"],
        control["received"],
        store["writes"],
        calls,
    )


def _per(old: _Counters, new: _Counters, units: float) -> dict[str, float]:
    return {
        "cpu_ms": (new.cpu_s - old.cpu_s) * 1000 / units,
        "sent_bytes": (new.sent - old.sent) / units,
        "received_bytes": (new.received - old.received) / units,
        "store_writes": (new.store_writes - old.store_writes) / units,
        "store_calls": (new.store_calls - old.store_calls) / units,
    }


def _named(prefix: str, figures: dict[str, float]) -> dict[str, float]:
    return {f"{prefix}_{name}": value for name, value in figures.items()}


async def _changes(
    fleet: fleet_module.Fleet, zone: scripted.Zone, name: str, reports: bool
) -> dict[str, float]:
    before = await _read(fleet, name)
    mesh = fleet.ports[name].mesh
    for version in range(2, CHANGES + 2):
        await zone.change(mesh, version, reports)
        await anyio.sleep(CHANGE_PERIOD_S)
    await fleet.wait_version(CHANGES + 1)
    return _per(before, await _read(fleet, name), CHANGES)


async def observe(
    role: str, count: int, observed_s: float, seed: int
) -> dict[str, float]:
    """Observes a daemon; figures are per second, per change and per rack."""
    if role == "settled":
        return await observe_settled(count, observed_s, seed)
    is_gateway = role == "gateway"
    name = _daemon_name(is_gateway, count)
    async with (
        fleet_module.fleet() as fleet,
        scripted.zone(count, seed) as zone,
    ):
        contacts = [member.mesh for member in zone.members.values()][:6]
        settings = {"mesh": {"contacts": contacts}}
        await fleet.start(fleet_module.Worker(name, 1, settings=settings))
        await fleet.wait_version(1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(zone.probe_all, fleet.ports[name].mesh)
            await anyio.sleep(SETTLE_S)
            before = await _read(fleet, name)
            await anyio.sleep(observed_s)
            after = await _read(fleet, name)
            idle = _per(before, after, after.at_s - before.at_s)
            changed = await _changes(fleet, zone, name, is_gateway)
            lost = await _lose_rack(fleet, zone, name, count // RACK_SHARE)
            tasks.cancel_scope.cancel()
        pid = fleet.processes[name].pid
        return {
            "rss_mib": processes.rss_bytes(pid) / processes.MIB,
            "idle_cpu_percent": idle["cpu_ms"] / 10,
            **_named("idle_s", idle),
            **_named("change", changed),
            **_named("rack", lost),
            "unanswered": zone.received["unanswered"],
        }


def _drained_s(count: int) -> float:
    """Returns the time until all records of a zone were sent often enough.

    A daemon that has joined passes each record on; every second it sends about
    two messages, a probe and an answer, with the most records each.
    """
    sent = count * probing.RETRANSMIT_FACTOR * math.ceil(math.log2(count + 1))
    return sent / probing.MAX_UPDATES_PER_MESSAGE / 2


async def observe_settled(
    count: int, observed_s: float, seed: int
) -> dict[str, float]:
    """Observes a member after all records of the zone have been passed on."""
    name = _daemon_name(False, count)
    async with (
        fleet_module.fleet() as fleet,
        scripted.zone(count, seed) as zone,
    ):
        contacts = [member.mesh for member in zone.members.values()][:6]
        settings = {"mesh": {"contacts": contacts}}
        await fleet.start(fleet_module.Worker(name, 1, settings=settings))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(zone.probe_all, fleet.ports[name].mesh)
            await anyio.sleep(SETTLE_S + _drained_s(count))
            before, frames = await _read(fleet, name), zone.received.copy()
            await anyio.sleep(observed_s)
            after = await _read(fleet, name)
            tasks.cancel_scope.cancel()
        passed_s = after.at_s - before.at_s
        frames = zone.received - frames
    found = _per(before, after, passed_s)
    kinds = {f"received_{kind}": n / passed_s for kind, n in frames.items()}
    return {"cpu_percent": found["cpu_ms"] / 10, **found, **kinds}


async def _lose_rack(
    fleet: fleet_module.Fleet, zone: scripted.Zone, name: str, count: int
) -> dict[str, float]:
    """Returns what a daemon spends while members stop to answer."""
    before = await _read(fleet, name)
    zone.silence(count)
    await anyio.sleep(RACK_S)
    return _per(before, await _read(fleet, name), 1)


async def _observe_process(
    role: str, size: int, observed_s: float, seed: int
) -> dict[str, float]:
    """Observes in a process of its own, which answers in time."""
    command = [sys.executable, "-m", "benchmarks.bench_capacity"]
    command += ["--observe", role, str(size), str(observed_s)]
    command += ["--seed", str(seed)]
    done = await anyio.run_process(command, cwd=fleet_module.ROOT)
    return json.loads(done.stdout)


async def measure_settled(observed_s: float, seed: int) -> dict[str, Any]:
    """Observes settled members by size, all at the same time."""
    report: dict[str, Any] = {str(size): {} for size in SIZES}

    async def keep(size: int) -> None:
        found = await _observe_process("settled", size, observed_s, seed)
        report[str(size)] = found

    async with anyio.create_task_group() as tasks:
        for size in SIZES:
            tasks.start_soon(keep, size)
    return report


async def measure(observed_s: float, seed: int) -> dict[str, Any]:
    """Observes daemons by role and size, all at the same time."""
    reports: dict[str, Any] = {}

    async def keep(role: str, size: int) -> None:
        found = await _observe_process(role, size, observed_s, seed)
        reports[role][str(size)] = found

    async with anyio.create_task_group() as tasks:
        for role in ("member", "gateway"):
            reports[role] = {str(size): {} for size in SIZES}
            for size in SIZES:
                tasks.start_soon(keep, role, size)
    for role in ("member", "gateway"):
        reports[role]["slope"] = processes.slopes(reports[role], SIZES)
    return reports
