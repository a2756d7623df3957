"""Measures state, messages, processor time and memory by size, with slopes.

Each job measures at three sizes or more, of which the target's size is one.
docs/CAPACITY.md uses the figures.

- ``sizes``: bytes of messages and of the status object, by members of a zone;
- ``edition``: processor time of editions and deltas, by services;
- ``members``: memory of member records, by members;
- ``daemon``: memory and processor share of a daemon alone, by services;
- ``zone``: a daemon in a scripted zone: idle, changes and the loss of a rack;
- ``settled``: the same, idle, after 6 minutes; only if it is asked for;
- ``publish``: store calls of an operator's publish, by services;
- ``claims``: a claim of a plain key, by claims in its bucket;
- ``join``: one daemon when all members of its zone return at once;
- ``calls``: processor time of a call at two daemons, by calls a second.
"""

import argparse
import json
import pathlib
from typing import Any

import anyio

from benchmarks.capacity import calls
from benchmarks.capacity import claiming
from benchmarks.capacity import daemons
from benchmarks.capacity import editions
from benchmarks.capacity import joining
from benchmarks.capacity import publishing
from benchmarks.capacity import sizes
from benchmarks.capacity import tables
from benchmarks.capacity import zones

JOBS = (
    "sizes",
    "edition",
    "members",
    "daemon",
    "zone",
    "publish",
    "claims",
    "join",
    "calls",
)
REPEATS = 7
DAEMON_S = 8.0
ZONE_S = 40.0
CALLS_S = 15.0


def _measure(job: str, seed: int, quick: bool) -> dict[str, Any]:
    """Runs a job; returns its reports by group of figures."""
    share = 0.25 if quick else 1.0
    if job == "sizes":
        return {job: sizes.measure()}
    if job == "edition":
        return {job: editions.measure(3 if quick else REPEATS)}
    if job == "members":
        return {job: tables.measure()}
    if job == "daemon":
        return {job: anyio.run(daemons.measure, DAEMON_S * share)}
    if job == "zone":
        return anyio.run(zones.measure, ZONE_S * share, seed)
    if job == "settled":
        return {job: anyio.run(zones.measure_settled, ZONE_S * share, seed)}
    if job == "claims":
        return {job: claiming.measure()}
    if job == "publish":
        return {job: anyio.run(publishing.measure)}
    if job == "join":
        return {job: anyio.run(joining.measure, seed)}
    return {job: anyio.run(calls.measure, CALLS_S * share, seed)}


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument(
        "--job", action="append", choices=(*JOBS, "settled"), default=[]
    )
    parser.add_argument("--hold", type=int, default=0, help="for own use")
    parser.add_argument("--observe", nargs=3, help="for own use")
    return parser.parse_args(arguments)


def main() -> None:
    """Runs the command line."""
    options = parse_arguments()
    if options.hold:
        print(json.dumps(tables.hold(options.hold)))
        return
    if options.observe:
        role, size, observed_s = options.observe
        found = anyio.run(
            zones.observe, role, int(size), float(observed_s), options.seed
        )
        print(json.dumps(found))
        return
    report: dict[str, Any] = {}
    for job in options.job or JOBS:
        report |= _measure(job, options.seed, options.quick)
    print(json.dumps(report, indent=2))
    if options.json:
        options.json.write_text(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
