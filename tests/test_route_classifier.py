"""Tests of the call classes, long and short, that the router learns."""

import anyio
import httpx
import pytest

from tests import builders
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio


async def test_calls_that_waited_in_a_queue_stay_short():
    """Guards against short calls that are classified as long under overload.

    Long calls may use only a part of the slots, so a wrong class would prolong
    the overload.
    """
    settings = {"calls": {"queue": 200}}
    worker = fleet_module.Worker(
        "a", 1, "skladby", slots=2, work_ms=50.0, settings=settings
    )
    async with fleet_module.fleet() as fleet:
        await fleet.start(worker)
        objects = builders.object_set()
        await fleet_module.put_edition(fleet.platform_url, 1, objects)
        await fleet.wait_version(1)
        await fleet.wait_serving("skladby", 1)
        ports = fleet.ports["a"]
        limits = httpx.Limits(max_connections=None)
        async with httpx.AsyncClient(timeout=60.0, limits=limits) as client:
            async with anyio.create_task_group() as tasks:
                url = f"http://{ports.callers}/skladby/1"
                for _ in range(100):
                    tasks.start_soon(client.get, url)
            metrics = await client.get(f"http://{ports.operators}/metrics")
        counters = await fleet.counters("a")
    assert counters["begun"] == 100
    assert 'call_class="short"' in metrics.text
    assert 'call_class="long"' not in metrics.text


async def test_uploads_leave_the_small_calls_of_their_route_short():
    """Guards against small calls classified as long because of uploads."""
    worker = fleet_module.Worker("a", 1, "skladby", work_ms=1500.0)
    async with fleet_module.fleet() as fleet:
        await fleet.start(worker)
        objects = builders.object_set()
        await fleet_module.put_edition(fleet.platform_url, 1, objects)
        await fleet.wait_version(1)
        await fleet.wait_serving("skladby", 1)
        ports = fleet.ports["a"]
        url = f"http://{ports.callers}/skladby/1"
        async with httpx.AsyncClient(timeout=60.0) as client:
            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    content = b"x" * 1_200_000
                    tasks.start_soon(_post, client, url, content)
            await client.get(url, params={"work_ms": 1})
            metrics = await client.get(f"http://{ports.operators}/metrics")
    name = "rattangauge_service_seconds_count"
    counts = [line for line in metrics.text.splitlines() if name in line]
    assert len(counts) == 2
    short = next(line for line in counts if 'call_class="short"' in line)
    assert short.endswith(" 1.0")


async def _post(client, url, content):
    await client.post(url, content=content)
