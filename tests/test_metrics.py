"""Metrics of callers' requests on the users' platform."""

import pytest

from rattangauge import metrics
from rattangauge.generated import messages
from tests import meshes

TRACK = meshes.path("/track/", "skladby")


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


def _counts(metric):
    """Returns the number of observations by the values of the labels."""
    (family,) = metric.collect()
    return {
        tuple(sample.labels.values()): sample.value
        for sample in family.samples
        if sample.name.endswith("_count")
    }


async def test_answers_and_rejections_count_by_tenant_and_reason():
    """Guards against 401 and 429 that no metric shows."""
    choir = {"name": "m-choir", "api-keys": ["k1"], "rate-per-s": 4, "burst": 4}
    async with meshes.running() as mesh:
        spec = meshes.configuration(1, [TRACK], ("skladby",))
        mesh.store.put("config", "main", spec | {"tenants": [choir]})
        await mesh.add("a")
        await mesh.wait_ready()
        await mesh.send_heartbeats()
        await mesh.call("a", "/track/1")
        for _ in range(9):
            await mesh.call("a", "/track/1", authorization="Bearer k1")
    calls = _counts(metrics.CALL_SECONDS)
    assert calls["skladby", "m-choir", "short", "answered"] >= 1
    assert calls["skladby", "m-choir", "short", "call.quota"] >= 1
    assert calls["", "", "short", "call.unknown_key"] >= 1
    assert _counts(metrics.QUEUE_SECONDS)["m-choir", "short"] >= 1


def test_tenants_beyond_the_bound_count_as_one(monkeypatch):
    """Guards against time series for each name that a message has."""
    monkeypatch.setattr(metrics, "_counted_tenants", set())
    before = len(_counts(metrics.QUEUE_SECONDS))
    for number in range(1000):
        opened = messages.CallOpen(tenant=f"bound-{number}")
        metrics.observe_queue(opened, 0.01)
    added = len(_counts(metrics.QUEUE_SECONDS)) - before
    assert added <= metrics.MAX_TENANTS + 1
