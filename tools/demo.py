"""Shows a small mesh at work: versions, calls and the loss of a daemon.

Three zones of two daemons serve calls while a second version is published and
one daemon is killed. The exit code is 0 only if every call was answered and
every daemon runs the last version.
"""

import collections
import json
import pathlib
import sys
import tempfile
from typing import NamedTuple

import anyio
import rich.console
import rich.table

from rattangauge.config import objects as objects_module
from rattangauge.config import routes
from standins import caller as caller_module
from tools import fleet as fleet_module
from tools import publishing

EXAMPLES = fleet_module.ROOT / "examples"
ZONES = 3
DAEMONS_PER_ZONE = 2
VICTIM = "zone-3-b"
RATE = 100.0
SEED = 1
PHASE_S = 4.0
# The control figure of the design page: a change is active everywhere in 6 s.
CONVERGENCE_LIMIT_S = 6.0

PUBLISH = publishing.apply

console = rich.console.Console(highlight=False, width=100)


class Report(NamedTuple):
    """What the demo saw.

    Attributes:
        convergence_s: Time until all daemons ran the second version.
        versions: Version of each daemon at the end.
        recorder: Calls with their outcomes.
    """

    convergence_s: float
    versions: dict[str, int]
    recorder: caller_module.Recorder


def example_paths() -> list[pathlib.Path]:
    """Returns the object files of the demo."""
    choirs = sorted((EXAMPLES / "choirs").glob("*.toml"))
    return choirs or [EXAMPLES / "minimal" / "minimal.toml"]


def second_version(
    objects: objects_module.ObjectSet, folder: pathlib.Path
) -> pathlib.Path:
    """Writes a file with one more route and returns its path."""
    service = sorted(objects["service"])[0]
    path = folder / "second.toml"
    path.write_text(
        f'[[route]]\nname = "demo-second"\nservice = "{service}"\n'
        'prefix = "/demo-second"\nmethods = ["GET"]\n'
    )
    return path


def workers_for(
    objects: objects_module.ObjectSet,
) -> list[fleet_module.Worker]:
    """Returns two workers for each zone, with the services in turn."""
    announced = sorted({pool.announces for pool in objects["pool"].values()})
    workers = []
    for number in range(ZONES * DAEMONS_PER_ZONE):
        zone, letter = divmod(number, DAEMONS_PER_ZONE)
        name = f"zone-{zone + 1}-{'ab'[letter]}"
        service = announced[number % len(announced)]
        workers.append(fleet_module.Worker(name, zone + 1, service))
    return workers


def reads_of(objects: objects_module.ObjectSet) -> list[caller_module.Call]:
    """Returns an idempotent GET for each route that takes one."""
    return [
        caller_module.Call(route.prefix, size=500)
        for route in objects["route"].values()
        if "GET" in (route.methods or routes.IDEMPOTENT_METHODS)
        and route.idempotent != "no"
    ]


async def _wait_ready(
    fleet: fleet_module.Fleet, workers: list[fleet_module.Worker]
) -> None:
    await fleet.wait_version(1)
    counts = collections.Counter(worker.service for worker in workers)
    for service, count in counts.items():
        await fleet.wait_serving(service, count)


async def _convergence_s(fleet: fleet_module.Fleet, version: int) -> float:
    started = anyio.current_time()
    await fleet.wait_version(version)
    return anyio.current_time() - started


async def _run(fleet: fleet_module.Fleet, folder: pathlib.Path) -> Report:
    paths = example_paths()
    objects = publishing.read(paths)
    workers = workers_for(objects)
    console.print(f"starting {len(workers)} daemons in {ZONES} zones")
    await fleet.start(*workers)
    await PUBLISH(fleet, paths, 1)
    await _wait_ready(fleet, workers)
    console.print(f"version 1 runs everywhere; {RATE:g} calls a second begin")
    addresses = [
        ports.callers for name, ports in fleet.ports.items() if name != VICTIM
    ]
    async with caller_module.Caller(addresses, SEED) as caller:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caller.run, reads_of(objects), RATE, 4 * PHASE_S)
            await anyio.sleep(PHASE_S)
            extra = second_version(objects, folder)
            await PUBLISH(fleet, [*paths, extra], 2)
            convergence_s = await _convergence_s(fleet, 2)
            console.print(f"version 2 ran everywhere {convergence_s:.2f} s on")
            await anyio.sleep(PHASE_S)
            await fleet.kill(VICTIM)
            console.print(f"{VICTIM} was killed with SIGKILL")
            await anyio.sleep(PHASE_S)
            await fleet.start_daemon(VICTIM)
            console.print(f"{VICTIM} was started again")
        for call in reads_of(publishing.read([extra])):
            await caller.call(call)
    await fleet.wait_version(2)
    versions = {
        name: (await fleet.status(name))["version"] for name in fleet.workers
    }
    return Report(convergence_s, versions, caller.recorder)


def _print_versions(fleet: fleet_module.Fleet, report: Report) -> None:
    answered = collections.Counter(
        result.instance for result in report.recorder.results
    )
    table = rich.table.Table("zone", "proxy", "version", "service", "calls")
    for name, worker in fleet.workers.items():
        calls = answered[fleet.ports[name].upstream]
        table.add_row(
            f"zone-{worker.zone}",
            name,
            str(report.versions[name]),
            worker.service,
            str(calls),
        )
    console.print(table)
    for zone in range(1, ZONES + 1):
        found = {
            report.versions[name]
            for name, worker in fleet.workers.items()
            if worker.zone == zone
        }
        console.print(f"zone-{zone}: versions {sorted(found)}")


def _print_calls(report: Report) -> None:
    summary = report.recorder.summary()
    console.print(json.dumps(summary))
    failed = collections.Counter(
        f"{result.outcome}: {result.detail}"
        for result in report.recorder.results
        if result.outcome != caller_module.ANSWERED
    )
    for detail, count in failed.most_common(5):
        console.print(f"{count} calls failed, {detail}", markup=False)


def findings(report: Report) -> list[str]:
    """Returns what did not hold."""
    summary = report.recorder.summary()
    found = []
    failed = summary["calls"] - summary["answered"]
    if failed:
        found.append(f"{failed} of {summary['calls']} calls failed")
    if not summary["answered"]:
        found.append("no call was answered")
    if set(report.versions.values()) != {2}:
        found.append(f"not all daemons run version 2: {report.versions}")
    if report.convergence_s > CONVERGENCE_LIMIT_S:
        found.append(f"version 2 took more than {CONVERGENCE_LIMIT_S} s")
    return found


async def run() -> int:
    """Runs the demo and returns its exit code."""
    async with fleet_module.fleet() as fleet:
        with tempfile.TemporaryDirectory() as folder:
            report = await _run(fleet, pathlib.Path(folder))
        _print_versions(fleet, report)
    _print_calls(report)
    found = findings(report)
    for finding in found:
        console.print(f"did not hold: {finding}")
    if not found:
        console.print("all of it held")
    return 1 if found else 0


def main() -> None:
    """Runs the command line."""
    sys.exit(anyio.run(run, backend_options={"use_uvloop": True}))


if __name__ == "__main__":
    main()
