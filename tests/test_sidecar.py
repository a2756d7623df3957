"""Tests of daemons beside their upstreams, on the platform's protocol."""

import contextlib

import anyio
import pytest

from rattangauge.http import messages
from standins import appworker
from tests import builders
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
ORDER = meshes.path("/order/", "objednavky", kind="unsafe")

# A caller sees these when the daemon ends before it reads a request.
NO_ANSWER = (anyio.EndOfStream, anyio.BrokenResourceError)


@pytest.fixture
def anyio_backend():
    """Runs the daemons on the loop that they have on the platform."""
    return "asyncio", {"use_uvloop": True}


async def started(mesh, *names, **fields):
    """Adds instances of skladby and publishes the two routes."""
    mesh.publish([TRACK, ORDER])
    for name in names:
        await mesh.add(name, **fields)
    await mesh.wait_ready()
    await mesh.heartbeats()


async def test_a_request_reaches_an_upstream_of_its_route():
    async with meshes.running() as mesh:
        await started(mesh, "a")
        orders = await mesh.add("b", "objednavky", "zone-2")
        await mesh.wait_ready()
        await mesh.heartbeats()
        status, _headers, _body = await mesh.call(
            "a", "/order/1?x=2", "POST", b"scores"
        )
        assert status == 200
        (request,) = orders.worker.arrived
        assert (request.method, request.target) == ("POST", "/order/1?x=2")
        assert request.body == b"scores"
        assert request.header(b"request-id") == b"q1"
        assert request.header(b"caller-service") == b"skladby"
        assert request.header(b"target-instance") == b"i-b"
        assert 0 < int(request.header(b"deadline-ms")) <= 800


async def test_the_callers_own_caller_service_is_replaced():
    async with meshes.running() as mesh:
        await started(mesh, "a")
        await mesh.call("a", "/track/1", caller_service="other")
        (request,) = mesh.places["a"].worker.arrived
        values = [v for k, v in request.headers if k == b"caller-service"]
        assert values == [b"skladby"]


async def test_without_a_configuration_nothing_is_denied():
    """Guards against 404 for a route that only this daemon does not know."""
    async with meshes.running() as mesh:
        place = await mesh.add("a")

        async def listens():
            return (
                place.node is not None and place.node._caller_server.busy == 0
            )

        await mesh.wait(listens)
        await anyio.sleep(0.2)
        assert not await place.is_ready()
        status, headers, _body = await mesh.call("a", "/track/1")
        assert status == 503
        assert float(headers[b"retry-after"]) > 0


async def test_a_change_of_the_configuration_is_in_force_soon():
    async with meshes.running() as mesh:
        await started(mesh, "a")
        assert (await mesh.call("a", "/new/1"))[0] == 404
        mesh.publish([TRACK, meshes.path("/new/", "skladby")])
        await anyio.sleep(1.0)
        assert (await mesh.call("a", "/new/1"))[0] == 200


async def test_a_peer_brings_the_configuration_while_the_store_is_down():
    """Guards against a daemon that restarts during an outage of the store."""
    async with meshes.running() as mesh:
        await started(mesh, "a", "b")
        mesh.store.refuse_with = 503
        mesh.places["b"].kill()
        await anyio.sleep(0.3)
        mesh.start("b")
        await mesh.wait(mesh.places["b"].is_ready)
        assert (await mesh.call("b", "/track/1"))[0] == 200


async def test_the_history_of_the_store_may_be_gone():
    async with meshes.running() as mesh:
        await started(mesh, "a")
        mesh.store.compact()
        mesh.publish([TRACK, meshes.path("/new/", "skladby")])
        await anyio.sleep(1.5)
        assert (await mesh.call("a", "/new/1"))[0] == 200


async def test_an_upstream_that_drains_gets_no_new_work():
    async with meshes.running() as mesh:
        await started(mesh, "a", "b")
        reply = await mesh.places["a"].heartbeat("draining")
        assert reply.status_code == 200
        for _ in range(10):
            assert (await mesh.call("a", "/track/1"))[0] == 200
            assert (await mesh.call("b", "/track/1"))[0] == 200
        assert not mesh.places["a"].worker.arrived


async def test_an_upstream_that_says_it_is_gone_gets_no_new_work():
    async with meshes.running() as mesh:
        await started(mesh, "a", "b")
        assert (await mesh.places["a"].leave()).status_code == 200
        for _ in range(5):
            assert (await mesh.call("a", "/track/1"))[0] == 200
        assert not mesh.places["a"].worker.arrived


async def test_a_heartbeat_that_cannot_be_read_names_nobody():
    async with meshes.running() as mesh:
        await started(mesh, "a")
        place = mesh.places["a"]
        control = place.settings.listen.control
        for body in (b"\xff", b"[]", b"{}", b'{"info":{"service":3}}'):
            reply = await place.ask(
                control, "POST", "/instances/x/heartbeat", body
            )
            assert reply.status_code == 400
        assert (await mesh.call("a", "/track/1"))[0] == 200


async def test_the_slots_of_an_upstream_are_never_exceeded():
    """Guards against an upstream that hangs when it is full."""
    async with meshes.running() as mesh:
        await started(mesh, "a", "b", work_s=0.05)
        async with anyio.create_task_group() as tasks:
            for name in ("a", "b") * 12:
                tasks.start_soon(mesh.call, name, "/track/1")
        for place in mesh.places.values():
            assert place.worker.peak <= 4


async def test_a_call_that_cannot_be_served_in_time_is_refused_at_once():
    async with meshes.running() as mesh:
        await started(mesh, "a", work_s=0.6)
        results = []

        async def call():
            began = anyio.current_time()
            status, headers, _body = await mesh.call("a", "/track/1")
            elapsed_s = anyio.current_time() - began
            results.append((status, elapsed_s, headers))

        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(call)
            await anyio.sleep(0.4)
            for _ in range(4):
                tasks.start_soon(call)
        refused = [r for r in results if r[0] == 503]
        assert len(refused) == 4
        assert all(elapsed_s < 0.3 for _, elapsed_s, _ in refused)
        assert all(float(h[b"retry-after"]) > 0 for _, _, h in refused)
        assert len(mesh.places["a"].worker.arrived) == 4


async def test_a_peer_that_reports_a_long_wait_is_not_asked():
    """Guards against work for refusals at a peak, when all are busy."""
    async with meshes.running() as mesh:
        await started(mesh, "a")
        orders = await mesh.add("b", "objednavky")
        await mesh.wait_ready()
        await mesh.heartbeats()
        place = mesh.places["a"]
        peer = place.node._peers.get(orders.settings.listen.mesh)
        busy = builders.load(running=4, queued=40, limit=4, service_us=100_000)
        peer.report(busy, anyio.current_time())
        status, headers, _body = await mesh.call("a", "/order/1", "POST")
        assert status == 503
        assert float(headers[b"retry-after"]) > 0
        assert not orders.worker.arrived
        assert not any(
            event["event"] == "upstream_refused" for event in orders.events()
        )
        # An old report does not decide.
        await anyio.sleep(0.3)
        assert (await mesh.call("a", "/order/1", "POST"))[0] == 200


async def test_a_safe_request_is_sent_again_after_a_lost_answer():
    async with meshes.running() as mesh:
        await started(mesh, "a", "b")

        async def lose(request):
            if len(arrived()) == 1:
                raise RuntimeError("the answer is lost")
            return appworker.sealed(request)

        def arrived():
            return [
                request
                for place in mesh.places.values()
                for request in place.worker.arrived
            ]

        for place in mesh.places.values():
            place.worker.behaviour = lose
        assert (await mesh.call("a", "/track/1"))[0] == 200
        assert len(arrived()) == 2


async def test_a_request_that_may_have_run_is_not_sent_again():
    """Guards against an order that runs twice."""
    async with meshes.running() as mesh:
        mesh.publish([meshes.path("/order/", "skladby", kind="unsafe")])
        for name in ("a", "b"):
            await mesh.add(name)
        await mesh.wait_ready()
        await mesh.heartbeats()

        async def lose(_request):
            raise RuntimeError("the answer is lost")

        for place in mesh.places.values():
            place.worker.behaviour = lose
        status, _headers, _body = await mesh.call("a", "/order/1", "POST")
        assert status == 502
        counts = [len(p.worker.arrived) for p in mesh.places.values()]
        assert sum(counts) == 1


async def test_a_request_that_did_not_run_goes_to_another_upstream():
    async with meshes.running() as mesh:
        mesh.publish([meshes.path("/order/", "skladby", kind="unsafe")])
        for name in ("a", "b"):
            await mesh.add(name)
        await mesh.wait_ready()
        await mesh.heartbeats()

        async def refuse(_request):
            return appworker.not_run()

        mesh.places["a"].worker.behaviour = refuse
        statuses = [
            (await mesh.call("a", "/order/1", "POST"))[0] for _ in range(3)
        ]
        assert statuses == [200] * 3


async def test_no_more_upstreams_have_a_request_than_its_route_allows():
    async with meshes.running() as mesh:
        await started(mesh, "a", "b", "c", "d")

        async def refuse(_request):
            return appworker.not_run()

        for place in mesh.places.values():
            place.worker.behaviour = refuse
        assert (await mesh.call("a", "/track/1"))[0] == 503
        counts = [len(p.worker.arrived) for p in mesh.places.values()]
        assert sum(counts) == 2


async def test_a_refusal_by_a_daemon_does_not_hide_an_upstreams_failure():
    """Guards against a request on more upstreams than its route allows.

    The first daemon refuses, the upstreams of all others fail.
    """
    async with meshes.running() as mesh:
        await started(mesh, "a", "b", "c", "d")

        async def fail(request):
            return appworker.sealed(request, b"broken", 500)

        for place in mesh.places.values():
            place.worker.behaviour = fail
        mesh.places["a"].node._local_upstream._queue.close()
        assert (await mesh.call("a", "/track/1"))[0] == 500
        counts = [len(p.worker.arrived) for p in mesh.places.values()]
        assert sum(counts) == 2


async def test_a_success_without_a_seal_is_none():
    async with meshes.running() as mesh:
        await started(mesh, "a")

        async def forge(request):
            identity = (b"request-id", request.header(b"request-id"))
            return messages.Response(200, (identity,), b"forged")

        mesh.places["a"].worker.behaviour = forge
        status, _headers, body = await mesh.call("a", "/track/1")
        assert status == 502
        assert b"forged" not in body


async def test_the_failure_of_an_upstream_is_passed_on():
    async with meshes.running() as mesh:
        await started(mesh, "a")

        async def fail(request):
            return appworker.sealed(request, b"broken", 500)

        mesh.places["a"].worker.behaviour = fail
        status, headers, body = await mesh.call("a", "/track/1")
        assert (status, body) == (500, b"broken")
        assert headers[b"server-seal"] == b"stand-in"


async def test_a_request_is_answered_at_the_timeout_of_its_route():
    async with meshes.running() as mesh:
        route = meshes.path("/track/", "skladby", **{"timeout-s": 0.2})
        mesh.publish([route])
        await mesh.add("a", work_s=5.0)
        await mesh.wait_ready()
        await mesh.heartbeats()
        began = anyio.current_time()
        status, _headers, _body = await mesh.call(
            "a", "/track/1", deadline_ms=3000
        )
        assert status == 504
        assert anyio.current_time() - began < 0.5


async def test_work_ends_when_its_caller_leaves():
    async with meshes.running() as mesh:
        await started(mesh, "a", work_s=5.0)
        orders = await mesh.add("b", "objednavky", work_s=5.0)
        await mesh.wait_ready()
        await mesh.heartbeats()
        callers = [await mesh.connect("a"), await mesh.connect("a")]
        await callers[0].send("/track/1", deadline_ms=3000)
        await callers[1].send("/order/1", "POST", deadline_ms=3000)
        await anyio.sleep(0.2)
        for caller in callers:
            await caller.leave()
        await anyio.sleep(0.3)
        assert mesh.places["a"].worker.cancelled == 1
        assert orders.worker.cancelled == 1


async def test_a_killed_daemon_is_left_alone_and_used_again():
    async with meshes.running() as mesh:
        await started(mesh, "a", "b")
        mesh.places["b"].kill()
        await anyio.sleep(0.1)
        statuses = [(await mesh.call("a", "/track/1"))[0] for _ in range(10)]
        assert statuses == [200] * 10
        mesh.start("b")
        await mesh.wait(mesh.places["b"].is_ready)
        await mesh.places["b"].heartbeat(born=2000)
        before = len(mesh.places["b"].worker.arrived)
        await anyio.sleep(0.8)
        for _ in range(30):
            await mesh.call("a", "/track/1")
        assert len(mesh.places["b"].worker.arrived) > before


async def test_a_graceful_stop_cuts_off_no_request():
    async with meshes.running() as mesh:
        await started(mesh, "a", "b", work_s=0.3)
        statuses = []

        async def call(name):
            statuses.append((await mesh.call(name, "/track/1"))[0])

        async with anyio.create_task_group() as tasks:
            for name in ("a", "b") * 3:
                tasks.start_soon(call, name)
            await anyio.sleep(0.1)
            mesh.places["a"].node.stop()
            assert not await mesh.places["a"].is_ready()
            await anyio.sleep(0.5)
            # Callers that have not heard of it yet are still served.
            await call("a")
        assert statuses == [200] * 7


async def test_a_daemon_enters_the_directory_once():
    async with meshes.running() as mesh:
        await started(mesh, "a")
        name = mesh.places["a"].settings.listen.mesh.replace(":", "-")
        assert mesh.store.names("rattangauge-daemons") == [name]
        mesh.places["a"].kill()
        await anyio.sleep(0.1)
        mesh.start("a")
        await mesh.wait_ready()
        assert mesh.store.names("rattangauge-daemons") == [name]


async def test_foreign_entries_of_the_directory_name_nobody():
    async with meshes.running() as mesh:
        for number, spec in enumerate(
            ({}, None, 3, {"mesh": 7, "zone": "z", "region": "r"})
        ):
            mesh.store.put("rattangauge-daemons", f"x{number}", spec)
        await started(mesh, "a")
        assert (await mesh.call("a", "/track/1"))[0] == 200


async def _statuses(mesh, name, target, ids, **fields):
    """Sends requests together; returns their statuses and times by id."""
    answers = {}

    async def send(request_id):
        began = anyio.current_time()
        status, _headers, _body = await mesh.call(
            name, target, request_id=request_id, **fields
        )
        answers[request_id] = status, anyio.current_time() - began

    async with anyio.create_task_group() as tasks:
        for request_id in ids:
            tasks.start_soon(send, request_id)
            await anyio.sleep(0.01)
    return answers


async def test_a_request_from_the_instance_is_refused_at_once_at_a_peak():
    """Guards against requests of the instance that wait until their deadline.

    Callers and the upstream send from the same address: only a call for a
    request that runs there must not be refused.
    """
    async with meshes.running() as mesh:
        await started(mesh, "a", work_s=0.3)
        await mesh.heartbeats(slots=1)
        ids = [f"q{number}" for number in range(6)]
        answers = await _statuses(mesh, "a", "/track/1", ids)
        refused = [took for status, took in answers.values() if status == 503]
        assert len(refused) >= 3
        assert max(refused) < 0.2


async def test_a_call_for_a_running_request_waits_for_its_slot():
    """Guards against work that is lost because its own call is refused."""
    async with meshes.running() as mesh:
        await started(mesh, "a", work_s=0.3)
        await mesh.heartbeats(slots=1)
        answers = await _statuses(mesh, "a", "/track/1", ["q1", "q1.1"])
        assert [status for status, _took in answers.values()] == [200, 200]


async def test_a_stop_ends_though_callers_keep_sending():
    """Guards against requests that are cut off at the end of a stop.

    Callers that do not turn to other daemons must be refused early enough.
    """
    async with meshes.running() as mesh:
        await started(mesh, "a", "b", work_s=0.3)
        place = mesh.places["a"]
        place.node.stop()
        began = anyio.current_time()
        statuses = []

        async def send_on():
            with contextlib.suppress(OSError, *NO_ANSWER):
                while True:
                    answer = await mesh.call("a", "/track/1")
                    statuses.append(answer[0])

        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(send_on)
                await anyio.sleep(0.07)
        assert set(statuses) == {200, 503}
        assert anyio.current_time() - began < place.settings.shutdown.limit_s
