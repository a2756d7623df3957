"""Upstreams that say in their answers that they leave (DRAIN)."""

import anyio
import pytest

from standins import appworker
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
# Time in which peers learn of a change.
REPORT_S = 0.3


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


def leaving(value, status=200):
    """Returns a behaviour that answers with a leaving notice."""

    async def answer(request):
        response = appworker.sealed(request, status=status)
        notice = (b"server-leaving", value)
        return response._replace(headers=(*response.headers, notice))

    return answer


async def calls(mesh, count=6):
    """Sends requests to both instances; all of them are served."""
    for number in range(count):
        for name in ("a", "b"):
            status, _headers, _body = await mesh.call(
                name, "/track/1", request_id=f"q{number}{name}"
            )
            assert status == 200


@pytest.mark.parametrize("status", [200, 500])
async def test_an_upstream_whose_answer_says_that_it_leaves_gets_no_new_work(
    status,
):
    """Guards against a notice in an answer that nobody reads."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", "b")
        upstream = mesh.instances["a"].upstream
        upstream.behaviour = leaving(b"1", status)
        while not upstream.arrived:
            await mesh.call("a", "/track/1")
        await anyio.sleep(REPORT_S)
        upstream.arrived.clear()
        # Its heartbeats go on and do not revoke the notice.
        await mesh.send_heartbeats()
        await calls(mesh)
        assert not upstream.arrived


async def test_a_new_process_at_the_address_is_used_again():
    """Guards against a notice that outlives the process that gave it."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a")
        upstream = mesh.instances["a"].upstream
        upstream.behaviour = leaving(b"1")
        assert (await mesh.call("a", "/track/1"))[0] == 200
        assert (await mesh.call("a", "/track/1"))[0] == 503
        upstream.behaviour = leaving(b"")
        await mesh.instances["a"].send_heartbeat(born=2000)
        assert (await mesh.call("a", "/track/1"))[0] == 200


@pytest.mark.parametrize("value", [b"0", b"", b"maybe"])
async def test_another_value_is_no_notice(value):
    """Guards against an upstream that is lost to a malformed header."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a")
        upstream = mesh.instances["a"].upstream
        upstream.behaviour = leaving(value)
        for _ in range(3):
            assert (await mesh.call("a", "/track/1"))[0] == 200
