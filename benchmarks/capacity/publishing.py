"""Cost of an operator's publish: store calls, bytes and processor time."""

import time
from typing import Any

from benchmarks.capacity import processes
from benchmarks.capacity import records
from rattangauge import publisher
from rattangauge.config import objects as objects_module
from rattangauge.net import object_store
from tools import fleet as fleet_module

# The last size is that of the target.
SERVICES = (16, 33, 66)
# The head's log is full after 100 changes.
CHANGES = 110
MEASURED = 10
KINDS = ("reads", "writes", "watches")


def _one_object(number: int) -> objects_module.ObjectSet:
    objects = objects_module.empty_set()
    whole = records.object_set(1, 1_000 + number)
    objects["policy"] = whole["policy"]
    return objects


async def _apply(
    store: object_store.Store, objects: objects_module.ObjectSet
) -> None:
    request = publisher.Request(objects, "bench", publisher.new_operation_id())
    await publisher.apply(store, request)


async def _publish(services: int) -> dict[str, float]:
    async with fleet_module.fleet() as fleet:
        url = fleet.platform_url
        async with object_store.open_client(url, 5.0) as client:
            store = object_store.HttpStore(client)
            await _apply(store, records.object_set(services))
            for number in range(CHANGES):
                await _apply(store, _one_object(number))
            before = await fleet.get_json(f"{url}/counters")
            started_s = time.process_time()
            for number in range(MEASURED):
                await _apply(store, _one_object(CHANGES + number))
            used_s = time.process_time() - started_s
            after = await fleet.get_json(f"{url}/counters")
    report = {
        name: (after[name] - before[name]) / MEASURED
        for name in (*KINDS, "bytes_in", "bytes_out")
    }
    return {**report, "cpu_ms": used_s * 1000 / MEASURED}


async def measure() -> dict[str, Any]:
    """Measures publishes of one object, with a full log, by services."""
    report: dict[str, Any] = {}
    for services in SERVICES:
        report[str(services)] = await _publish(services)
    report["slope_per_service"] = processes.slopes(report, SERVICES)
    return report
