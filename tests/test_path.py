"""The whole path of a call and of a configuration, as separate processes."""

import httpx
import pytest

from tests import builders
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio


async def test_call_crosses_two_daemons():
    """Guards against a broken path from caller to upstream and back."""
    async with fleet_module.fleet() as fleet:
        await fleet.start(
            fleet_module.Worker("a", 1),
            fleet_module.Worker("b", 2, "skladby"),
        )
        objects = builders.object_set()
        await fleet_module.put_edition(fleet.platform_url, 1, objects)
        await fleet.wait_version(1)
        await fleet.wait_serving("skladby", 1)
        url = f"http://{fleet.ports['a'].callers}/skladby/1"
        async with httpx.AsyncClient(timeout=10.0) as client:
            small = await client.get(url, params={"echo": "x1"})
            large = await client.post(url, content=b"y" * 3_000_000)
        assert small.json()["echo"] == "x1"
        assert small.json()["instance"] == fleet.ports["b"].upstream
        assert large.json()["received"] == 3_000_000


async def test_call_without_configuration_is_not_run():
    """Guards against serving before a complete configuration is in force."""
    async with fleet_module.fleet() as fleet:
        await fleet.start(fleet_module.Worker("a", 1, "skladby"))
        ports = fleet.ports["a"]
        async with httpx.AsyncClient(timeout=10.0) as client:
            ready = await client.get(f"http://{ports.operators}/ready")
            answer = await client.get(f"http://{ports.callers}/skladby")
        assert ready.status_code == 503
        assert answer.status_code == 503
        assert answer.json()["outcome"] == "not_run"
        assert answer.headers["rattangauge-outcome"] == "not-run"
        assert (await fleet.counters("a")).get("begun", 0) == 0
