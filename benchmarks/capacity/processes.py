"""Processor time, memory and counters of processes, and slopes of figures."""

import os
import pathlib

import httpx
import numpy

MIB = 1 << 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def rss_bytes(pid: int | str = "self") -> int:
    """Returns the resident memory of a process, in bytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def cpu_s(pid: int) -> float:
    """Returns the processor time of all threads of a process, in seconds.

    The scheduler counts in nanoseconds; clock ticks of 10 ms would be 0.1% of
    10 s.
    """
    paths = pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[0]) for path in paths) / 1e9


def slope(sizes: tuple[int, ...], values: list[float]) -> float:
    """Returns the growth of values for each unit of size.

    >>> round(slope((1, 2, 3), [5.0, 7.0, 9.0]), 6)
    2.0
    """
    return float(numpy.polyfit(sizes, values, 1)[0])


def slopes(
    report: dict[str, dict[str, float]], sizes: tuple[int, ...]
) -> dict[str, float]:
    """Returns the slope of each figure of a report by size."""
    return {
        name: slope(sizes, [report[str(size)][name] for size in sizes])
        for name in report[str(sizes[0])]
    }


async def control_bytes(operators: str) -> dict[str, float]:
    """Returns the control bytes that a daemon has sent and received."""
    async with httpx.AsyncClient(timeout=5.0) as client:
        text = (await client.get(f"http://{operators}/metrics")).text
    found = {"sent": 0.0, "received": 0.0}
    for line in text.splitlines():
        for direction in found:
            start = "rattangauge_control_bytes_total{direction="
            name = f'{start}"{direction}"}} '
            if line.startswith(name):
                found[direction] = float(line.removeprefix(name))
    return found
