"""Measures how fast and at what cost an edition reaches all proxies.

Real daemons in three zones are compared with naive proxies, of which each
watches the store and reads every edition itself.
"""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import pathlib
import random
from typing import Any
from typing import NamedTuple

import anyio
import httpx

from benchmarks import statistics
from rattangauge import util
from rattangauge.config import objects as objects_module
from rattangauge.generated import objects as generated
from tools import fleet as fleet_module

ZONES = 3
SERVICES = 66
SETTLE_S = 4.0
IDLE_S = 10.0
WAIT_S = 60.0
STORE_CALLS = ("reads", "writes", "watches")


class Costs(NamedTuple):
    """Counters of a fleet at one time."""

    at_s: float
    control_bytes: float
    store_calls: int
    store_bytes: int


class Result(NamedTuple):
    """Figures of one fleet; the bytes of a change include the idle ones."""

    kind: str
    proxies: int
    changes: int
    convergence_p50_ms: float
    convergence_p99_ms: float
    convergence_worst_ms: float
    control_bytes_per_proxy_and_change: float
    store_calls_per_change: float
    store_bytes_per_change: float
    idle_control_bytes_per_s_and_node: float
    idle_store_calls_per_s: float
    return_store_calls: int
    return_store_bytes: int
    return_s: float


class Subject(NamedTuple):
    """A running fleet and what differs between the two kinds of it.

    Attributes:
        fleet: The processes.
        names: Names of the proxies.
        adopted: Returns when a proxy took a version, in ms; None if not yet.
        restart: Kills all proxies and starts them again.
        control: Returns the control bytes that all proxies have sent.
    """

    fleet: fleet_module.Fleet
    names: list[str]
    adopted: Callable[[str, int], Awaitable[int | None]]
    restart: Callable[[], Awaitable[None]]
    control: Callable[[], Awaitable[float]]


def _objects(timeout_ms: int) -> objects_module.ObjectSet:
    objects = objects_module.empty_set()
    policy = generated.Policy("default", timeout_ms=timeout_ms)
    objects["policy"]["default"] = policy
    for index in range(SERVICES):
        name = f"service-{index}"
        objects["pool"][name] = generated.Pool(name, name)
        objects["service"][name] = generated.Service(name, (name,), "default")
        objects["route"][name] = generated.Route(name, name, f"/{name}")
    return objects


async def _costs(subject: Subject) -> Costs:
    url = f"{subject.fleet.platform_url}/counters"
    counters = await subject.fleet.get_json(url)
    return Costs(
        anyio.current_time(),
        await subject.control(),
        sum(counters[name] for name in STORE_CALLS),
        counters["bytes_in"] + counters["bytes_out"],
    )


async def _wait_all(subject: Subject, version: int) -> list[int]:
    """Returns when each proxy took a version, in milliseconds since 1970."""
    times = []
    with anyio.fail_after(WAIT_S):
        for name in subject.names:
            while (at_ms := await subject.adopted(name, version)) is None:
                await anyio.sleep(0.1)
            times.append(at_ms)
    return times


async def _change(subject: Subject, version: int) -> float:
    """Publishes a change; returns the time to the last proxy, in ms."""
    url = subject.fleet.platform_url
    objects = _objects(1_000 + version)
    started_ms = await fleet_module.put_edition(url, version, objects)
    return max(await _wait_all(subject, version)) - started_ms


async def _measure(
    subject: Subject, kind: str, changes: int, rng: random.Random
) -> Result:
    await _change(subject, 1)
    await anyio.sleep(SETTLE_S)
    idle_from = await _costs(subject)
    await anyio.sleep(IDLE_S)
    idle_to = await _costs(subject)
    times = []
    for version in range(2, changes + 2):
        times.append(await _change(subject, version))
        await anyio.sleep(rng.uniform(0.1, 0.6))
    changed_to = await _costs(subject)
    started_ms = util.now_ms()
    await subject.restart()
    back_ms = max(await _wait_all(subject, changes + 1)) - started_ms
    await anyio.sleep(SETTLE_S)
    returned_to = await _costs(subject)
    proxies = len(subject.names)
    idle_s = idle_to.at_s - idle_from.at_s
    idle_bytes = idle_to.control_bytes - idle_from.control_bytes
    bytes_changed = changed_to.control_bytes - idle_to.control_bytes
    return Result(
        kind,
        proxies,
        changes,
        statistics.percentile(times, 0.5),
        statistics.percentile(times, 0.99),
        max(times),
        bytes_changed / proxies / changes,
        (changed_to.store_calls - idle_to.store_calls) / changes,
        (changed_to.store_bytes - idle_to.store_bytes) / changes,
        idle_bytes / proxies / idle_s,
        (idle_to.store_calls - idle_from.store_calls) / idle_s,
        returned_to.store_calls - changed_to.store_calls,
        returned_to.store_bytes - changed_to.store_bytes,
        back_ms / 1000,
    )


def _workers(count: int) -> list[fleet_module.Worker]:
    return [
        fleet_module.Worker(f"d{index}", index % ZONES + 1)
        for index in range(count)
    ]


async def _daemons(fleet: fleet_module.Fleet, count: int) -> Subject:
    workers = _workers(count)
    names = [worker.name for worker in workers]
    await fleet.start(*workers)

    async def adopted(name: str, version: int) -> int | None:
        address = fleet.ports[name].operators
        url = f"http://{address}/explain?subject=version%20{version}"
        with contextlib.suppress(httpx.HTTPError):
            for event in (await fleet.get_json(url))["events"]:
                if event["action"] == "put in force":
                    return event["time_ms"]
        return None

    async def control() -> float:
        total = 0.0
        async with httpx.AsyncClient(timeout=5.0) as client:
            for name in names:
                url = f"http://{fleet.ports[name].operators}/metrics"
                text = (await client.get(url)).text
                total += _sample(text)
        return total

    async def restart() -> None:
        for name in names:
            await fleet.kill(name)
        for name in names:
            await fleet.start_daemon(name)

    return Subject(fleet, names, adopted, restart, control)


def _sample(text: str) -> float:
    name = 'rattangauge_control_bytes_total{direction="sent"} '
    for line in text.splitlines():
        if line.startswith(name):
            return float(line.removeprefix(name))
    return 0.0


async def _naive(fleet: fleet_module.Fleet, count: int) -> Subject:
    names = [f"n{index}" for index in range(count)]

    async def start() -> None:
        for name in names:
            await fleet.start_module(
                name, "benchmarks.naive_proxy", fleet.platform_url
            )

    async def adopted(name: str, version: int) -> int | None:
        for line in reversed(fleet.log_text(name).splitlines()):
            number, _, at_ms = line.partition(" ")
            if number == str(version):
                return int(at_ms)
        return None

    async def restart() -> None:
        for name in names:
            await fleet.kill(name)
            fleet.clear_log(name)
        await start()

    async def control() -> float:
        return 0.0

    await start()
    return Subject(fleet, names, adopted, restart, control)


async def _run(options: argparse.Namespace) -> list[Result]:
    rng = random.Random(options.seed)
    results = []
    for size in options.sizes:
        for kind, make in (("daemons", _daemons), ("naive", _naive)):
            async with fleet_module.fleet() as fleet:
                subject = await make(fleet, size)
                await anyio.sleep(SETTLE_S)
                result = await _measure(subject, kind, options.changes, rng)
            results.append(result)
            _print(result)
    return results


def _print(result: Result) -> None:
    print(f"{result.kind}, {result.proxies} proxies:")
    for name, value in list(result._asdict().items())[2:]:
        print(f"  {name:40} {value:12.1f}", flush=True)


def _sizes(text: str) -> list[int]:
    return [int(part) for part in text.split(",")]


def main() -> None:
    """Measures the sizes of the command line and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=_sizes, default=[6, 12, 24])
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--json", type=pathlib.Path)
    options = parser.parse_args()
    results: list[Any] = anyio.run(_run, options)
    if options.json:
        tables = [result._asdict() for result in results]
        options.json.write_text(json.dumps(tables, indent=1))


if __name__ == "__main__":
    main()
