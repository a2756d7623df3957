"""Fleets of local processes."""

import asyncio

import pytest

from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio

START_DELAY_S = 3.0


async def test_a_started_fleet_has_its_upstreams(monkeypatch):
    """Guards against the use of a stand-in that has not started yet."""
    start_module = fleet_module.Fleet.start_module

    async def start_upstreams_late(fleet, name, *arguments):
        if name.endswith(".upstream"):
            tasks.append(asyncio.create_task(late(fleet, name, *arguments)))
        else:
            await start_module(fleet, name, *arguments)

    async def late(fleet, name, *arguments):
        await asyncio.sleep(START_DELAY_S)
        await start_module(fleet, name, *arguments)

    tasks = []
    monkeypatch.setattr(
        fleet_module.Fleet, "start_module", start_upstreams_late
    )
    async with fleet_module.fleet() as fleet:
        await fleet.start(fleet_module.Worker("a", 1, "skladby"))
        assert (await fleet.counters("a")).get("begun", 0) == 0
    assert all(task.done() for task in tasks)
