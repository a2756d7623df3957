"""Announcements of upstreams in each order in which they can arrive (DRAIN)."""

import itertools

import anyio
import pytest

from rattangauge.membership import heartbeats
from tests import builders
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
DRAIN_S = 2.0

# Announcements of a process that leaves, in the order in which it sends them.
READY = builders.heartbeat("old", started_ms=1000, sequence=1)
READY_AGAIN = READY._replace(sequence=2)
DRAINING = READY._replace(sequence=3, is_draining=True)
GONE = heartbeats.Departure("old", 1000)
# Announcements of a process that takes its place, under either identity.
NEXT = {
    "new-identity": builders.heartbeat("new", started_ms=2000, sequence=1),
    "same-identity": builders.heartbeat("old", started_ms=2000, sequence=1),
}


def apply(record, announcement, now):
    """Applies an announcement, as the daemon does."""
    if isinstance(announcement, heartbeats.Heartbeat):
        record.apply_heartbeat(announcement, now)
    else:
        record.apply_departure(announcement)


def serving(record):
    """Returns the heartbeat of the process that gets calls; None if none."""
    upstream = record.upstream
    if upstream is None or upstream.is_leaving:
        return None
    return upstream.heartbeat


def says_leaving(announcement):
    """Tells whether an announcement says that its sender leaves."""
    if isinstance(announcement, heartbeats.Departure):
        return True
    return announcement.is_draining


@pytest.mark.parametrize("successor", NEXT)
def test_no_order_of_announcements_brings_a_leaving_upstream_back(successor):
    """Guards against calls after an acknowledged leave (review case 5)."""
    sent = [READY, READY_AGAIN, DRAINING, GONE, NEXT[successor]]
    for order in itertools.permutations(sent):
        record = heartbeats.UpstreamRecord()
        has_left = False
        for now, announcement in enumerate(order):
            apply(record, announcement, float(now))
            has_left |= says_leaving(announcement)
            process = serving(record)
            if has_left and process is not None:
                assert process.started_ms == 2000, order
        assert serving(record) == NEXT[successor], order


def test_each_part_of_the_announcements_may_be_lost():
    """Guards against a rule that needs an announcement which never comes."""
    sent = [READY, READY_AGAIN, DRAINING, GONE]
    for count in range(1, len(sent) + 1):
        for order in itertools.permutations(sent, count):
            record = heartbeats.UpstreamRecord()
            for now, announcement in enumerate(order):
                apply(record, announcement, float(now))
            is_leaving = any(says_leaving(said) for said in order)
            assert (serving(record) is None) == is_leaving, order


@pytest.mark.parametrize("known_start_ms", [500, 3000])
def test_a_departure_beside_another_process_is_kept(known_start_ms):
    """Guards against a departure that is dropped since another one is known."""
    record = heartbeats.UpstreamRecord()
    known = builders.heartbeat("known", started_ms=known_start_ms)
    record.apply_heartbeat(known, 1.0)
    record.apply_departure(GONE)
    assert serving(record) == known
    record.apply_heartbeat(READY, 3.0)
    assert serving(record) in (known, None)


def test_a_departure_without_a_start_ends_what_started_before():
    """Guards against a late heartbeat after a departure without a start."""
    record = heartbeats.UpstreamRecord(lambda: 5000)
    record.apply_departure(heartbeats.Departure("old", 0))
    record.apply_heartbeat(READY, 2.0)
    assert serving(record) is None
    restarted = builders.heartbeat("old", started_ms=5001)
    record.apply_heartbeat(restarted, 3.0)
    assert serving(record) == restarted


def test_the_memory_of_departures_is_bounded():
    """Guards against a sender of departures that fills the memory."""
    record = heartbeats.UpstreamRecord()
    for number in range(5000):
        departure = heartbeats.Departure(f"i-{number}", 1000)
        record.apply_departure(departure)
    assert record.departure_count <= heartbeats.MAX_DEPARTURES
    record.apply_heartbeat(builders.heartbeat("i-4999", started_ms=1000), 2.0)
    assert serving(record) is None


async def test_a_heartbeat_that_was_overtaken_by_the_departure():
    """Guards against new work for an upstream that is gone (review case 5)."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", "b")
        a = mesh.instances["a"]
        late = a.heartbeat_body(born=2000)
        reply = await a.deregister(born=2000)
        assert reply.status_code == 200
        assert (await a.post_heartbeat(late)).status_code == 200
        await anyio.sleep(0.2)
        before = len(a.upstream.arrived)
        for name in ("a", "b") * 5:
            assert (await mesh.call(name, "/track/1"))[0] == 200
        assert len(a.upstream.arrived) == before


@pytest.mark.parametrize("leave", ["draining", "gone"])
@pytest.mark.parametrize("is_planned", [True, False])
async def test_a_restarted_daemon_learns_who_has_left(leave, is_planned):
    """Guards against an acknowledged leave that ends with its daemon."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", "b", "c")
        a = mesh.instances["a"]
        late = a.heartbeat_body()
        if leave == "draining":
            await a.send_heartbeat("draining")
        else:
            await a.deregister(born=1000)
        await anyio.sleep(0.2)
        await restart(mesh, a, is_planned)
        assert (await a.post_heartbeat(late)).status_code == 200
        await anyio.sleep(DRAIN_S)
        before = len(a.upstream.arrived)
        for name in ("b", "c") * 5:
            assert (await mesh.call(name, "/track/1"))[0] == 200
        assert len(a.upstream.arrived) == before
        # A later process of the upstream is used.
        await a.send_heartbeat(born=2000)
        await anyio.sleep(0.2)
        assert a.node._local_upstream.state.name == "SERVING"


async def restart(mesh, instance, is_planned):
    """Ends the daemon of an instance, starts it and waits for it."""
    if is_planned:
        instance.node.stop()
        await mesh.wait(lambda: is_ended(instance))
    else:
        instance.kill()
        await anyio.sleep(0.1)
    mesh.start(instance.name)
    await mesh.wait(instance.is_ready)


async def is_ended(instance):
    """Tells whether the daemon of an instance has ended."""
    return instance.is_ended
