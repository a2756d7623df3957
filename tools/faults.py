"""Starts and heals the faults of a schedule in a fleet."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import signal

import anyio

from tools import fleet as fleet_module
from tools import operators as operators_module
from tools import schedule
from tools import stopping

DELAY_S = 0.2
PLATFORM_DELAY_S = 1.5
SLOW_FACTOR = 20.0


Action = Callable[[], Awaitable[None]]


async def _nothing() -> None:
    pass


class Faults:
    """Actions that start and heal each kind of fault."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        operators: operators_module.Operators,
        stops: stopping.Stops,
    ) -> None:
        """Creates the actions for a fleet that runs through the relay."""
        self._fleet = fleet
        self._operators = operators
        self._stops = stops
        self._died: set[str] = set()

    async def run(self, fault: schedule.Fault) -> None:
        """Starts a fault, waits its length and heals it."""
        start, heal = self._actions(fault)
        await start()
        try:
            await anyio.sleep(fault.length_s)
        finally:
            with anyio.CancelScope(shield=True):
                await heal()

    def _actions(self, fault: schedule.Fault) -> tuple[Action, Action]:
        if fault.kind in schedule.DAEMON_KINDS:
            return self._daemon_actions(fault)
        if fault.kind in schedule.ZONE_KINDS:
            return self._zone_actions(fault)
        if fault.kind in schedule.PLATFORM_KINDS:
            return self._platform_actions(fault)
        if fault.kind == "operators_race":
            return self._operators.race, _nothing
        if fault.kind == "bad_edition":
            return self._operators.force_bad, self._operators.repair
        if fault.kind == "zone_kill":
            return self._zone_kill(fault.target)
        if fault.kind in schedule.STOP_KINDS:
            return self._stop_actions(fault)
        return self._upstream_actions(fault)

    @property
    def died(self) -> tuple[str, ...]:
        """Daemons that ended without being killed."""
        return tuple(sorted(self._died | self._find_died()))

    def _find_died(self) -> set[str]:
        processes = self._fleet.processes
        return {
            name
            for name in self._fleet.workers
            if name in processes and processes[name].returncode is not None
        }

    async def _kill(self, name: str) -> None:
        self._died |= self._find_died()
        await self._fleet.kill(name)

    def _signal(self, name: str, number: signal.Signals) -> None:
        # A daemon that has ended is reported at the end of the run.
        with contextlib.suppress(ProcessLookupError):
            self._fleet.signal(name, number)

    def _name(self, fault: schedule.Fault) -> str:
        return list(self._fleet.workers)[fault.target]

    def _daemon_actions(self, fault: schedule.Fault) -> tuple[Action, Action]:
        name = self._name(fault)
        if fault.kind == "kill":
            return (
                lambda: self._kill(name),
                lambda: self._fleet.start_daemon(name),
            )

        async def stop() -> None:
            self._signal(name, signal.SIGSTOP)

        async def resume() -> None:
            self._signal(name, signal.SIGCONT)

        return stop, resume

    def _zone_kill(self, zone: int) -> tuple[Action, Action]:
        workers = self._fleet.workers
        names = [name for name in workers if workers[name].zone == zone]

        async def kill() -> None:
            for name in names:
                await self._kill(name)

        async def start() -> None:
            for name in names:
                await self._fleet.start_daemon(name)

        return kill, start

    def _stop_actions(self, fault: schedule.Fault) -> tuple[Action, Action]:
        name = self._name(fault)
        if fault.kind == "stop_gracefully":
            return (
                lambda: self._stops.stop_daemon(name),
                lambda: self._fleet.start_daemon(name),
            )
        return (
            lambda: self._stops.drain_upstream(name),
            lambda: self._stops.restart_upstream(name),
        )

    def _zone_actions(self, fault: schedule.Fault) -> tuple[Action, Action]:
        one, other = fault.target, fault.other
        if fault.kind == "delay":
            return (
                lambda: self._fleet.set_fault(one, other, "pass", DELAY_S),
                lambda: self._fleet.set_fault(one, other, "pass"),
            )
        return (
            lambda: self._fleet.set_mutual_fault(one, other, fault.kind),
            lambda: self._fleet.set_mutual_fault(one, other, "pass"),
        )

    def _platform_actions(self, fault: schedule.Fault) -> tuple[Action, Action]:
        url = self._fleet.platform_url
        if fault.kind == "platform_cut":
            place = (fault.target, fleet_module.PLATFORM_ZONE)
            return (
                lambda: self._fleet.set_fault(*place, "cut"),
                lambda: self._fleet.set_fault(*place, "pass"),
            )
        broken, sound = {
            "platform_down": ({"down": True}, {"down": False}),
            "platform_slow": ({"delay_s": PLATFORM_DELAY_S}, {"delay_s": 0}),
            "platform_lose_replies": ({"lose_replies": 3}, {"lose_replies": 0}),
        }[fault.kind]

        async def start() -> None:
            await self._fleet.control(url, **broken)
            await self._operators.publish()

        return start, lambda: self._fleet.control(url, **sound)

    def _upstream_actions(self, fault: schedule.Fault) -> tuple[Action, Action]:
        name = self._name(fault)
        broken, sound = {
            "upstream_slow": (
                {"slow_factor": SLOW_FACTOR},
                {"slow_factor": 1.0},
            ),
            "upstream_drop_answers": ({"drop_answers": 5}, {"drop_answers": 0}),
        }[fault.kind]
        return (
            lambda: self._fleet.control_upstream(name, **broken),
            lambda: self._fleet.control_upstream(name, **sound),
        )
