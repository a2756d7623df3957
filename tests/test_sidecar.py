"""Daemons with their upstreams, callers and store, over the real protocols."""

import contextlib

import anyio
import pytest

from tests import builders
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
ORDER = meshes.path("/order/", "objednavky", kind="unsafe")
PATHS = [TRACK, ORDER]

# Errors of a caller whose daemon ends before it reads the request.
NO_ANSWER = (anyio.EndOfStream, anyio.BrokenResourceError)


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


async def test_a_request_reaches_an_upstream_of_its_route():
    """Guards against a request that is changed or sent to another service."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a")
        orders = await mesh.add("b", "objednavky", "zone-2")
        await mesh.wait_ready()
        await mesh.send_heartbeats()
        status, _headers, _body = await mesh.call(
            "a", "/order/1?x=2", "POST", b"scores"
        )
        assert status == 200
        (request,) = orders.upstream.arrived
        assert (request.method, request.target) == ("POST", "/order/1?x=2")
        assert request.body == b"scores"
        assert request.header(b"request-id") == b"q1"
        assert request.header(b"caller-service") == b"skladby"
        assert request.header(b"target-instance") == b"i-b"
        assert 0 < int(request.header(b"deadline-ms")) <= 800


@pytest.mark.parametrize("digits", [10, 400, 5000])
async def test_a_deadline_of_many_digits_is_that_of_the_route(digits):
    """Guards against a number that no conversion takes."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a")
        for _ in range(2):
            status, _headers, _body = await mesh.call(
                "a", "/track/1", deadline_ms="9" * digits
            )
            assert status == 200


async def test_the_callers_own_caller_service_is_replaced():
    """Guards against callers that pretend to be another service."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a")
        await mesh.call("a", "/track/1", caller_service="other")
        (request,) = mesh.instances["a"].upstream.arrived
        values = [v for k, v in request.headers if k == b"caller-service"]
        assert values == [b"skladby"]


async def test_without_a_configuration_no_request_gets_404():
    """Guards against 404 from a daemon that has no configuration yet.

    Other daemons may have a route for the request, so the answer must be 503.
    """
    async with meshes.running() as mesh:
        instance = await mesh.add("a")

        async def listens():
            return (
                instance.node is not None
                and instance.node._caller_server.busy_connections == 0
            )

        await mesh.wait(listens)
        await anyio.sleep(0.2)
        assert not await instance.is_ready()
        status, headers, _body = await mesh.call("a", "/track/1")
        assert status == 503
        assert float(headers[b"retry-after"]) > 0


async def test_a_change_of_the_configuration_is_in_force_soon():
    """Guards against a daemon that keeps an outdated configuration."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a")
        assert (await mesh.call("a", "/new/1"))[0] == 404
        mesh.publish([TRACK, meshes.path("/new/", "skladby")])
        await anyio.sleep(1.0)
        assert (await mesh.call("a", "/new/1"))[0] == 200


async def test_a_peer_brings_the_configuration_while_the_store_is_down():
    """Guards against a daemon that restarts while the store is down.

    Without the configuration of a peer it could not serve any request.
    """
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", "b")
        mesh.store.refuse_with = 503
        mesh.instances["b"].kill()
        await anyio.sleep(0.3)
        mesh.start("b")
        await mesh.wait(mesh.instances["b"].is_ready)
        assert (await mesh.call("b", "/track/1"))[0] == 200


async def test_a_compacted_store_is_read_again():
    """Guards against a watch that never recovers from a compacted store."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a")
        mesh.store.compact()
        mesh.publish([TRACK, meshes.path("/new/", "skladby")])
        await anyio.sleep(1.5)
        assert (await mesh.call("a", "/new/1"))[0] == 200


async def test_an_upstream_that_drains_gets_no_new_work():
    """Guards against calls to an upstream that is about to end."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", "b")
        reply = await mesh.instances["a"].send_heartbeat("draining")
        assert reply.status_code == 200
        for _ in range(10):
            assert (await mesh.call("a", "/track/1"))[0] == 200
            assert (await mesh.call("b", "/track/1"))[0] == 200
        assert not mesh.instances["a"].upstream.arrived


async def test_an_upstream_that_says_it_is_gone_gets_no_new_work():
    """Guards against calls to an upstream that has deregistered."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", "b")
        assert (await mesh.instances["a"].deregister()).status_code == 200
        for _ in range(5):
            assert (await mesh.call("a", "/track/1"))[0] == 200
        assert not mesh.instances["a"].upstream.arrived


async def test_a_malformed_heartbeat_is_ignored():
    """Guards against a malformed heartbeat that replaces a valid one."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a")
        instance = mesh.instances["a"]
        control = instance.settings.listen.control
        for body in (b"\xff", b"[]", b"{}", b'{"info":{"service":3}}'):
            reply = await instance.send_request(
                control, "POST", "/instances/x/heartbeat", body
            )
            assert reply.status_code == 400
        assert (await mesh.call("a", "/track/1"))[0] == 200


async def test_the_slots_of_an_upstream_are_never_exceeded():
    """Guards against an upstream that hangs when it gets too many calls."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", "b", work_s=0.05)
        async with anyio.create_task_group() as tasks:
            for name in ("a", "b") * 12:
                tasks.start_soon(mesh.call, name, "/track/1")
        for instance in mesh.instances.values():
            assert instance.upstream.peak <= 4


async def test_a_call_that_cannot_be_served_in_time_is_refused_at_once():
    """Guards against callers that learn of a refusal at their deadline."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", work_s=0.6)
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
        assert len(mesh.instances["a"].upstream.arrived) == 4


async def test_a_peer_that_reports_a_long_wait_is_not_asked():
    """Guards against calls to peers that are known to refuse them.

    At a peak, when all daemons are busy, such calls only add load.
    """
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a")
        orders = await mesh.add("b", "objednavky")
        await mesh.wait_ready()
        await mesh.send_heartbeats()
        instance = mesh.instances["a"]
        peer = instance.node._peers.get(orders.settings.listen.mesh)
        busy = builders.load(running=4, queued=40, limit=4, service_us=100_000)
        peer.update_load(busy, anyio.current_time())
        status, headers, _body = await mesh.call("a", "/order/1", "POST")
        assert status == 503
        assert float(headers[b"retry-after"]) > 0
        assert not orders.upstream.arrived
        assert not any(
            event["event"] == "upstream_refused" for event in orders.events()
        )
        # Once the report is old, the peer is asked.
        await anyio.sleep(0.3)
        assert (await mesh.call("a", "/order/1", "POST"))[0] == 200


async def test_a_request_is_answered_at_the_timeout_of_its_route():
    """Guards against a request that waits beyond the timeout of its route."""
    async with meshes.running() as mesh:
        route = meshes.path("/track/", "skladby", **{"timeout-s": 0.2})
        mesh.publish([route])
        await mesh.add("a", work_s=5.0)
        await mesh.wait_ready()
        await mesh.send_heartbeats()
        began = anyio.current_time()
        status, _headers, _body = await mesh.call(
            "a", "/track/1", deadline_ms=3000
        )
        assert status == 504
        assert anyio.current_time() - began < 0.5


async def test_work_ends_when_its_caller_leaves():
    """Guards against slots that are held by calls without a caller."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", work_s=5.0)
        orders = await mesh.add("b", "objednavky", work_s=5.0)
        await mesh.wait_ready()
        await mesh.send_heartbeats()
        callers = [await mesh.connect("a"), await mesh.connect("a")]
        await callers[0].send("/track/1", deadline_ms=3000)
        await callers[1].send("/order/1", "POST", deadline_ms=3000)
        await anyio.sleep(0.2)
        for caller in callers:
            await caller.close()
        await anyio.sleep(0.3)
        assert mesh.instances["a"].upstream.cancelled == 1
        assert orders.upstream.cancelled == 1


async def test_a_killed_daemon_is_left_alone_and_used_again():
    """Guards against calls to a dead daemon, and none after its restart."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", "b")
        mesh.instances["b"].kill()
        await anyio.sleep(0.1)
        statuses = [(await mesh.call("a", "/track/1"))[0] for _ in range(10)]
        assert statuses == [200] * 10
        mesh.start("b")
        await mesh.wait(mesh.instances["b"].is_ready)
        await mesh.instances["b"].send_heartbeat(born=2000)
        before = len(mesh.instances["b"].upstream.arrived)
        await anyio.sleep(0.8)
        for _ in range(30):
            await mesh.call("a", "/track/1")
        assert len(mesh.instances["b"].upstream.arrived) > before


async def test_a_graceful_stop_cuts_off_no_request():
    """Guards against requests that fail because their daemon is stopped."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", "b", work_s=0.3)
        statuses = []

        async def call(name):
            statuses.append((await mesh.call(name, "/track/1"))[0])

        async with anyio.create_task_group() as tasks:
            for name in ("a", "b") * 3:
                tasks.start_soon(call, name)
            await anyio.sleep(0.1)
            mesh.instances["a"].node.stop()
            assert not await mesh.instances["a"].is_ready()
            await anyio.sleep(0.5)
            # Callers that have not switched to another daemon are still served.
            await call("a")
        assert statuses == [200] * 7


async def test_a_daemon_enters_the_directory_once():
    """Guards against a directory that grows with each restart."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a")
        name = mesh.instances["a"].settings.listen.mesh.replace(":", "-")
        assert mesh.store.names("rattangauge-daemons") == [name]
        mesh.instances["a"].kill()
        await anyio.sleep(0.1)
        mesh.start("a")
        await mesh.wait_ready()
        assert mesh.store.names("rattangauge-daemons") == [name]


async def test_malformed_directory_entries_are_ignored():
    """Guards against malformed directory entries that end a daemon."""
    async with meshes.running() as mesh:
        for number, spec in enumerate(
            ({}, None, 3, {"mesh": 7, "zone": "z", "region": "r"})
        ):
            mesh.store.put("rattangauge-daemons", f"x{number}", spec)
        await mesh.start_instances(PATHS, "a")
        assert (await mesh.call("a", "/track/1"))[0] == 200


async def _statuses(mesh, name, target, ids, **fields):
    """Sends requests at about the same time.

    Returns:
        Status and time until the answer, in seconds, by request id.
    """
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

    Requests of callers and calls of the upstream arrive from the same address.
    Only a call that the upstream makes for a running request may wait longer.
    """
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", work_s=0.3)
        await mesh.send_heartbeats(slots=1)
        ids = [f"q{number}" for number in range(6)]
        answers = await _statuses(mesh, "a", "/track/1", ids)
        refused = [
            elapsed_s for status, elapsed_s in answers.values() if status == 503
        ]
        assert len(refused) >= 3
        assert max(refused) < 0.2


async def test_a_call_for_a_running_request_waits_for_its_slot():
    """Guards against a request that fails as a call made for it is refused."""
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", work_s=0.3)
        await mesh.send_heartbeats(slots=1)
        answers = await _statuses(mesh, "a", "/track/1", ["q1", "q1.1"])
        assert [status for status, _took in answers.values()] == [200, 200]


async def test_a_stop_ends_though_callers_keep_sending():
    """Guards against requests that are cut off at the end of a stop.

    Callers that do not switch to other daemons must be refused early enough.
    """
    async with meshes.running() as mesh:
        await mesh.start_instances(PATHS, "a", "b", work_s=0.3)
        instance = mesh.instances["a"]
        instance.node.stop()
        began = anyio.current_time()
        statuses = []

        async def send_repeatedly():
            with contextlib.suppress(OSError, *NO_ANSWER):
                while True:
                    answer = await mesh.call("a", "/track/1")
                    statuses.append(answer[0])

        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(send_repeatedly)
                await anyio.sleep(0.07)
        assert set(statuses) == {200, 503}
        assert anyio.current_time() - began < instance.settings.shutdown.limit_s
