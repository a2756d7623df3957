"""Measures the decisions of a request with key, tenant and quota.

Run as ``python -m benchmarks.bench_decisions --seed N [--json FILE]``.
"""

import argparse
from collections.abc import Callable
import itertools
import json
import pathlib
import random
import statistics
import time
from typing import Any

import anyio

from rattangauge import metrics
from rattangauge.calls import identity
from rattangauge.calls import quota
from rattangauge.calls import transfer_schedule
from rattangauge.config import tenants
from rattangauge.generated import messages
from rattangauge.generated import objects
from standins import configurations
from standins import connection as connection_module
from tests import builders
from tools import platformfleet

DAEMONS = 79
TENANTS = 82
KEYS = 10_000
TRANSFERS = 50
# Runs of a decision that are timed together, and how often.
BATCH = 2_000
BATCHES = 9
# Calls of a round, and rounds without and with tenants, by turns.
CALLS = 500
ROUNDS = 12
# Time for which a daemon takes a new configuration into force.
APPLY_S = 1.0

# Makes a decision once.
Decision = Callable[[], object]
PATHS = [configurations.path("/track/", "skladby")]
SERVICES = ("skladby",)
KEY = "key-of-the-caller"
TENANT = {
    "name": "choir",
    "api-keys": [KEY],
    "rate-per-s": 1_000_000,
    "burst": 1_000_000,
}


def _median_us(decide: Decision) -> float:
    """Returns the time of a decision, in microseconds."""
    times = []
    for _ in range(BATCHES):
        began_at = time.perf_counter()
        for _ in range(BATCH):
            decide()
        times.append((time.perf_counter() - began_at) / BATCH * 1e6)
    return statistics.median(times)


def _identity(source: random.Random) -> Decision:
    """Returns the look-up of one of ``KEYS`` keys."""
    keys = [f"{source.getrandbits(128):032x}" for _ in range(KEYS)]
    found = builders.object_set()
    found["tenant"] = {
        f"t{n}": objects.Tenant(f"t{n}", tuple(keys[n::TENANTS]))
        for n in range(TENANTS)
    }
    table = tenants.compile_tenants(found)
    sent = itertools.cycle(f"Bearer {key}".encode() for key in keys)
    return lambda: identity.identify(table, next(sent), False)


def _grant() -> Decision:
    """Returns the answer of a home to asks beyond the rate."""
    bucket = quota.Bucket(quota.Limit(330.0, 330.0), 0.0, 100.0)
    askers = itertools.cycle(f"10.0.0.{n}:1" for n in range(DAEMONS))
    ticks = itertools.count()

    def decide() -> object:
        ask = quota.Ask(next(askers), 1, 20.0)
        return bucket.grant(ask, next(ticks) / 700.0)

    return decide


def _take() -> Decision:
    """Returns a look at the lease of one of the tenants."""
    leases = [quota.Lease() for _ in range(TENANTS)]
    for lease in leases:
        lease.renew(quota.Grant(10**9, 0.0), 0.0)
    next_lease = itertools.cycle(leases)
    return lambda: next(next_lease).take(0.1)


def _transfer() -> Decision:
    """Returns the choice of the next piece among ``TRANSFERS``."""
    schedule = transfer_schedule.TransferSchedule(687_500.0)
    for number in range(TRANSFERS):
        schedule.request(number, 90_000 + number, 0.0)
    ticks = itertools.count()

    def decide() -> object:
        piece = schedule.take(float(next(ticks)))
        schedule.request(piece[0] if piece else 0, 90_000, 0.0)
        return piece

    return decide


def _observation() -> Decision:
    """Returns the record of a call in the histogram of its tenant."""
    names = [f"t{n}" for n in range(TENANTS)]
    opened = itertools.cycle(
        messages.CallOpen(service="skladby", tenant=name) for name in names
    )
    return lambda: metrics.observe_outcome(next(opened), metrics.ANSWERED, 0.1)


def _processor_s(pid: int) -> float:
    """Returns the processor time of a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9


async def _round_us(machine: platformfleet.Machine) -> float:
    """Returns the processor time of a call at a daemon, in microseconds."""
    connection = await connection_module.connect(
        machine.host, machine.ports["callers"]
    )
    pid = machine.process.pid
    began_s = _processor_s(pid)
    for number in range(CALLS):
        fields = [
            ("host", configurations.HOST),
            ("request-id", f"r{number}"),
            ("deadline-ms", "900"),
            ("authorization", f"Bearer {KEY}"),
        ]
        await connection.send("GET", "/track/1", fields)
        answer = await connection.receive()
        if answer.status != 200:
            raise ValueError(f"a call was answered with {answer.status}")
    used_s = _processor_s(pid) - began_s
    await connection.close()
    return used_s / CALLS * 1e6


async def _calls() -> dict[str, float]:
    """Compares calls without and with tenants at one daemon process."""
    rounds: dict[bool, list[float]] = {False: [], True: []}
    async with platformfleet.running() as fleet:
        fleet.publish(PATHS, SERVICES)
        machine = await fleet.add("a", "skladby")
        fleet.start("a")
        await fleet.wait_served("a", "/track/1")
        await _round_us(machine)
        for _ in range(ROUNDS):
            for has_tenants, times_us in rounds.items():
                fleet.publish(PATHS, SERVICES, (TENANT,) if has_tenants else ())
                await anyio.sleep(APPLY_S)
                times_us.append(await _round_us(machine))
    # Other processes add to the time of a round, and never take from it.
    without_us = min(rounds[False])
    with_us = min(rounds[True])
    return {
        "without_us": without_us,
        "with_us": with_us,
        "added_share": with_us / without_us - 1.0,
    }


def measure(seed: int) -> dict[str, Any]:
    """Returns the figures of all decisions and calls."""
    source = random.Random(seed)
    return {
        "seed": seed,
        "decision": {
            "identity_us": _median_us(_identity(source)),
            "grant_us": _median_us(_grant()),
            "take_us": _median_us(_take()),
            "transfer_us": _median_us(_transfer()),
            "observation_us": _median_us(_observation()),
        },
        "call": anyio.run(_calls, backend_options={"use_uvloop": True}),
    }


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--json", default="")
    arguments = parser.parse_args()
    text = json.dumps(measure(arguments.seed), indent=2)
    print(text)
    if arguments.json:
        pathlib.Path(arguments.json).write_text(text)


if __name__ == "__main__":
    main()
