"""Uploads that wait for their bodies while their upstream leaves (DRAIN)."""

import time

import anyio
import pytest

from rattangauge.calls import exchange
from rattangauge.generated import messages
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
BODY_BYTES = 1000
LINK_MBPS = 7.0
TIMEOUT_S = 5.0
DRAIN_S = 0.6
# Time within which a call is refused that is known not to be served.
REFUSED_S = 0.3


def upload(body):
    """Returns an upload whose body comes from another daemon."""
    opened = messages.CallOpen(
        call_id="1",
        service="skladby",
        method="POST",
        target="/track/1",
        route="r-track",
        body_bytes=BODY_BYTES,
    )
    return exchange.Request(opened, body, time.monotonic() + TIMEOUT_S)


def settings(instance, **fields):
    """Returns the settings of an instance with fields replaced."""
    changed = instance.settings.instance._replace(drain_s=DRAIN_S, **fields)
    return instance.settings._replace(instance=changed)


async def start_instance(mesh, **fields):
    """Starts an instance whose upstream serves; fields are settings."""
    mesh.publish([TRACK])
    a = await mesh.prepare("a")
    a.settings = settings(a, **fields)
    mesh.start("a")
    await mesh.wait_ready()
    await mesh.send_heartbeats()
    return a


@pytest.mark.parametrize("leave", ["draining", "gone", "replaced"])
@pytest.mark.parametrize("is_begun", [True, False])
async def test_an_upload_whose_body_is_late_does_not_run(leave, is_begun):
    """Guards against new work for a leaving upstream (review case 4)."""
    asked = anyio.Event()

    async def late_body():
        asked.set()
        if is_begun:
            yield b"a" * (BODY_BYTES // 2)
        await anyio.sleep(TIMEOUT_S / 2)
        yield b"a" * (BODY_BYTES // 2)

    failures = []

    async def execute(local_upstream):
        with pytest.raises(exchange.CallFailed) as caught:
            await local_upstream.execute(upload(late_body()))
        failures.append(caught.value)

    async with meshes.running() as mesh:
        a = await start_instance(mesh)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(execute, a.node._local_upstream)
            await asked.wait()
            if leave == "draining":
                await a.send_heartbeat("draining")
            elif leave == "gone":
                await a.deregister(born=1000)
            else:
                await a.send_heartbeat(born=2000)
            limit_s = REFUSED_S if leave == "replaced" else DRAIN_S
            with anyio.fail_after(limit_s):
                while not failures:
                    await anyio.sleep(0.01)
        assert failures[0].outcome == messages.Outcome.NOT_RUN
        assert not a.upstream.arrived
        assert a.node._local_upstream.running == 0


async def test_an_upload_that_is_known_to_be_late_is_refused_at_once():
    """Guards against a refusal that comes when it is too late to turn away."""
    link_bytes_per_s = 125_000 * LINK_MBPS

    async def never():
        await anyio.sleep_forever()
        yield b""

    async with meshes.running() as mesh:
        a = await start_instance(mesh, link_mbps=LINK_MBPS)
        ended = {}

        async def execute(number, size):
            request = upload(never())
            opened = request.open._replace(body_bytes=size)
            with pytest.raises(exchange.CallFailed):
                await a.node._local_upstream.execute(
                    request._replace(open=opened)
                )
            ended[number] = time.monotonic()

        async with anyio.create_task_group() as tasks:
            # Together they take twice the time of the drain.
            for number in range(4):
                size = int(link_bytes_per_s * DRAIN_S / 2)
                tasks.start_soon(execute, number, size)
            await anyio.sleep(0.1)
            left_at = time.monotonic()
            await a.send_heartbeat("draining")
            await anyio.sleep(REFUSED_S)
            assert 0 not in ended
            assert {1, 2, 3} <= ended.keys()
        assert ended[0] - left_at < DRAIN_S


@pytest.mark.parametrize("leaves", [True, False])
async def test_an_upload_whose_body_is_in_time_runs(leaves):
    """Guards against uploads that are refused though they can be served."""
    asked = anyio.Event()
    answers = []

    async def body():
        asked.set()
        await anyio.sleep(0.1)
        yield b"a" * BODY_BYTES

    async def execute(local_upstream):
        answers.append(await local_upstream.execute(upload(body())))

    async with meshes.running() as mesh:
        a = await start_instance(mesh)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(execute, a.node._local_upstream)
            await asked.wait()
            if leaves:
                await a.send_heartbeat("draining")
        assert answers[0].status == 200
        assert len(a.upstream.arrived[0].body) == BODY_BYTES
