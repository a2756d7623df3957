"""Outcomes of requests whose upstreams fail or refuse them."""

import pytest

from rattangauge.http import messages
from standins import appworker
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
UNSAFE = meshes.path("/order/", "skladby", kind="unsafe")


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


async def test_a_safe_request_is_sent_again_after_a_lost_answer():
    """Guards against a lost answer that reaches the caller as a failure."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", "b")

        async def lose(request):
            if len(arrived()) == 1:
                raise RuntimeError("the answer is lost")
            return appworker.sealed(request)

        def arrived():
            return [
                request
                for instance in mesh.instances.values()
                for request in instance.upstream.arrived
            ]

        for instance in mesh.instances.values():
            instance.upstream.behaviour = lose
        assert (await mesh.call("a", "/track/1"))[0] == 200
        assert len(arrived()) == 2


async def test_a_request_that_may_have_run_is_not_sent_again():
    """Guards against an order that runs twice."""
    async with meshes.running() as mesh:
        await mesh.start_instances([UNSAFE], "a", "b")

        async def lose(_request):
            raise RuntimeError("the answer is lost")

        for instance in mesh.instances.values():
            instance.upstream.behaviour = lose
        status, _headers, _body = await mesh.call("a", "/order/1", "POST")
        assert status == 502
        counts = [len(i.upstream.arrived) for i in mesh.instances.values()]
        assert sum(counts) == 1


async def test_a_request_that_did_not_run_goes_to_another_upstream():
    """Guards against a refusal of an upstream that ends the request."""
    async with meshes.running() as mesh:
        await mesh.start_instances([UNSAFE], "a", "b")

        async def refuse(request):
            return appworker.not_run(request)

        mesh.instances["a"].upstream.behaviour = refuse
        statuses = [
            (await mesh.call("a", "/order/1", "POST"))[0] for _ in range(3)
        ]
        assert statuses == [200] * 3


async def test_no_more_upstreams_have_a_request_than_its_route_allows():
    """Guards against retries beyond the limit of the route."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", "b", "c", "d")

        async def refuse(request):
            return appworker.not_run(request)

        for instance in mesh.instances.values():
            instance.upstream.behaviour = refuse
        assert (await mesh.call("a", "/track/1"))[0] == 503
        counts = [len(i.upstream.arrived) for i in mesh.instances.values()]
        assert sum(counts) == 2


async def test_a_refusal_by_a_daemon_does_not_hide_an_upstreams_failure():
    """Guards against a request on more upstreams than its route allows.

    The first daemon refuses the request and the upstreams of all others fail:
    their failures must count as retries.
    """
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", "b", "c", "d")

        async def fail(request):
            return appworker.sealed(request, b"broken", 500)

        for instance in mesh.instances.values():
            instance.upstream.behaviour = fail
        mesh.instances["a"].node._local_upstream._queue.close()
        assert (await mesh.call("a", "/track/1"))[0] == 500
        counts = [len(i.upstream.arrived) for i in mesh.instances.values()]
        assert sum(counts) == 2


async def test_a_success_without_proof_of_execution_is_a_failure():
    """Guards against a response that no upstream of the platform has sent."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a")

        async def forge(request):
            identity = (b"request-id", request.header(b"request-id"))
            return messages.Response(200, (identity,), b"forged")

        mesh.instances["a"].upstream.behaviour = forge
        status, _headers, body = await mesh.call("a", "/track/1")
        assert status == 502
        assert b"forged" not in body


async def test_the_failure_of_an_upstream_is_passed_on():
    """Guards against a response of the upstream that the daemon replaces."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a")

        async def fail(request):
            return appworker.sealed(request, b"broken", 500)

        mesh.instances["a"].upstream.behaviour = fail
        status, headers, body = await mesh.call("a", "/track/1")
        assert (status, body) == (500, b"broken")
        assert headers[b"server-seal"] == b"stand-in"
