"""Processor time of checking, encoding, decoding and taking an edition."""

from collections.abc import Callable
import statistics
import time
from typing import Any

from benchmarks.capacity import processes
from benchmarks.capacity import records
from rattangauge.config import check
from rattangauge.config import delta as delta_module
from rattangauge.config import edition as edition_module
from rattangauge.config import routes

# The first size is that of the target.
SERVICES = (66, 264, 1056)


def _median_cpu_ms(work: Callable[[], Any], repeats: int) -> float:
    samples = []
    for _ in range(repeats):
        started = time.process_time()
        work()
        samples.append((time.process_time() - started) * 1000)
    return statistics.median(samples)


def _costs(count: int, repeats: int) -> dict[str, float]:
    objects = records.object_set(count)
    data = edition_module.encode(objects)
    digest = edition_module.digest_of(data)
    edition = edition_module.decode(1, digest, data)
    changed = edition_module.encode(records.object_set(count, 1_234))
    target = edition_module.decode(
        2, edition_module.digest_of(changed), changed
    )
    delta = delta_module.encode_delta(edition, target)

    def take() -> None:
        routes.compile_routes(edition_module.decode(1, digest, data))

    def take_delta() -> None:
        applied = delta_module.apply_delta(edition, 2, target.digest, delta)
        routes.compile_routes(applied)

    steps: dict[str, Callable[[], Any]] = {
        "check_ms": lambda: check.check_objects(objects),
        "encode_ms": lambda: edition_module.encode(objects),
        "decode_ms": lambda: edition_module.decode(1, digest, data),
        "take_ms": take,
        "make_delta_ms": lambda: delta_module.encode_delta(edition, target),
        "take_delta_ms": take_delta,
    }
    costs = {
        name: _median_cpu_ms(work, repeats) for name, work in steps.items()
    }
    return {**costs, "bytes": len(data), "delta_bytes": len(delta)}


def measure(repeats: int) -> dict[str, Any]:
    """Measures the processor time of editions by number of services."""
    report: dict[str, Any] = {
        str(count): _costs(count, repeats) for count in SERVICES
    }
    report["slope_per_service"] = processes.slopes(report, SERVICES)
    return report
