"""Calls with large bodies, which are sent once the call has a slot."""

import time

import anyio
import pytest

from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import forward
from rattangauge.sidecar import upstreamhttp
from tests import meshes
from tests import peers

UPLOAD = meshes.path("/upload/", "nahravky", kind="upload")
TRACK = meshes.path("/track/", "skladby")
BODY = bytes(range(256)) * 1024

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


async def start(mesh, work_s=0.0, slots=4):
    """Starts two instances; returns the only one that serves uploads."""
    mesh.publish([UPLOAD, TRACK], ("skladby", "nahravky"))
    await mesh.add("a")
    await mesh.add("b", "nahravky", "zone-2", work_s=work_s)
    await mesh.wait_ready()
    await mesh.send_heartbeats(slots=slots)
    return mesh.instances["b"]


@pytest.fixture
def sent_bodies(monkeypatch):
    """Sizes of the body parts that daemons sent to each other, in bytes."""
    sizes = []
    send_body = forward._send_body

    async def record_sizes(pieces):
        async for piece in pieces:
            sizes.append(len(piece))
            yield piece

    async def send(stream, pieces):
        await send_body(stream, record_sizes(pieces))

    monkeypatch.setattr(forward, "_send_body", send)
    return sizes


async def test_a_large_body_reaches_the_upstream_whole(sent_bodies):
    """Guards against a large body that is cut off or sent more than once."""
    async with meshes.running() as mesh:
        instance = await start(mesh)
        status, _headers, _body = await mesh.call(
            "a", "/upload/1", "POST", BODY
        )
        assert status == 200
        (request,) = instance.upstream.arrived
        assert request.body == BODY
        assert sent_bodies == [len(BODY)]


async def test_the_body_of_a_refused_call_is_not_sent(sent_bodies):
    """Guards against bodies of refused calls that fill the links at a peak."""
    async with meshes.running() as mesh:
        instance = await start(mesh, work_s=0.7, slots=1)
        statuses = []

        async def call(number):
            reply = await mesh.call(
                "a",
                "/upload/1",
                "POST",
                BODY,
                request_id=f"q{number}",
                deadline_ms=900,
            )
            statuses.append(reply[0])

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(call, number)
        assert statuses.count(200) >= 1
        assert 503 in statuses
        assert len(sent_bodies) == len(instance.upstream.arrived)


async def test_a_call_whose_body_did_not_come_did_not_run():
    """Guards against 502 for a call that could be sent to another instance."""

    async def cut_off():
        yield b"half"
        raise exchange.unknown("the request ended inside its body")

    request = peers.request(body=cut_off())
    with pytest.raises(exchange.CallFailed) as caught:
        await upstreamhttp.receive_body(request)
    assert caught.value.outcome == messages.Outcome.NOT_RUN


async def test_a_body_that_does_not_come_holds_a_slot_to_the_deadline_only():
    """Guards against slots that are held for a daemon that hangs."""

    async def never():
        await anyio.sleep_forever()
        yield b""

    request = peers.request(body=never())
    request = request._replace(deadline=time.monotonic() + 0.05)
    with anyio.fail_after(2), pytest.raises(exchange.CallFailed) as caught:
        await upstreamhttp.receive_body(request)
    assert caught.value.outcome == messages.Outcome.NOT_RUN


@pytest.mark.parametrize(
    "failure",
    [
        forward.ConnectionLost("no answer within 1 s", True),
        exchange.unknown("the deadline passed", errorcodes.CALL_DEADLINE),
    ],
)
def test_a_call_whose_body_was_not_sent_whole_did_not_run(failure):
    """Guards against an unknown outcome of a call that cannot have begun."""
    settled = forward._not_run_failure(failure)
    assert settled.outcome == messages.Outcome.NOT_RUN
    assert isinstance(settled, forward.ConnectionLost) == isinstance(
        failure, forward.ConnectionLost
    )
