"""Tests of the state of the local upstream after heartbeats."""

from rattangauge.membership import heartbeats
from tests import builders

after = heartbeats.apply_heartbeat


def test_a_later_heartbeat_replaces_an_earlier_one():
    """Guards against a state that does not follow the newest heartbeat."""
    known = after(None, builders.heartbeat(sequence=1), 1.0)
    assert after(known, builders.heartbeat(sequence=2), 2.0).received_at == 2.0


def test_a_late_heartbeat_does_not_bring_a_leaving_upstream_back():
    """Guards against new calls for an upstream that announced its leave."""
    known = after(None, builders.heartbeat(sequence=5, is_draining=True), 1.0)
    known = after(known, builders.heartbeat(sequence=4), 2.0)
    assert known.is_leaving
    known = after(known, builders.heartbeat(sequence=6), 3.0)
    assert known.is_leaving


def test_a_heartbeat_of_an_ended_process_names_nobody():
    """Guards against calls to a process whose address another one now has."""
    known = after(None, builders.heartbeat("new", started_ms=2000), 1.0)
    old = builders.heartbeat("old", started_ms=1000, sequence=99)
    assert after(known, old, 2.0) == known


def test_a_restart_under_the_same_identity_counts_anew():
    """Guards against a restarted upstream that still counts as leaving."""
    known = after(None, builders.heartbeat(started_ms=1, sequence=90), 1.0)
    known = known._replace(is_leaving=True)
    restarted = builders.heartbeat(started_ms=2, sequence=0)
    assert not after(known, restarted, 2.0).is_leaving


def test_a_departure_ends_new_work():
    """Guards against new calls for an upstream that has stopped."""
    known = after(None, builders.heartbeat("a", started_ms=1), 1.0)
    gone = heartbeats.apply_departure(known, heartbeats.Departure("a", 0))
    assert gone.is_leaving


def test_a_departure_of_another_process_changes_nothing():
    """Guards against a late departure that stops a running upstream's calls."""
    known = after(None, builders.heartbeat("a", started_ms=2), 1.0)
    for late in (heartbeats.Departure("b", 0), heartbeats.Departure("a", 1)):
        assert heartbeats.apply_departure(known, late) == known
    assert (
        heartbeats.apply_departure(None, heartbeats.Departure("a", 0)) is None
    )
