"""Tests that the command line can read the status that daemons write."""

import json

from rattangauge.config import progress
from rattangauge.config import zone_status
from rattangauge.membership import members
from rattangauge.membership import status
from tests import builders


def test_written_status_is_read_with_every_proxy():
    """Guards against proxies that are missing in the command line's report."""
    table = members.MemberTable(builders.member("a", version=3))
    behind = builders.member("b", version=2, rejected_version=3)
    table.merge([behind])
    written = status.build_zone_status(
        table, status.DistributionProgress(), True, 0.0, 1000
    )
    read = zone_status.parse("zone-1", json.dumps(written).encode())
    report = progress.build_report(3, None, [read], 2000)
    rows = [(p.instance, p.version, p.behind) for p in report.proxies]
    assert rows == [("a", 3, False), ("b", 2, True)]
    assert {p.member for p in report.proxies} == {"alive"}
    assert {p.upstream for p in report.proxies} == {"serving"}
    assert "rejected version 3" in report.proxies[1].reason
    assert report.zones[0].reason == (
        "1 of 2 proxies are behind; version 3 was rejected [no code]"
    )
    assert report.zones[0].status_age_ms == 1000
