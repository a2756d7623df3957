"""Measures memory and processor time of a daemon and of editions by size.

Three things are measured at several sizes, and slopes are printed:

- ``daemon``: resident memory and processor share of a real daemon that is idle
  and that holds editions of several sizes;
- ``members``: memory and processor time of member records in the table of one
  process that holds an edition as well;
- ``edition``: processor time of checking, encoding, decoding and taking an
  edition.
"""

import argparse
from collections.abc import Callable
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time
from typing import Any

import anyio
import numpy

from rattangauge.config import check
from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.config import routes
from rattangauge.generated import messages
from rattangauge.generated import objects as generated
from rattangauge.membership import members
from tools import fleet as fleet_module

# The last sizes are those of the target: 66 services, 2,600 workers.
SERVICES = (16, 33, 66)
MEMBERS = (650, 1300, 2600)
EDITION_SERVICES = (66, 264, 1056)
SETTLE_S = 3.0
OBSERVED_S = 8.0
REPEATS = 7
MIB = 1 << 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def object_set(count: int) -> objects_module.ObjectSet:
    """Returns a pool, a service, a policy and a route for each service."""
    objects = objects_module.empty()
    for number in range(count):
        name = f"service-{number}"
        objects["policy"][name] = generated.Policy(name)
        objects["pool"][name] = generated.Pool(name, name)
        objects["service"][name] = generated.Service(name, (name,), name)
        objects["route"][name] = generated.Route(name, name, f"/{name}")
    return objects


def member_records(count: int, services: int) -> list[messages.Member]:
    """Returns records of serving members, spread over services and zones."""
    return [
        messages.Member(
            instance=f"instance-{number}",
            zone=f"zone-{number % 12 + 1}",
            region="sk-west",
            mesh=f"127.0.1.{number % 250 + 1}:{10_000 + number}",
            operators=f"127.0.1.{number % 250 + 1}:{20_000 + number}",
            service=f"service-{number % services}",
            incarnation=1_700_000_000_000 + number,
            upstream=messages.UpstreamState.SERVING,
            slots=9,
        )
        for number in range(count)
    ]


def rss_bytes(pid: int | str = "self") -> int:
    """Returns the resident memory of a process, in bytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def slope(sizes: tuple[int, ...], values: list[float]) -> float:
    """Returns the growth of values for each unit of size.

    >>> round(slope((1, 2, 3), [5.0, 7.0, 9.0]), 6)
    2.0
    """
    return float(numpy.polyfit(sizes, values, 1)[0])


def _median_cpu_ms(work: Callable[[], Any], repeats: int) -> float:
    samples = []
    for _ in range(repeats):
        started = time.process_time()
        work()
        samples.append((time.process_time() - started) * 1000)
    return statistics.median(samples)


def _edition_costs(count: int, repeats: int) -> dict[str, float]:
    objects = object_set(count)
    data = edition_module.encode(objects)
    digest = edition_module.digest_of(data)

    def take() -> None:
        routes.compile_routes(edition_module.decode(1, digest, data))

    steps: dict[str, Callable[[], Any]] = {
        "check_ms": lambda: check.check(objects),
        "encode_ms": lambda: edition_module.encode(objects),
        "decode_ms": lambda: edition_module.decode(1, digest, data),
        "take_ms": take,
    }
    costs = {
        name: _median_cpu_ms(work, repeats) for name, work in steps.items()
    }
    return {**costs, "bytes": float(len(data))}


def edition_costs(repeats: int) -> dict[str, Any]:
    """Measures the processor time of editions by number of services."""
    report: dict[str, Any] = {
        str(count): _edition_costs(count, repeats) for count in EDITION_SERVICES
    }
    report["slope_per_service"] = _slopes(report, EDITION_SERVICES)
    return report


def _slopes(report: dict[str, Any], sizes: tuple[int, ...]) -> dict[str, float]:
    names = report[str(sizes[0])]
    return {
        name: slope(sizes, [report[str(size)][name] for size in sizes])
        for name in names
    }


def hold(count: int) -> dict[str, float]:
    """Holds an edition and member records in this process."""
    services = EDITION_SERVICES[0]
    data = edition_module.encode(object_set(services))
    digest = edition_module.digest_of(data)
    edition = edition_module.decode(1, digest, data)
    table = routes.compile_routes(edition)
    before = rss_bytes()
    own = messages.Member("own", "zone-1", "sk-west", "127.0.1.1:1")
    known = members.MemberTable(own)
    started = time.process_time()
    known.merge(member_records(count, services))
    merge_ms = (time.process_time() - started) * 1000
    grown = rss_bytes() - before
    assert table.version == 1
    return {"rss_growth_mib": grown / MIB, "merge_ms": merge_ms}


def member_costs() -> dict[str, Any]:
    """Measures member records, each size in a process of its own."""
    report: dict[str, Any] = {}
    for count in MEMBERS:
        command = [sys.executable, "-m", "benchmarks.bench_capacity"]
        done = subprocess.run(
            [*command, "--hold", str(count)],
            check=True,
            capture_output=True,
            cwd=fleet_module.ROOT,
        )
        report[str(count)] = json.loads(done.stdout)
    report["slope_per_member"] = _slopes(report, MEMBERS)
    return report


async def _observe(
    fleet: fleet_module.Fleet, observed_s: float
) -> dict[str, float]:
    pid = fleet.processes["a"].pid
    await anyio.sleep(SETTLE_S)
    used_s, started = cpu_s(pid), time.perf_counter()
    await anyio.sleep(observed_s)
    share = (cpu_s(pid) - used_s) / (time.perf_counter() - started)
    return {"rss_mib": rss_bytes(pid) / MIB, "cpu_percent": share * 100}


async def daemon_costs(observed_s: float) -> dict[str, Any]:
    """Measures a daemon that is idle and that holds editions."""
    report: dict[str, Any] = {}
    for count in (0, *SERVICES):
        async with fleet_module.fleet() as fleet:
            await fleet.start(fleet_module.Worker("a", 1))
            if count:
                objects = object_set(count)
                await fleet_module.put_edition(fleet.platform_url, 1, objects)
                await fleet.wait_version(1)
            report[str(count)] = await _observe(fleet, observed_s)
    report["slope_per_service"] = _slopes(report, SERVICES)
    return report


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="not used")
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--hold", type=int, default=0, help="for own use")
    return parser.parse_args(arguments)


def main() -> None:
    """Runs the command line."""
    options = parse_arguments()
    if options.hold:
        print(json.dumps(hold(options.hold)))
        return
    observed_s = OBSERVED_S / 4 if options.quick else OBSERVED_S
    report = {
        "edition": edition_costs(3 if options.quick else REPEATS),
        "members": member_costs(),
        "daemon": anyio.run(daemon_costs, observed_s),
    }
    print(json.dumps(report, indent=2))
    if options.json:
        options.json.write_text(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
