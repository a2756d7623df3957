"""Runs a mesh of real processes under seeded faults and checks it.

Faults come two at a time while callers send calls and operators publish. After
each run the history is judged by ``tools.invariants``. If it fails, the
schedule is shortened within a bound of time and printed with the seed.
"""

import argparse
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import itertools
import sys
import traceback
from typing import NamedTuple

import anyio
import httpx

from rattangauge import errors
from rattangauge.config import head as head_module
from standins import caller as caller_module
from tools import faults as faults_module
from tools import fleet as fleet_module
from tools import invariants
from tools import operators as operators_module
from tools import publishing
from tools import schedule
from tools import stopping

ZONES = 3
SERVICES = ("nahravky", "objednavky", "skladby")
SLOTS = 8
RATE = 15.0
POLL_PERIOD_S = 0.25
STATUS_TIMEOUT_S = 1.0
REPEATS = 3
UPSET_BYTES = 2_000_000
UPSET_HOLD_S = 1.0
HEAL_S = 20.0
# A run takes about a minute; one that hangs must end by itself.
RUN_LIMIT_S = 240.0
EXIT_OK, EXIT_VIOLATIONS, EXIT_NOT_JUDGED = 0, 1, 2
SHORTEN_S = 180.0
SHOWN_VIOLATIONS = 4
SHOWN_LINES = 12
OBJECTS = fleet_module.ROOT / "examples" / "minimal" / "minimal.toml"

WORKERS = tuple(
    fleet_module.Worker(
        f"zone-{number // 2 + 1}-{'ab'[number % 2]}",
        number // 2 + 1,
        SERVICES[number % len(SERVICES)],
    )
    for number in range(2 * ZONES)
)


class Run:
    """One run of a schedule."""

    def __init__(self, fleet: fleet_module.Fleet, seed: int) -> None:
        """Creates a run in a fleet that has started."""
        self._fleet = fleet
        objects = publishing.read([OBJECTS])
        self._operators = operators_module.Operators(fleet, objects)
        self._stops = stopping.Stops(fleet)
        self._faults = faults_module.Faults(fleet, self._operators, self._stops)
        self._addresses = [ports.callers for ports in fleet.ports.values()]
        self._caller = caller_module.Caller(self._addresses, seed)
        self._versions: list[invariants.SeenVersion] = []
        self._started = anyio.current_time()

    async def run(
        self, faults: tuple[schedule.Fault, ...]
    ) -> invariants.History:
        """Runs all faults and returns the history."""
        await self._operators.publish_all()
        await self._fleet.wait_version(1)
        async with self._caller, anyio.create_task_group() as tasks:
            background = anyio.CancelScope()
            tasks.start_soon(self._in_background, background)
            await self._run_slots(faults)
            head = await self._heal()
            background.cancel()
        return await self._history(head)

    async def _in_background(self, scope: anyio.CancelScope) -> None:
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._poll_all)
                tasks.start_soon(self._call_all)
                tasks.start_soon(self._repeat_all)
                tasks.start_soon(self._upset_all)

    async def _run_slots(self, faults: tuple[schedule.Fault, ...]) -> None:
        for slot in sorted({fault.slot for fault in faults}):
            async with anyio.create_task_group() as tasks:
                for fault in faults:
                    if fault.slot == slot:
                        tasks.start_soon(self._faults.run, fault)
                await anyio.sleep(schedule.MIN_LENGTH_S / 2)
                await self._operators.publish()

    async def _heal(self) -> head_module.Head | None:
        """Waits until all daemons have the head's version; returns it."""
        await self._operators.heal(HEAL_S)
        head = await self._operators.head()
        with contextlib.suppress(TimeoutError):
            await self._fleet.wait_version(head.version if head else 0)
        return head

    async def _call_all(self) -> None:
        calls = []
        for service in SERVICES:
            read = caller_module.Call(f"/{service}", size=20_000)
            calls += [read, read._replace(method="POST", body_bytes=2_000)]
        await self._caller.run(calls, RATE, duration_s=float("inf"))

    async def _repeat_all(self) -> None:
        call = caller_module.Call("/objednavky", "POST", body_bytes=10)
        for address in itertools.cycle(self._addresses):
            # Every other call has a plain key of the caller's own.
            await self._caller.repeat(call, REPEATS)
            with contextlib.suppress(*caller_module.FAILURES):
                with anyio.fail_after(STATUS_TIMEOUT_S):
                    key = await caller_module.issue_key(
                        address, call.method, call.path
                    )
                if key:
                    await self._caller.repeat(call._replace(key=key), REPEATS)
            await anyio.sleep(0.5)

    async def _upset_all(self) -> None:
        """Sends calls that read nothing or end inside their bodies."""
        modes = (caller_module.read_nothing, caller_module.send_half)
        for address, send in zip(
            itertools.cycle(self._addresses),
            itertools.cycle(modes),
            strict=False,
        ):
            with contextlib.suppress(OSError, anyio.BrokenResourceError):
                with anyio.move_on_after(2 * UPSET_HOLD_S):
                    await send(address, "/nahravky", UPSET_BYTES, UPSET_HOLD_S)

    async def _poll_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for name in self._fleet.workers:
                tasks.start_soon(self._poll, name)

    async def _poll(self, name: str) -> None:
        url = f"http://{self._fleet.ports[name].operators}/status"
        async with httpx.AsyncClient(timeout=STATUS_TIMEOUT_S) as client:
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    status = (await client.get(url)).json()
                    at_s = anyio.current_time() - self._started
                    self._versions.append(
                        invariants.SeenVersion(
                            at_s, name, status["version"], status["digest"]
                        )
                    )
                await anyio.sleep(POLL_PERIOD_S)

    async def _final(self, name: str) -> int:
        with contextlib.suppress(httpx.HTTPError):
            return (await self._fleet.status(name))["version"]
        return 0

    def _seen(
        self, results: list[caller_module.Result]
    ) -> tuple[invariants.SeenCall, ...]:
        return tuple(
            invariants.SeenCall(
                result.at_s - self._started,
                result.token,
                result.call.method != "POST",
                result.outcome,
                result.detail,
            )
            for result in results
        )

    async def _history(
        self, head: head_module.Head | None
    ) -> invariants.History:
        head_version = head.version if head else 0
        runs = collections.Counter(self._stops.runs)
        for name in self._fleet.workers:
            runs.update((await self._fleet.counters(name))["runs"])
        long_calls = self._seen(self._stops.results)
        calls = self._seen(self._caller.recorder.results)
        publishes = tuple(
            seen._replace(at_s=seen.at_s - self._started)
            for seen in self._operators.accepted
        )
        final = {name: await self._final(name) for name in self._fleet.workers}
        for name, version in final.items():
            if version != head_version:
                _print_errors(name, self._fleet.log_text(name))
        return invariants.History(
            tuple(self._versions),
            (*calls, *long_calls),
            publishes,
            runs,
            final,
            head_version,
            self._faults.died,
            self._operators.published(head),
            long_calls,
            tuple(self._stops.late),
            tuple(self._stops.failed),
        )


async def run_schedule(
    seed: int, faults: tuple[schedule.Fault, ...]
) -> invariants.History:
    """Runs a schedule in a new fleet and returns the history.

    Raises:
        TimeoutError: The run did not end in time.
    """
    async with fleet_module.fleet(relayed=True) as fleet:
        with anyio.fail_after(RUN_LIMIT_S):
            await fleet.start(*WORKERS)
            for service in SERVICES:
                await fleet.wait_serving(service, 2)
            return await Run(fleet, seed).run(faults)


def _print_errors(name: str, text: str) -> None:
    """Prints the last lines of a log that name an error."""
    lines = [line for line in text.splitlines() if "Error" in line]
    print(f"last errors in the log of {name}:")
    print("\n".join(lines[-SHOWN_LINES:]), flush=True)


def _count(calls: Iterable[invariants.SeenCall]) -> str:
    outcomes = collections.Counter(call.outcome for call in calls)
    return ", ".join(f"{n} {name}" for name, n in sorted(outcomes.items()))


def describe(history: invariants.History) -> str:
    """Returns one line about the size of a history."""
    return (
        f"{len(history.calls)} calls ({_count(history.calls)}), "
        f"{len(history.long_calls)} of them long ones beside stops "
        f"({_count(history.long_calls)}), "
        f"{len(history.publishes)} publishes, head {history.head}, "
        f"{len(history.versions)} observations of versions"
    )


class Judgement(NamedTuple):
    """What a run showed, in one line, and its violations."""

    summary: str
    violations: list[invariants.Violation]


# Runs a schedule and judges it.
Judge = Callable[[tuple[schedule.Fault, ...]], Awaitable[Judgement]]


def _print_failure(
    seed: int,
    faults: tuple[schedule.Fault, ...],
    violations: list[invariants.Violation],
) -> None:
    print(f"seed {seed} fails; shortest history found:")
    print("\n".join(f"  {fault}" for fault in faults) or "  no fault at all")
    for rule in sorted({violation.rule for violation in violations}):
        found = [one for one in violations if one.rule == rule]
        print(f"  {rule}: {len(found)} violations, the first ones:")
        for _, at_s, subject, text in found[:SHOWN_VIOLATIONS]:
            print(f"    at {at_s:.1f} s: {subject}: {text}")


async def run(options: argparse.Namespace) -> int:
    """Runs the schedule of a seed and returns the exit code."""
    seed = options.seed
    faults = schedule.generate(seed, options.slots, len(WORKERS), ZONES)

    async def judge(faults: tuple[schedule.Fault, ...]) -> Judgement:
        history = await run_schedule(seed, faults)
        return Judgement(describe(history), invariants.check(history))

    return await run_judged(options, faults, judge)


async def run_judged(
    options: argparse.Namespace,
    faults: tuple[schedule.Fault, ...],
    judge: Judge,
) -> int:
    """Runs a schedule and returns the exit code.

    0 means no violation, 1 violations, and 2 that a run did not come to its
    end, so that nothing was judged.
    """
    try:
        return await _run(options, faults, judge)
    except* (TimeoutError, httpx.HTTPError, errors.CodedError) as group:
        traceback.print_exception(group)
    print(f"seed {options.seed}: the run was not judged", flush=True)
    return EXIT_NOT_JUDGED


async def _run(
    options: argparse.Namespace,
    faults: tuple[schedule.Fault, ...],
    judge: Judge,
) -> int:
    seed = options.seed
    for fault in faults:
        print(fault, flush=True)
    summary, violations = await judge(faults)
    print(summary, flush=True)
    if not violations:
        print(f"seed {seed}: no violation")
        return EXIT_OK
    rules = {violation.rule for violation in violations}
    end_s = anyio.current_time() + options.shorten_s

    async def fails(shorter: tuple[schedule.Fault, ...]) -> bool:
        nonlocal violations
        try:
            found = (await judge(shorter)).violations
        except* (TimeoutError, httpx.HTTPError, errors.CodedError):
            # Such a run shows nothing of the violations that are looked for.
            found = []
        if rules.isdisjoint(violation.rule for violation in found):
            return False
        violations = found
        return True

    faults = await schedule.shorten(
        faults, fails, lambda: anyio.current_time() < end_s
    )
    _print_failure(seed, faults, violations)
    return EXIT_VIOLATIONS


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slots", type=int, default=SLOTS)
    parser.add_argument(
        "--shorten-s",
        type=float,
        default=SHORTEN_S,
        help="time in which new runs may begin to shorten a failing schedule",
    )
    return parser.parse_args(arguments)


def main() -> None:
    """Runs the command line."""
    options = parse_arguments()
    sys.exit(anyio.run(run, options, backend_options={"use_uvloop": True}))


if __name__ == "__main__":
    main()
