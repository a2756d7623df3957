"""Calls that a daemon starts while it shuts down (LOST)."""

import anyio
import pytest

from rattangauge.calls import exchange
from rattangauge.calls import shutdown
from rattangauge.generated import messages
from rattangauge.generated import settings as generated
from standins import appworker
from tests import meshes
from tests import peers


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


@pytest.mark.parametrize("limit_s", [2.0, 6.0, 10.0, 30.0])
@pytest.mark.parametrize("timeout_s", [0.2, 3.0, 8.0, 14.0])
def test_no_late_call_outlasts_the_daemon(limit_s, timeout_s):
    """Guards against calls that are cut off at the end of the grace."""
    state = shutdown.begin(100.0, limit_s)
    assert state.notice_until <= state.end_at < 100.0 + limit_s
    for step in range(int(limit_s * 20)):
        now = 100.0 + step / 20
        is_started = shutdown.may_start(state, now, now + timeout_s)
        if now < state.notice_until:
            assert is_started
        else:
            assert is_started == (now + timeout_s <= state.end_at)


async def stopped_mesh(mesh, limit_s):
    """Starts two daemons and stops the first; returns its instance."""
    paths = [
        meshes.path("/track/", "skladby", **{"timeout-s": 8.0}),
        meshes.path("/order/", "skladby", kind="unsafe"),
    ]
    mesh.publish(paths)
    for name in ("a", "b"):
        instance = await mesh.prepare(name, work_s=0.3)
        stop = generated.Shutdown(limit_s=limit_s)
        instance.settings = instance.settings._replace(shutdown=stop)
        mesh.start(name)
    await mesh.wait_ready()
    await mesh.send_heartbeats()
    mesh.instances["a"].node.stop()
    return mesh.instances["a"]


async def work_by_target(request):
    """Answers like an upstream that needs long for one target."""
    await anyio.sleep(4.2 if request.target == "/track/slow" else 0.3)
    return appworker.sealed(request)


async def test_a_late_call_is_served_or_refused_but_never_cut_off():
    """Guards against calls that come late in the grace and get no answer."""
    async with meshes.running() as mesh:
        await stopped_mesh(mesh, 5.0)
        stopped_at = anyio.current_time()
        mesh.instances["b"].upstream.behaviour = work_by_target
        # A call that runs keeps the daemon from ending early.
        kept = await mesh.connect("a")
        await kept.send("/track/slow", deadline_ms=8000, request_id="k1")
        statuses = {"short": [], "long": []}
        unanswered = []

        async def send_repeatedly(kind, target, deadline_ms):
            number = 0
            while True:
                number += 1
                try:
                    answer = await mesh.call(
                        "a",
                        target,
                        deadline_ms=deadline_ms,
                        request_id=f"{kind}{number}",
                    )
                except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                    # The daemon has ended.
                    unanswered.append(f"{kind}{number}")
                    return
                statuses[kind].append((anyio.current_time(), answer[0]))
                await anyio.sleep(0.02)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_repeatedly, "short", "/order/1", 800)
            tasks.start_soon(send_repeatedly, "long", "/track/1", 8000)
        late_short = [s for at, s in statuses["short"] if at - stopped_at < 3.5]
        assert set(late_short) == {200}
        late_long = [s for at, s in statuses["long"] if at - stopped_at > 3.0]
        assert late_long and set(late_long) == {503}
        assert (await kept.receive())[0] == 200
        assert anyio.current_time() - stopped_at < 5.0
        passed_on = {
            request.header(b"request-id").decode()
            for request in mesh.instances["b"].upstream.arrived
        }
        assert not passed_on & set(unanswered)


async def test_a_running_call_has_the_whole_grace():
    """Guards against calls that end though the platform leaves them time."""
    async with meshes.running() as mesh:
        instance = await stopped_mesh(mesh, 8.0)
        mesh.instances["b"].upstream._work_s = 5.6
        caller = await mesh.connect("a")
        await caller.send("/track/1", deadline_ms=7000, request_id="t1")
        with anyio.fail_after(7):
            assert (await caller.receive())[0] == 200
        assert instance.upstream.peak == 0


async def test_an_upstream_that_restarts_gets_no_call_of_a_stopping_daemon():
    """Guards against calls that start at the end of a stop and are cut."""
    async with meshes.running() as mesh:
        instance = await stopped_mesh(mesh, 5.0)
        await anyio.sleep(0.05)
        await instance.send_heartbeat(born=2000)
        local_upstream = instance.node._local_upstream
        with pytest.raises(exchange.CallFailed) as caught:
            await local_upstream.execute(peers.request())
        assert caught.value.outcome == messages.Outcome.NOT_RUN
        assert not instance.upstream.arrived
