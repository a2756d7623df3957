"""Cost of a claim of a plain key by the claims that its bucket holds."""

import json
import time
from typing import Any

from benchmarks.capacity import processes
from benchmarks.capacity import records
from rattangauge.calls import keys
from rattangauge.net import claims

SIZES = (1_000, 3_500, 7_000)
REPEATS = 3


def _claim(number: int) -> tuple[str, str]:
    issued = keys.issue(
        records.member(number % records.ZONE_MEMBERS),
        f"service-{number % records.SERVICES}",
        records.STARTED_MS,
        f"{number:016x}",
    )
    name = claims.claim_name("tenant", str(number))
    return name, keys.format_key(issued)


def _costs(count: int) -> dict[str, float]:
    data = json.dumps(dict(_claim(n) for n in range(count)))
    wanted = dict([_claim(count)])
    started_s = time.process_time()
    for _ in range(REPEATS):
        present = json.loads(data)
        merged = claims.merge_claims(present, wanted, records.STARTED_MS)
        json.dumps(merged, separators=(",", ":"))
    used_s = time.process_time() - started_s
    size = len(json.dumps(merged, separators=(",", ":")))
    return {"bucket_bytes": size, "cpu_ms": used_s * 1000 / REPEATS}


def measure() -> dict[str, Any]:
    """Measures a claim in buckets of several sizes."""
    report: dict[str, Any] = {str(size): _costs(size) for size in SIZES}
    report["slope_per_claim"] = processes.slopes(report, SIZES)
    return report
