"""Bounds of sizes at the target of docs/design.md, without a clock.

The target is 2,600 workers in 66 services and 12 zones: 217 members a zone. A
node may spend 10 kB a second on control traffic; the store takes values up to
1 MB, a frame 1 MiB.
"""

import pytest

from benchmarks.capacity import records
from benchmarks.capacity import sizes
from rattangauge.membership import probing
from rattangauge.membership import zone_summary as summary_module
from rattangauge.net import frames
from rattangauge.net import join
from rattangauge.net import object_store
from rattangauge.net import zone_exchange

CONTROL_BYTES_PER_S = 10_000
CHANGE_PERIOD_S = 86_400 / 1_500
MEMBERS = records.ZONE_MEMBERS


@pytest.fixture(scope="module")
def zone_summary():
    """The summary of a zone of the target."""
    return records.zone_summary(MEMBERS, 2)


def test_target_zone_has_all_members():
    """Guards against bounds that are checked at less than the target."""
    assert records.ZONES * MEMBERS >= records.WORKERS
    assert len(records.table(MEMBERS).live) == MEMBERS


def test_full_probes_fit_the_control_traffic():
    """Guards against member records that grow beyond a probe's share.

    In a second a node sends one probe and answers one on average.
    """
    full = sizes.probe_bytes(probing.MAX_UPDATES_PER_MESSAGE)
    assert 2 * full <= CONTROL_BYTES_PER_S


def test_probe_carries_a_bounded_number_of_updates():
    """Guards against probes that grow with the changes of a large zone."""
    queue = probing.UpdateQueue()
    for number in range(MEMBERS):
        queue.add(records.member(number))
    assert len(queue.take(MEMBERS)) == probing.MAX_UPDATES_PER_MESSAGE


def test_renewed_summaries_fit_the_control_traffic():
    """Guards against renewals that carry all services again.

    Each change of the configuration renews the summaries of all zones.
    """
    renewals = records.ZONES * sizes.renewal_bytes(MEMBERS)
    period_s = min(summary_module.RENEWAL_S, CHANGE_PERIOD_S)
    assert renewals / period_s <= CONTROL_BYTES_PER_S / 100


def test_summary_fits_a_frame_with_those_of_all_zones(zone_summary):
    """Guards against an exchange that is refused as oversized."""
    exchange = sizes.messages.ZoneExchange(summaries=(zone_summary,))
    size = sizes.message_bytes(exchange)
    assert size * records.ZONES <= frames.MAX_FRAME_BYTES


def test_summary_names_all_workers(zone_summary):
    """Guards against spilled calls that all meet a few workers."""
    named = sum(len(entry.workers) for entry in zone_summary.services)
    assert named == MEMBERS


def test_summary_stops_growing_with_the_zone():
    """Guards against summaries that grow with the workers of a zone."""
    large = records.zone_summary(4 * MEMBERS, 2)
    named = sum(len(entry.workers) for entry in large.services)
    assert named <= summary_module.MAX_SUMMARY_WORKERS


def test_join_reply_fits_a_frame():
    """Guards against a zone that grows until no daemon can join it."""
    assert sizes.join_reply_bytes(MEMBERS) <= frames.MAX_FRAME_BYTES


def test_joining_again_fits_the_control_traffic():
    """Guards against the answer to a known member that carries summaries."""
    known = tuple(
        sizes.messages.ZoneSequence(s.zone, s.sequence_ms, s.content)
        for s in records.other_summaries()
    )
    table = summary_module.SummaryTable()
    table.merge(records.other_summaries(), 0.0)
    sampled = [records.member(n) for n in range(join.SAMPLED_MEMBERS + 2)]
    reply = sizes.messages.JoinReply(tuple(sampled), table.later_than(known))
    per_s = sizes.message_bytes(reply) / join.REJOIN_S
    assert per_s <= CONTROL_BYTES_PER_S / 10


def test_exchange_without_news_fits_the_control_traffic():
    """Guards against a list of known summaries that is too long.

    A gateway exchanges once a second, other members every 5 s.
    """
    table = summary_module.SummaryTable()
    table.merge(records.other_summaries(), 0.0)
    exchange = sizes.messages.ZoneExchange(
        1, sizes.DIGEST, known=table.known(), mesh=records.member(0).mesh
    )
    size = sizes.message_bytes(exchange)
    assert 2 * size <= CONTROL_BYTES_PER_S
    assert 2 * size / zone_exchange.CATCH_UP_S <= CONTROL_BYTES_PER_S / 10


def test_status_fits_the_store():
    """Guards against a status that the store refuses at the target."""
    assert sizes.status_bytes(MEMBERS) <= object_store.MAX_VALUE_BYTES


def test_delta_of_one_object_is_far_smaller_than_the_edition():
    """Guards against changes that carry the whole edition to each proxy."""
    found = sizes.edition_bytes(records.SERVICES)
    objects = sum(map(len, records.object_set(records.SERVICES).values()))
    # The edition compresses well; a delta is one object and its digests.
    assert found["delta"] <= found["whole"] / 4
    assert found["delta"] / CHANGE_PERIOD_S <= CONTROL_BYTES_PER_S / 100
    assert objects == 4 * records.SERVICES


def test_jobs_without_daemons_report_all_sizes():
    """Guards against a job that lacks the size at which a bound is set."""
    report = sizes.measure()
    assert str(MEMBERS) in report
    assert report["slope_per_member"]["probe_with_8_updates"] < 1
