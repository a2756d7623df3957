"""Upstreams that name the rate of requests that they take (LIMIT)."""

import time

import anyio
import pytest

from rattangauge.sidecar import upstreamrate
from standins import appworker
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
RATE_PER_S = 20.0
OFFERED_PER_S = 80.0
WINDOW_S = 2.0
# A named rate may be exceeded by this factor and this many requests in any
# window (rule LIMIT of the platform).
MAX_FACTOR = 1.5
MAX_EXTRA = 5


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


class NamingUpstream:
    """Behaviour of an upstream that names a rate.

    Attributes:
        rate: Value of the header in all answers; empty for none.
        arrived_at: Times of the requests.
    """

    def __init__(self, rate):
        """Creates a behaviour that names a rate."""
        self.rate = rate
        self.arrived_at = []

    async def __call__(self, request):
        """Answers a request."""
        self.arrived_at.append(time.monotonic())
        response = appworker.sealed(request)
        if not self.rate:
            return response
        named = (b"server-limit", self.rate)
        return response._replace(headers=(*response.headers, named))

    def most_in_window(self, since):
        """Returns the most requests in any window that begins after a time."""
        return max(
            sum(start <= other < start + WINDOW_S for other in self.arrived_at)
            for start in self.arrived_at
            if start >= since
        )


async def offer(mesh, seconds):
    """Sends requests to all instances in turn for a time."""
    names = sorted(mesh.instances)
    began = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for number in range(int(seconds * OFFERED_PER_S)):
            name = names[number % len(names)]
            tasks.start_soon(mesh.call, name, "/track/1")
            due = began + number / OFFERED_PER_S
            await anyio.sleep(max(0.0, due - time.monotonic()))


async def start(mesh, rate):
    """Starts two instances; the upstream of the first one names a rate."""
    await mesh.start_instances([TRACK], "a")
    await mesh.add("b", "objednavky")
    await mesh.wait_ready()
    await mesh.send_heartbeats()
    behaviour = NamingUpstream(rate)
    mesh.instances["a"].upstream.behaviour = behaviour
    return behaviour


async def test_an_upstream_gets_no_more_requests_than_it_names():
    """Guards against an upstream in need that gets all requests."""
    async with meshes.running() as mesh:
        behaviour = await start(mesh, b"%.1f" % RATE_PER_S)
        began = time.monotonic()
        await offer(mesh, 4.0)
        allowed = MAX_FACTOR * RATE_PER_S * WINDOW_S + MAX_EXTRA
        assert behaviour.most_in_window(began + 0.5) <= allowed
        # The rate that it names is used.
        assert len(behaviour.arrived_at) >= 0.8 * RATE_PER_S * 4.0


async def test_the_limit_ends_when_answers_name_none():
    """Guards against an upstream that is limited for ever."""
    async with meshes.running() as mesh:
        behaviour = await start(mesh, b"2.5")
        await offer(mesh, 1.0)
        behaviour.rate = b""
        await anyio.sleep(0.5)
        await offer(mesh, 1.0)
        await anyio.sleep(0.5)
        behaviour.arrived_at.clear()
        await offer(mesh, 1.0)
        assert len(behaviour.arrived_at) >= 0.8 * OFFERED_PER_S


@pytest.mark.parametrize(
    "value",
    [b"-1", b"abc", b"nan", b"1e400", b"9" * 400, b"1,2", b"0x10", b"5 5"],
)
def test_a_malformed_rate_is_ignored(value):
    """Guards against a header that stops all calls, or ends the daemon."""
    rate = upstreamrate.NamedRate("i-1")
    assert not rate.update(value, 1.0, 1.0)
    assert rate.update(b"5.5", 2.0, 2.0)
    assert not rate.update(value, 3.0, 3.0)
    assert rate.rate_per_s == 5.5


def test_an_answer_from_before_the_limit_does_not_end_it():
    """Guards against answers that overtake each other."""
    rate = upstreamrate.NamedRate("i-1")
    rate.update(b"5", 1.0, 2.0)
    assert not rate.update(b"", 1.5, 2.1)
    assert rate.rate_per_s == 5.0
    assert rate.update(b"", 2.2, 2.3)
    assert rate.rate_per_s is None
