"""Runs the daemon of the deploy file as processes under seeded faults.

Series of faults overlap while callers use each connection until it is closed.
Each run ends with a stop of all daemons at the same time.
What callers, upstreams and processes showed is judged by ``tools.soakchecks``.
A failing schedule is shortened within a bound of time and printed with the
seed.
"""

import argparse
import collections
import contextlib
import functools
import pathlib
import shutil
import signal
import sys

import anyio
import anyio.abc

from standins import relay as relay_module
from tools import chaos
from tools import platformfleet
from tools import schedule
from tools import soakcallers
from tools import soakchecks
from tools import soakconfig
from tools import soakfaults
from tools import soakstrangers

MACHINES = 4
ZONES = 2
CALLERS_PER_MACHINE = 6
STRANGERS_PER_MACHINE = 2
SLOTS = 40
SLOT_S = 1.0
HEAL_S = 20.0
# Time that all daemons together may need to start, for each of them.
START_PER_MACHINE_S = 0.3
# Time in which requests that are still under way reach an upstream.
LATE_RUNS_S = 1.0
# Time that a run may take beyond that of its slots.
BEYOND_SLOTS_S = 150.0
TARGETS = ("/track/", "/order/", "/upload/", soakcallers.LARGE_PREFIX)
# Rate of the network link of each instance; large answers wait for it.
LINK_MBPS = 20.0


def _place(host: str) -> int:
    """Returns the number of the machine with an address, from 1."""
    return int(host.rpartition(".")[2])


class Run:
    """One run of a schedule in an empty fleet."""

    def __init__(
        self,
        fleet: platformfleet.Fleet,
        options: argparse.Namespace,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates a run; the task group ends with it."""
        self._fleet = fleet
        self._options = options
        self._tasks = tasks
        self._relay = relay_module.Relay(tasks, _place)
        self._daemons = soakfaults.Daemons(fleet, tasks)
        self._record = soakcallers.Record(options.seed)
        self._started_s = anyio.current_time()

    async def run(
        self, faults: tuple[schedule.Fault, ...]
    ) -> soakchecks.Observed:
        """Runs all faults and returns what was seen."""
        for number in range(self._options.machines):
            await self._add(number)
        actions = soakfaults.Faults(
            self._fleet, self._daemons, self._relay, self._tasks
        )
        actions.publish()
        # All start at once, which takes as long as the computer needs.
        async with self._daemons.disturbed("", excuses=False):
            for name in self._fleet.machines:
                self._daemons.start(name)
            unserved = await self._wait_served()
        if not unserved:
            async with anyio.create_task_group() as callers:
                self._start_callers(callers)
                async with anyio.create_task_group() as acting:
                    for fault in faults:
                        acting.start_soon(self._act, actions, fault)
                unserved = await self._wait_served()
                await self._stop_all()
                await anyio.sleep(LATE_RUNS_S)
                callers.cancel_scope.cancel()
        return self._observed(unserved)

    async def _add(self, number: int) -> None:
        """Adds a machine whose connections take the relay."""
        service = soakconfig.SERVICES[number % len(soakconfig.SERVICES)]
        name = f"m{number + 1}"
        zone = f"zone-{number // len(soakconfig.SERVICES) % ZONES + 1}"
        machine = await self._fleet.add(name, service, zone)
        place = _place(machine.host)
        machine.upstream.behaviour = self._record.behaviour(machine)
        machine.settings["instance"]["link_mbps"] = LINK_MBPS
        machine.settings["listen"]["advertise"] = await self._route(
            machine, machine.address("mesh"), place, None
        )
        store = self._fleet.store.address
        self._daemons.store_urls[name] = [
            "http://"
            + await self._route(
                machine, store, soakfaults.PLACE_OF_STORE, place
            )
            for _ in range(2)
        ]
        machine.settings["platform"]["url"] = self._daemons.store_urls[name][0]

    async def _route(
        self,
        machine: platformfleet.Machine,
        target: str,
        destination: int,
        source: int | None,
    ) -> str:
        listen = f"{machine.host}:{platformfleet.free_port(machine.host)}"
        await self._relay.add(
            relay_module.Route(listen, target, destination, source)
        )
        return listen

    def _start_callers(self, callers: anyio.abc.TaskGroup) -> None:
        count = CALLERS_PER_MACHINE * len(self._fleet.machines)
        for machine in self._fleet.machines.values():
            for number in range(CALLERS_PER_MACHINE):
                name = f"{self._options.seed}-{machine.name}-{number}"
                caller = soakcallers.Caller(
                    machine, name, count / soakcallers.RATE, self._record
                )
                callers.start_soon(caller.run)
            for number in range(self._options.strangers):
                seed = f"{self._options.seed}-{machine.name}-stranger-{number}"
                callers.start_soon(soakstrangers.run, machine, seed)

    async def _act(
        self, actions: soakfaults.Faults, fault: schedule.Fault
    ) -> None:
        await anyio.sleep(fault.slot * SLOT_S)
        await actions.run(fault)

    async def _wait_served(self) -> tuple[tuple[str, str], ...]:
        """Returns the instances and targets that are not served in time."""
        unserved = {
            (name, target)
            for name in self._fleet.machines
            for target in TARGETS
        }

        async def wait(name: str, target: str) -> None:
            while (name, target) in unserved:
                with contextlib.suppress(TimeoutError):
                    key = soakconfig.key(soakconfig.CHOIR)
                    await self._fleet.wait_served(
                        name, target, authorization=key
                    )
                    unserved.discard((name, target))

        start_s = START_PER_MACHINE_S * len(self._fleet.machines)
        with anyio.move_on_after(HEAL_S + start_s):
            async with anyio.create_task_group() as tasks:
                for name, target in sorted(unserved):
                    tasks.start_soon(wait, name, target)
        return tuple(sorted(unserved))

    async def _stop_all(self) -> None:
        """Stops all daemons at the same time and waits for their ends."""
        self._daemons.is_closing = True
        processes = self._daemons.processes
        for process in processes:
            await process.signal(signal.SIGTERM)
        while any(process.ended_s is None for process in processes):
            await anyio.sleep(soakfaults.POLL_PERIOD_S)

    def _observed(
        self, unserved: tuple[tuple[str, str], ...]
    ) -> soakchecks.Observed:
        """Returns what was seen, with times since the start of the run."""
        return soakchecks.Observed(
            tuple(self._record.calls),
            self._record.runs,
            tuple(self._daemons.windows),
            tuple(process.seen() for process in self._daemons.processes),
            unserved,
            self._started_s,
            tuple(self._record.quota_runs),
            tuple(self._record.foreign),
        )


async def run_schedule(
    options: argparse.Namespace, faults: tuple[schedule.Fault, ...]
) -> soakchecks.Observed:
    """Runs a schedule in a new fleet and returns what was seen.

    Raises:
        TimeoutError: The run did not end in time.
    """
    async with platformfleet.running() as fleet:
        with anyio.fail_after(options.slots * SLOT_S + BEYOND_SLOTS_S):
            async with anyio.create_task_group() as tasks:
                observed = await Run(fleet, options, tasks).run(faults)
                tasks.cancel_scope.cancel()
        if options.logs is not None:
            _keep(fleet, observed, options.logs / f"seed-{options.seed}")
    return observed


def _keep(
    fleet: platformfleet.Fleet,
    observed: soakchecks.Observed,
    folder: pathlib.Path,
) -> None:
    """Keeps the logs of all daemons and the list of all violations."""
    folder.mkdir(parents=True, exist_ok=True)
    for machine in fleet.machines.values():
        shutil.copy(machine.log_path, folder)
    lines = [
        f"{found.rule} at {found.at_s:.3f} s: {found.subject}: {found.text}\n"
        for found in soakchecks.check(observed)
    ]
    (folder / "violations.txt").write_text("".join(lines))


def describe(observed: soakchecks.Observed) -> str:
    """Returns one line about the size of a run."""
    outcomes = collections.Counter(kept.call.outcome for kept in observed.calls)
    counts = ", ".join(f"{n} {name}" for name, n in sorted(outcomes.items()))
    return (
        f"{len(observed.calls)} requests ({counts}), "
        f"{len(observed.processes)} daemon processes, "
        f"{len(observed.windows)} times that excuse requests, "
        "a stop of all daemons at the end"
    )


async def judge(
    options: argparse.Namespace, faults: tuple[schedule.Fault, ...]
) -> chaos.Judgement:
    """Runs and judges a schedule."""
    observed = await run_schedule(options, faults)
    return chaos.Judgement(describe(observed), soakchecks.check(observed))


async def run(options: argparse.Namespace) -> int:
    """Runs the schedule of a seed; returns the exit code of the chaos run."""
    kinds = soakfaults.MILD_KINDS if options.mild else soakfaults.KINDS
    faults = schedule.generate_series(
        options.seed, options.slots, options.machines, kinds
    )
    return await chaos.run_judged(
        options, faults, functools.partial(judge, options)
    )


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--slots", type=int, default=SLOTS, help="length of the faults, in s"
    )
    parser.add_argument("--machines", type=int, default=MACHINES)
    parser.add_argument(
        "--strangers",
        type=int,
        default=STRANGERS_PER_MACHINE,
        help="callers of each machine that break their connections",
    )
    parser.add_argument(
        "--mild",
        action="store_true",
        help="only faults that excuse no request without an answer",
    )
    parser.add_argument(
        "--shorten-s",
        type=float,
        default=chaos.SHORTEN_S,
        help="time in which new runs may begin to shorten a failing schedule",
    )
    parser.add_argument(
        "--logs",
        type=pathlib.Path,
        help="folder that gets logs and violations of the seed's last run",
    )
    return parser.parse_args(arguments)


def main() -> None:
    """Runs the command line."""
    sys.exit(anyio.run(run, parse_arguments()))


if __name__ == "__main__":
    main()
