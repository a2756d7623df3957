"""Memory and processor time of member records beside an edition."""

import json
import subprocess
import sys
import time
from typing import Any

from benchmarks.capacity import processes
from benchmarks.capacity import records
from rattangauge.config import edition as edition_module
from rattangauge.config import routes
from rattangauge.generated import messages
from rattangauge.membership import members
from tools import fleet as fleet_module

# The last size is that of the target.
MEMBERS = (650, 1300, 2600)


def hold(count: int) -> dict[str, float]:
    """Holds an edition and member records of one zone in this process."""
    data = edition_module.encode(records.object_set(records.SERVICES))
    digest = edition_module.digest_of(data)
    edition = edition_module.decode(1, digest, data)
    table = routes.compile_routes(edition)
    before = processes.rss_bytes()
    own = messages.Member("own", "zone-1", "sk-west", "127.0.1.1:1")
    known = members.MemberTable(own)
    started = time.process_time()
    known.merge([records.member(number) for number in range(count)])
    merge_ms = (time.process_time() - started) * 1000
    grown = processes.rss_bytes() - before
    assert table.version == 1
    return {"rss_growth_mib": grown / processes.MIB, "merge_ms": merge_ms}


def measure() -> dict[str, Any]:
    """Measures member records, each size in a process of its own."""
    report: dict[str, Any] = {}
    for count in MEMBERS:
        command = [sys.executable, "-m", "benchmarks.bench_capacity"]
        done = subprocess.run(
            [*command, "--hold", str(count)],
            check=True,
            capture_output=True,
            cwd=fleet_module.ROOT,
        )
        report[str(count)] = json.loads(done.stdout)
    report["slope_per_member"] = processes.slopes(report, MEMBERS)
    return report
