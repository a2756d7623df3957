"""Graceful shutdown of daemon processes."""

import signal

import anyio
import httpx
import pytest

from rattangauge.calls import exchange
from rattangauge.generated import messages
from rattangauge.net import drain
from tests import peers
from tests import test_once
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio


async def slow_body(begun, resume):
    yield b"a" * 100_000
    begun.set()
    await resume.wait()
    yield b"b" * 100_000


async def wait_exit(fleet, name):
    process = fleet.processes[name]
    with anyio.fail_after(30):
        return await process.wait()


async def wait_not_ready(fleet, name):
    address = f"http://{fleet.ports[name].operators}/ready"

    async def is_not_ready():
        async with httpx.AsyncClient() as client:
            return (await client.get(address)).status_code == 503

    await fleet_module.wait_until(is_not_ready, f"{name} is not ready")


@pytest.mark.parametrize(
    ("drained", "entry", "keyed"),
    [
        ("a", "a", False),
        ("c", "a", True),
        ("c", "c", False),
        ("c", "c", True),
    ],
)
async def test_upload_and_download_survive_a_drain(drained, entry, keyed):
    """Guards against a shutdown that interrupts an open request."""
    async with test_once.mesh() as (fleet, client):
        begun, resume = anyio.Event(), anyio.Event()
        headers = {"idempotency-key": "upload"} if keyed else {}
        answers = {}

        async def upload():
            answers["upload"] = await client.post(
                test_once.url(fleet, entry),
                content=slow_body(begun, resume),
                headers=headers,
            )

        async def download():
            address = test_once.url(fleet, entry, "?size=400000&rate=100000")
            answers["download"] = await client.get(address)

        # This connection stays open and idle during the shutdown.
        idle = f"http://{fleet.ports[drained].callers}/skladby"
        await client.get(idle)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(upload)
            tasks.start_soon(download)
            await begun.wait()
            await wait_begun(fleet, 2)
            fleet.signal(drained, signal.SIGTERM)
            await wait_not_ready(fleet, drained)
            await anyio.sleep(2.0)
            resume.set()
        assert answers["upload"].json()["received"] == 200_000
        assert len(answers["download"].content) == 400_000
        assert await wait_exit(fleet, drained) == 0
        assert "Traceback" not in fleet.log_text(drained)


async def wait_begun(fleet, count):
    async def have_begun():
        return (await fleet.counters("c")).get("begun", 0) >= count

    await fleet_module.wait_until(have_begun, f"{count} calls have begun")


async def test_drain_refuses_new_work():
    """Guards against new calls to an upstream whose daemon is draining."""
    async with test_once.mesh() as (fleet, client):
        async with anyio.create_task_group() as tasks:
            address = test_once.url(fleet, "a", "?work_ms=4000&echo=running")
            tasks.start_soon(client.get, address)
            await test_once.wait_runs(fleet, "running")
            ports = fleet.ports["c"]
            await client.post(f"http://{ports.operators}/drain")
            ready = await client.get(f"http://{ports.operators}/ready")
            assert ready.status_code == 503
            for name in ("c", "a", "b"):
                answer = await client.post(test_once.url(fleet, name))
                assert answer.json()["outcome"] == "not_run"
        assert (await fleet.counters("c"))["begun"] == 1
        assert await wait_exit(fleet, "c") == 0, fleet.log_text("c")


async def test_drain_refuses_calls_from_the_mesh():
    """Guards against new calls that run during a shutdown.

    The queue of the upstream is not involved here.
    """
    begun = []

    async def run(request, _respond):
        begun.append(request)

    shutdown = drain.Drain(run, 1.0)
    await shutdown.run(peers.request(), None)
    shutdown.begin()
    with pytest.raises(exchange.CallFailed) as caught:
        await shutdown.run(peers.request(), None)
    assert caught.value.outcome == messages.Outcome.NOT_RUN
    assert len(begun) == 1


async def test_upstream_that_drains_gets_no_new_work():
    """Guards against calls to an upstream that announced that it drains."""
    async with test_once.mesh() as (fleet, client):
        await fleet.control_upstream("c", draining=True)

        async def is_draining():
            members = (await fleet.status("c"))["members"]
            return any(member["upstream"] == "draining" for member in members)

        await fleet_module.wait_until(is_draining, "c is draining")
        answer = await client.post(test_once.url(fleet, "a"))
        assert answer.json()["outcome"] == "not_run"
        assert (await fleet.counters("c")).get("begun", 0) == 0
