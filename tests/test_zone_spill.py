"""Calls that leave their availability zone: the share, and a small mesh."""

import pytest

from rattangauge.calls import zone_spill
from rattangauge.generated import messages
from rattangauge.membership import peers
from rattangauge.membership import zone_loads
from tests import builders
from tests import meshes

STEP_S = 0.1
# Time between two reports of a zone to the others.
REPORT_PERIOD_S = 1.0
HOLD_S = 0.3


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


def _load(slots, busy, at=0.0):
    return zone_spill.ZoneLoad(slots, busy, at)


class Zones:
    """Zones whose calls each hold a slot for a time, by Little's law."""

    def __init__(self, slots):
        """Creates idle zones with given slots."""
        self.slots = slots
        self.shares = [zone_spill.SpillShare(0.0) for _ in slots]
        self.busy = [0.0] * len(slots)
        self.reports = [_load(count, 0) for count in slots]
        self.history = []

    def run(self, rates, seconds, start=0.0):
        """Plays a time; rates are calls a second by zone of the caller."""
        for step in range(round(seconds / STEP_S)):
            now = start + step * STEP_S
            if step % round(REPORT_PERIOD_S / STEP_S) == 0:
                self._report(now)
            self._step(rates, now)

    def _report(self, now):
        self.reports = [
            _load(slots, round(busy), now)
            for slots, busy in zip(self.slots, self.busy, strict=True)
        ]

    def _step(self, rates, now):
        for zone, share in enumerate(self.shares):
            own = _load(self.slots[zone], round(self.busy[zone]), now)
            others = [r for z, r in enumerate(self.reports) if z != zone]
            share.update(own, others, now)
        arriving = [0.0] * len(rates)
        for zone, rate in enumerate(rates):
            leaving = rate * self.shares[zone].share
            arriving[zone] += rate - leaving
            rooms = [
                0.0 if z == zone else zone_spill.room(r, now)
                for z, r in enumerate(self.reports)
            ]
            for other, left in enumerate(rooms):
                arriving[other] += leaving * left / max(1e-9, sum(rooms))
        for zone, rate in enumerate(arriving):
            wanted = rate * HOLD_S
            change = (wanted - self.busy[zone]) * STEP_S / HOLD_S
            # Queues are bounded, so a zone is never far beyond its slots.
            self.busy[zone] = min(
                1.5 * self.slots[zone], max(0.0, self.busy[zone] + change)
            )
        self.history.append([share.share for share in self.shares])


def test_nothing_leaves_while_the_own_zone_has_room():
    """Guards against bytes between zones without a need."""
    zones = Zones([90, 90, 90])
    zones.run([200.0, 240.0, 100.0], 10.0)
    assert all(share == 0.0 for row in zones.history for share in row)


def test_a_zone_that_lacks_room_uses_what_the_others_have_left():
    """Guards against callers that are refused beside idle instances."""
    zones = Zones([90, 90, 90])
    zones.run([400.0, 100.0, 100.0], 10.0)
    assert zones.busy[0] <= 90 * 1.1
    assert zones.history[-1][0] > 0.1


def test_no_zone_is_filled_by_others():
    """Guards against a healthy zone that refuses its own callers.

    Two zones lack room at the same time, and the third has some.
    """
    zones = Zones([60, 60, 90])
    zones.run([500.0, 500.0, 150.0], 15.0)
    for row in range(1, 15):
        assert zones.busy[2] <= 90 * 0.95, row


def test_the_share_does_not_swing():
    """Guards against calls that move back and forth between zones."""
    zones = Zones([90, 90, 90])
    zones.run([380.0, 100.0, 100.0], 20.0)
    settled = [row[0] for row in zones.history[100:]]
    turns = sum(
        (b - a) * (c - b) < 0
        for a, b, c in zip(settled, settled[1:], settled[2:], strict=False)
    )
    assert max(settled) - min(settled) < 0.15
    assert turns < len(settled) / 2


def test_the_share_falls_to_nothing_when_the_demand_does():
    """Guards against calls that leave for longer than needed."""
    zones = Zones([90, 90, 90])
    zones.run([400.0, 100.0, 100.0], 5.0)
    zones.run([100.0, 100.0, 100.0], 6.0, start=5.0)
    assert zones.history[-1] == [0.0, 0.0, 0.0]


def test_a_zone_that_is_not_heard_is_no_room():
    """Guards against calls into a zone that is cut off."""
    share = zone_spill.SpillShare(0.0)
    own, other = _load(90, 130), _load(90, 0, 0.0)
    for step in range(1, 20):
        share.update(own, [other], step * STEP_S)
    assert share.share > 0.1
    now = zone_spill.MAX_REPORT_AGE_S + 0.1
    share.update(own, [other], now)
    assert share.share == 0.0


def test_a_daemon_reports_the_load_of_its_zone():
    """Guards against reports that count instances of other zones."""
    table = peers.PeerTable(builders.member("a", mesh="127.0.0.1:1"))
    for number, zone in ((2, "zone-1"), (3, "zone-2")):
        mesh = f"127.0.0.{number}:1"
        table.add(builders.member("b", mesh=mesh, zone=zone))
        peer = table.get(mesh)
        peer.update_load(builders.load(running=5, queued=2), 10.0)
    (load,) = zone_loads.report(table, 10.1)
    assert load == messages.ServiceLoad("skladby", 18, 7)


def test_reports_of_zones_are_bounded():
    """Guards against memory that other daemons fill."""
    loads = zone_loads.ZoneLoads()
    for number in range(3000):
        service = messages.ServiceLoad(f"s{number}", 1, 0)
        loads.record("zone-2", (service,), 0.0)
    assert not list(loads.of("s0"))
    assert list(loads.of("s2999"))


async def test_callers_of_a_full_zone_are_served_in_another():
    """Guards against reports that do not reach the other zones."""
    path = meshes.path("/track/", "skladby")
    async with meshes.running() as mesh:
        mesh.publish([path])
        await mesh.add("a", zone="zone-1", work_s=0.2)
        await mesh.add("b", zone="zone-2", work_s=0.2)
        await mesh.wait_ready()
        await mesh.send_heartbeats()
        spill = mesh.instances["a"].node._dispatcher._upstreams._spill

        async def has_report():
            return bool(list(spill._loads.of("skladby")))

        await mesh.wait(has_report)
        statuses = []

        async def call():
            statuses.append((await mesh.call("a", "/track/1"))[0])

        for _ in range(16):
            mesh.tasks.start_soon(call)

        async def have_ended():
            return len(statuses) == 16

        await mesh.wait(have_ended)
        arrived = {
            n: len(i.upstream.arrived) for n, i in mesh.instances.items()
        }
        assert arrived["b"] >= 4
