"""Tests of member records, probing, gateways, zone summaries and status."""

import random

from rattangauge.generated import messages
from rattangauge.membership import gateways
from rattangauge.membership import members
from rattangauge.membership import probing
from rattangauge.membership import status
from rattangauge.membership import zone_summary
from tests import builders

ALIVE, SUSPECT, DEAD, LEFT = messages.MemberState


def _table(count=4):
    table = members.MemberTable(builders.member("m0", mesh="127.0.1.1:1"))
    table.merge(
        builders.member(f"m{index}", mesh=f"127.0.1.1:{index + 1}")
        for index in range(1, count)
    )
    return table


def test_refutation_replaces_a_wrong_belief():
    """Guards against a resumed daemon that the others still consider dead."""
    table, other = _table(), _table()
    other.set_state("m0", DEAD)
    changes = table.merge([table.own._replace(state=DEAD)])
    assert table.own.state is ALIVE
    assert changes[0].is_urgent
    known = members.MemberTable(builders.member("m9"))
    known.merge([builders.member("m0", mesh="127.0.1.1:1")])
    known.set_state("m0", DEAD)
    known.merge([table.own])
    assert known.members["m0"].state is ALIVE


def test_wrong_belief_below_the_own_counter_is_answered():
    """Guards against a daemon that is not refuted because of its own counter.

    A resumed daemon that puts a version in force before it learns that it is
    considered dead has a higher counter than the wrong record.
    """
    table = _table()
    wrong_record = table.own._replace(state=DEAD)
    table.set_own(table.own._replace(version=2))
    changes = table.merge([wrong_record])
    assert changes[0].new == table.own
    assert changes[0].is_urgent


def test_new_incarnation_replaces_the_old():
    """Guards against late records of a process that has ended."""
    table = _table()
    table.set_state("m1", DEAD)
    table.merge([builders.member("m1", incarnation=2)])
    table.merge([builders.member("m1", counter=99, state=LEFT)])
    assert table.members["m1"].incarnation == 2
    assert table.members["m1"].state is ALIVE


def test_old_process_does_not_outbid_its_replacement():
    """Guards against two processes of one instance that outbid each other.

    Each would raise its incarnation above the other's without end.
    """
    table = _table()
    before = table.own
    table.merge([before._replace(incarnation=9, mesh="127.0.1.9:1")])
    assert table.own == before
    table.merge([before._replace(incarnation=9)])
    assert table.own.incarnation == 10


def test_serving_leaves_out_dead_and_draining():
    """Guards against calls to an upstream that has stopped or is draining."""
    table = _table()
    table.set_state("m1", DEAD)
    draining = messages.UpstreamState.DRAINING
    record = table.members["m2"]._replace(counter=1, upstream=draining)
    changes = table.merge([record])
    assert changes[0].is_urgent
    serving = {member.instance for member in table.serving("skladby")}
    assert serving == {"m0", "m3"}


def test_other_zones_and_unknown_dead_are_not_kept():
    """Guards against a table that grows with other zones or dead members."""
    table = _table()
    table.merge([builders.member("x", zone="zone-2")])
    table.merge([builders.member("y", state=DEAD)])
    assert set(table.members) == {"m0", "m1", "m2", "m3"}


def test_floor_is_the_highest_version_reported():
    """Guards against a restarted daemon that uses an older version."""
    table = _table()
    table.record_version("127.0.1.1:2", 7)
    table.record_version("127.0.1.1:2", 5)
    assert table.version_floor("127.0.1.1:2", "zone-1") == 7
    zone = messages.ZoneSummary("zone-2", version=9, sequence_ms=1)
    table.summaries.merge([zone], 0.0)
    assert table.version_floor("127.0.2.1:1", "zone-2") == 9


def test_messages_carry_at_most_eight_updates():
    """Guards against probes that grow with the zone, and unsent records."""
    queue = probing.UpdateQueue()
    for index in range(20):
        queue.add(builders.member(f"m{index}"))
    seen = set()
    for _ in range(3):
        taken = queue.take(20, [builders.member("z", state=DEAD)])
        assert len(taken) == probing.MAX_UPDATES_PER_MESSAGE
        assert taken[0].instance == "z"
        seen.update(member.instance for member in taken)
    assert len(seen) == 21
    while len(queue):
        queue.take(20)


def test_each_member_is_probed_once_a_round():
    """Guards against a member that a random choice leaves out for long."""
    order = probing.ProbeOrder()
    rng = random.Random(3)
    names = [f"m{index}" for index in range(9)]
    assert sorted(order.next(names, rng) for _ in names) == names
    assert order.next([], rng) is None


def test_own_pause_does_not_expire_suspects():
    """Guards against a resumed daemon that declares all its peers dead."""
    timers = probing.Timers()
    timers.start("m1", 10.0)
    timers.postpone(30.0)
    assert timers.expired(41.0, 2.0) == []
    assert timers.expired(42.0, 2.0) == ["m1"]


def test_gateways_change_little_and_skip_the_dead():
    """Guards against a zone that loses its store watch with one gateway."""
    table = _table(8)
    first, second = table.gateways
    table.set_state(first.instance, DEAD)
    if first.instance != "m0":
        assert table.gateways[0].instance == second.instance
    assert len(gateways.select_gateways("zone-1", table.members.values())) == 2


def test_old_summaries_lose():
    """Guards against summaries that arrive out of order."""
    table = zone_summary.SummaryTable()
    old = messages.ZoneSummary("zone-2", sequence_ms=1)
    new = old._replace(sequence_ms=2, members=5)
    assert table.merge([new], 0.0) == [new]
    assert table.merge([old], 0.0) == []
    assert table.summaries["zone-2"] == new
    assert table.later_than([messages.ZoneSequence("zone-2", 2)]) == ()


def test_summary_is_issued_on_change_and_ahead_of_other_clocks():
    """Guards against a new gateway whose summaries count as outdated.

    Its clock may be behind that of the previous gateway.
    """
    table = _table()
    fresh = zone_summary.summarize(table.own, table.live, table.gateways)
    issued = table.summaries.issue(fresh, 0.0, 1_000)
    assert issued.services[0].serving == 4
    assert issued.services[0].free_slots == 36
    assert table.summaries.issue(fresh, 1.0, 2_000) is None
    table.set_state("m1", LEFT)
    fresh = zone_summary.summarize(table.own, table.live, table.gateways)
    later = table.summaries.issue(fresh, 2.0, 500)
    assert later.sequence_ms == 1_001


def test_remote_workers_expire():
    """Guards against calls to a zone whose summary is long outdated."""
    table = zone_summary.SummaryTable()
    remote = messages.SummaryWorker("b", "127.0.2.1:1", 5, 9)
    entry = messages.ServiceSummary("skladby", 1, 9, (remote,))
    zone = messages.ZoneSummary("zone-2", "r", 1, 1, 1, (entry,))
    table.merge([zone], 0.0)
    worker = table.remote_workers("skladby", "zone-1", 1.0)[0]
    assert (worker.zone, worker.mesh) == ("zone-2", "127.0.2.1:1")
    assert (worker.instance, worker.incarnation) == ("b", 5)
    assert table.remote_workers("skladby", "zone-2", 1.0) == []
    assert (
        table.remote_workers("skladby", "zone-1", zone_summary.EXPIRY_S + 1)
        == []
    )


def test_status_names_first_last_and_slowest():
    """Guards against a status that reports the rollout as complete too early.

    ``all_ms`` must be unset until every live proxy has the version.
    """
    table = _table(3)
    table.record_version("127.0.1.1:2", 4)
    progress = status.advance(status.DistributionProgress(), table.live, 100)
    table.record_version("127.0.1.1:3", 4)
    progress = status.advance(progress, table.live, 200)
    assert (progress.first_ms, progress.all_ms) == (100, 0)
    assert progress.slowest == "m0"
    table.set_own(table.own._replace(version=4))
    progress = status.advance(progress, table.live, 300)
    assert progress == status.DistributionProgress(4, 100, 300, "m0")
    earlier = status.build_zone_status(table, progress, True, 1.0, 400)
    later = status.build_zone_status(table, progress, True, 2.0, 500)
    assert earlier["lowest_version"] == earlier["highest_version"] == 4
    assert status.without_times(earlier) == status.without_times(later)


def test_renewal_leaves_known_services_out():
    """Guards against the traffic of renewals that repeat known services.

    In a mesh of 2,600 daemons in 12 zones, each daemon would receive 12 full
    summaries per minute.
    """
    issuer, reader = zone_summary.SummaryTable(), zone_summary.SummaryTable()
    own = builders.member("a")
    old = zone_summary.summarize(own, [own], [])
    issuer.issue(old, 0.0, 1_000)
    reader.merge(issuer.later_than(reader.known()), 0.0)
    services = reader.summaries["zone-1"].services
    assert services
    issuer.issue(old._replace(version=2), 20.0, 21_000)
    (renewal,) = issuer.later_than(reader.known())
    assert renewal.brief
    assert not renewal.services
    assert reader.merge([renewal], 20.0) == []
    assert reader.summaries["zone-1"].services == services
    assert reader.summaries["zone-1"].version == 2
    assert not reader.summaries["zone-1"].brief


def test_renewal_of_other_services_is_not_taken():
    """Guards against services that are stored under another summary's hash."""
    table = zone_summary.SummaryTable()
    table.merge([messages.ZoneSummary("zone-2", sequence_ms=1, content=7)], 0.0)
    brief = messages.ZoneSummary("zone-2", sequence_ms=2, content=8, brief=True)
    table.merge([brief], 0.0)
    assert table.summaries["zone-2"].sequence_ms == 1


def test_summary_names_all_workers_of_a_target_zone():
    """Guards against calls of 11 zones that all go to the same 4 workers."""
    own = builders.member("a")
    large = [builders.member(f"a{n}") for n in range(150)]
    small = [
        builders.member(f"b{n}", service=f"service-{n}") for n in range(65)
    ]
    zone = zone_summary.summarize(own, [*large, *small], [])
    listed = {
        worker.instance for entry in zone.services for worker in entry.workers
    }
    assert listed == {member.instance for member in [*large, *small]}


def test_named_workers_are_bounded():
    """Guards against a summary that grows with the workers of its zone."""
    own = builders.member("a")
    workers = [
        builders.member(f"a{n}", service=f"service-{n % 3}")
        for n in range(1_000)
    ]
    zone = zone_summary.summarize(own, workers, [])
    counts = [len(entry.workers) for entry in zone.services]
    assert counts == [zone_summary.MAX_SUMMARY_WORKERS // 3] * 3
