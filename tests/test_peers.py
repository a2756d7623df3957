"""Tests of the table of peers and of the state of each peer."""

import pytest

from rattangauge.generated import messages
from rattangauge.membership import peers
from tests import builders

OTHER = "127.0.1.2:7000"


def table_with(**fields):
    table = peers.PeerTable(builders.member("own"))
    table.update(builders.news(OTHER, **fields), 1.0)
    return table


def test_a_peer_that_serves_is_a_candidate():
    """Guards against a serving peer that gets no calls of its service."""
    table = table_with()
    assert {p.member.mesh for p in table.serving("skladby")} == {
        "127.0.1.1:7000",
        OTHER,
    }
    assert table.serving("nahravky") == []


def test_a_peer_that_leaves_is_none():
    """Guards against new calls for an upstream that is draining."""
    for fields in (
        {"upstream": messages.UpstreamState.DRAINING},
        {"state": messages.MemberState.LEFT},
    ):
        table = table_with(**fields)
        assert OTHER not in {p.member.mesh for p in table.serving("skladby")}


def test_an_answer_tells_that_an_upstream_drains():
    """Guards against calls to a draining upstream until its next record."""
    table = table_with()
    draining = messages.Load(state=messages.UpstreamState.DRAINING)
    table.get(OTHER).update_load(draining, 2.0)
    assert len(table.serving("skladby")) == 1


def test_older_news_of_the_same_process_change_nothing():
    """Guards against a late message that replaces a newer record."""
    table = table_with(counter=5)
    table.update(builders.news(OTHER, counter=4, slots=77), 2.0)
    assert table.get(OTHER).member.slots == 9


def test_a_new_process_starts_without_history():
    """Guards against calls of an ended process that count for the new one."""
    table = table_with(incarnation=5)
    table.get(OTHER).own_calls = 3
    assert table.update(builders.news(OTHER, incarnation=6), 2.0)
    assert table.get(OTHER).own_calls == 0


def test_a_process_whose_clock_is_behind_replaces_a_lost_one():
    """Guards against a peer that stays unknown after its clock went back."""
    table = table_with(incarnation=5)
    earlier = builders.news(OTHER, incarnation=4)
    assert not table.update(earlier, 2.0)
    table.get(OTHER).record_failure(2.0)
    assert table.update(earlier, 2.0)


def test_the_load_of_others_is_counted_beside_the_own():
    """Guards against own calls that are counted twice or not at all."""
    peer = table_with().get(OTHER)
    peer.own_calls = 2
    peer.update_load(builders.load(running=5, queued=1), 1.0)
    peer.own_calls = 4
    assert peer.outstanding(1.1) == 8


def test_an_old_load_is_worth_nothing():
    """Guards against placing calls by a load report that has expired."""
    peer = table_with().get(OTHER)
    peer.update_load(builders.load(running=9), 1.0)
    assert peer.outstanding(1.0 + peers.LOAD_EXPIRY_S + 0.1) == 0


def test_a_failed_peer_is_left_alone_for_a_while():
    """Guards against calls to a peer right after it could not be reached."""
    peer = table_with().get(OTHER)
    peer.record_failure(1.0)
    assert peer.should_avoid(1.1)
    assert not peer.should_avoid(1.0 + peers.FAILURE_PAUSE_S + 0.01)
    peer.record_failure(2.0)
    peer.record_success()
    assert not peer.should_avoid(2.1)


def test_calls_do_not_probe_a_peer_that_failed_twice():
    """Guards against calls that wait for peers in a zone that is cut off."""
    peer = table_with().get(OTHER)
    peer.record_failure(1.0)
    peer.record_failure(2.0)
    assert peer.should_avoid(60.0)
    peer.record_success()
    assert not peer.should_avoid(60.0)


def test_the_calls_of_one_lost_connection_are_one_failure():
    """Guards against a long pause of a peer after one connection reset."""
    peer = table_with().get(OTHER)
    for _ in range(9):
        peer.record_failure(1.0)
    assert peer.failures == 1
    assert not peer.should_avoid(1.0 + peers.FAILURE_PAUSE_S + 0.01)


def test_an_upstream_that_fails_its_calls_is_ill_until_it_serves_again():
    """Guards against an upstream that fails calls but passes health checks."""
    peer = table_with().get(OTHER)
    for _ in range(8):
        peer.record_answer(True, 9.0)
    assert peer.should_avoid(9.1)
    for _ in range(9):
        peer.record_answer(False, 9.2)
    assert not peer.should_avoid(9.2)


def test_an_ill_upstream_is_tried_again():
    """Guards against an upstream that never gets a call again."""
    peer = table_with().get(OTHER)
    for _ in range(30):
        peer.record_answer(True, 9.0)
    assert peer.should_avoid(9.1)
    assert not peer.should_avoid(9.0 + 3 * peers.FAILED_SHARE_DECAY_S)


def test_calls_of_different_kinds_are_expected_to_take_their_own_time():
    """Guards against short calls that go to another zone due to long calls.

    With one mean hold time for all kinds, a short call would be expected to
    take as long as the others.
    """
    peer = table_with().get(OTHER)
    for kind, kind_us in (("short", 10_000), ("long", 90_000)):
        load = builders.load(service_us=30_000, kind_us=kind_us)
        peer.update_load(load, 1.0, kind)
    short = peer.candidate("zone-1", 1.0, "short")
    long = peer.candidate("zone-1", 1.0, "long")
    assert (short.hold_s, long.hold_s) == pytest.approx((0.01, 0.09))
    assert short.mean_hold_s == long.mean_hold_s == 0.03
    # A higher mean hold time applies to all kinds of call.
    peer.update_load(builders.load(service_us=60_000), 1.1)
    short = peer.candidate("zone-1", 1.1, "short")
    assert short.hold_s == pytest.approx(0.02)
