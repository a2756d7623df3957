"""Counts keyed calls that are refused needlessly while processes fail.

Each order is sent with one key, issued or plain, to up to ``ATTEMPTS`` daemons
in turn. The upstream stand-ins count the runs of each key. An order that ended
without an answer is a needless refusal if its key never ran, or if it ran at a
daemon whose record of keys still exists.

    python -m benchmarks.keyed --seed 1 --seconds 30
"""

import argparse
import collections
import json
import random
import signal

import anyio
import httpx

from tests import builders
from tools import fleet as fleet_module

ATTEMPTS = 4
RATE_S = 0.02
SERVICE = "objednavky"
WORKERS = (
    fleet_module.Worker("a", 1),
    fleet_module.Worker("b", 2),
    fleet_module.Worker("c", 1, SERVICE),
    fleet_module.Worker("d", 2, SERVICE),
)
OPERATORS = ("c", "d")


class Orders:
    """Orders of one run with their outcomes."""

    def __init__(self, fleet: fleet_module.Fleet, seed: int) -> None:
        """Creates an empty record."""
        self._fleet = fleet
        self._random = random.Random(seed)
        self.results: dict[str, str] = {}

    async def run(self, client: httpx.AsyncClient, number: int) -> None:
        """Sends one order until it is answered."""
        key = f"plain-{number}"
        if number % 2:
            key = await self._issue(client) or key
        result = "no attempt"
        for _ in range(ATTEMPTS):
            result = await self._attempt(client, key)
            if result == "answered":
                break
            await anyio.sleep(0.3)
        self.results[key] = result

    async def _issue(self, client: httpx.AsyncClient) -> str:
        name = self._random.choice("ab")
        url = f"http://{self._fleet.ports[name].callers}/.rattangauge/keys"
        wanted = {"method": "POST", "path": f"/{SERVICE}"}
        response = await client.post(url, json=wanted)
        return response.json().get("key", "")

    async def _attempt(self, client: httpx.AsyncClient, key: str) -> str:
        name = self._random.choice("ab")
        url = f"http://{self._fleet.ports[name].callers}/{SERVICE}"
        headers = {"idempotency-key": key, "rattangauge-deadline-ms": "4000"}
        try:
            response = await client.post(url, headers=headers)
        except httpx.HTTPError as error:
            return type(error).__name__
        if response.status_code == 200:
            return "answered"
        return response.json()["code"]


async def inject(fleet: fleet_module.Fleet, until: float, seed: int) -> None:
    """Injects one fault after the other."""
    chooser = random.Random(seed)
    url = fleet.platform_url
    while anyio.current_time() < until:
        fault = chooser.choice(("freeze", "store", "reply", "answer", "kill"))
        name = chooser.choice(OPERATORS)
        if fault == "freeze":
            fleet.signal(name, signal.SIGSTOP)
            await anyio.sleep(chooser.uniform(0.2, 3.0))
            fleet.signal(name, signal.SIGCONT)
        elif fault == "store":
            await fleet.control(url, down=True)
            await anyio.sleep(chooser.uniform(0.2, 2.0))
            await fleet.control(url, down=False)
        elif fault == "reply":
            await fleet.control(url, lose_replies=3)
        elif fault == "answer":
            await fleet.control_upstream(name, drop_answers=3)
        else:
            await fleet.kill(name)
            await fleet.start_daemon(name)
        await anyio.sleep(1.0)


async def count_runs(fleet: fleet_module.Fleet) -> collections.Counter[str]:
    """Returns the runs of each key over all upstreams."""
    runs: collections.Counter[str] = collections.Counter()
    for name in OPERATORS:
        runs.update((await fleet.counters(name))["runs"])
    return runs


async def measure(options: argparse.Namespace) -> dict[str, object]:
    """Runs orders under faults and returns the figures."""
    async with fleet_module.fleet() as fleet:
        await fleet.start(*WORKERS)
        objects = builders.object_set()
        await fleet_module.put_edition(fleet.platform_url, 1, objects)
        await fleet.wait_version(1)
        await fleet.wait_serving(SERVICE, len(OPERATORS))
        orders = Orders(fleet, options.seed)
        until = anyio.current_time() + options.seconds
        async with (
            httpx.AsyncClient(timeout=10.0) as client,
            anyio.create_task_group() as tasks,
        ):
            if not options.calm:
                tasks.start_soon(inject, fleet, until, options.seed)
            number = 0
            while anyio.current_time() < until:
                tasks.start_soon(orders.run, client, number)
                number += 1
                await anyio.sleep(RATE_S)
        return summarize(orders.results, await count_runs(fleet))


def summarize(
    results: dict[str, str], runs: collections.Counter[str]
) -> dict[str, object]:
    """Returns the figures of a run."""
    refused = {key: code for key, code in results.items() if code != "answered"}
    never_ran = [key for key in refused if not runs[key]]
    return {
        "orders": len(results),
        "answered": len(results) - len(refused),
        "refused_by_code": collections.Counter(refused.values()),
        "refused_though_never_run": len(never_ran),
        "never_run_by_code": collections.Counter(
            refused[key] for key in never_ran
        ),
        "run_twice": sum(count > 1 for count in runs.values()),
        "answered_without_run": sum(
            code == "answered" and not runs[key]
            for key, code in results.items()
        ),
    }


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--calm", action="store_true", help="without faults")
    print(json.dumps(anyio.run(measure, parser.parse_args()), indent=1))


if __name__ == "__main__":
    main()
