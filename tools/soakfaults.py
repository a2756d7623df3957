"""Daemons of a soak that are restarted when they end, and their faults."""

import collections
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import os
import pathlib
import signal
import subprocess

import anyio
import anyio.abc

from standins import relay as relay_module
from tools import platformfleet
from tools import schedule
from tools import soakchecks
from tools import soakconfig
from tools import soakstore

DAEMON_KINDS = (
    "stop",
    "stop_overlapped",
    "stop_reload",
    "reload",
    "kill",
    "pause",
    "user_signal",
    "log_reader_gone",
)
# Modes of the relay between two daemons or a daemon and the store.
LINK_KINDS = ("delay", "cut", "one_way", "black_hole", "freeze_open")
UPSTREAM_KINDS = ("upstream_restart", "upstream_drain")
# The order decides which faults a seed gives.
KINDS = (
    *DAEMON_KINDS,
    *LINK_KINDS,
    *soakstore.KINDS,
    *UPSTREAM_KINDS,
    "publish",
)
# Kinds that excuse no request that ends without an answer.
MILD_KINDS = tuple(
    kind for kind in KINDS if kind not in ("kill", "pause", *LINK_KINDS)
)

PLACE_OF_STORE = relay_module.PLATFORM_ZONE
# Processor time by which Python has run the first line of a daemon.
FIRST_LINE_CPU_S = 0.1
NANOSECONDS_PER_S = 1_000_000_000
RESTART_S = 0.2
POLL_PERIOD_S = 0.02
# Time for which a pause or a fault of a link shows after its end.
SETTLE_S = 1.0
DELAY_S = 0.2
# Time from the draining heartbeat to the end of an upstream.
DRAIN_S = 3.5


class Process:
    """A daemon process of a machine.

    Attributes:
        machine: The machine.
        handle: The process.
        reader: Scope of the task that reads its output.
        was_killed: Whether a fault killed it.
        stopped_s: Time of SIGTERM, moved by pauses; None if there was none.
        ended_s: Time of the end; None while it runs.
        unready_s: Time without a disturbance in which it was not ready yet.
        pauses: Number of pauses that hold it now.
    """

    def __init__(
        self, machine: platformfleet.Machine, handle: subprocess.Popen[bytes]
    ) -> None:
        """Creates the record of a process that was just started."""
        self.machine = machine
        self.handle = handle
        self.reader = anyio.CancelScope()
        self.was_killed = False
        self.stopped_s: float | None = None
        self.ended_s: float | None = None
        self.unready_s = 0.0
        self.pauses = 0
        self._paused_s = 0.0

    @property
    def is_overdue(self) -> bool:
        """Whether it still runs after the grace period of its stop."""
        if self.stopped_s is None or self.pauses:
            return False
        return anyio.current_time() - self.stopped_s > soakchecks.GRACE_S

    async def signal(self, number: signal.Signals) -> None:
        """Sends a signal, but not before a new process can handle it."""
        while self.handle.poll() is None and self._cpu_s() < FIRST_LINE_CPU_S:
            await anyio.sleep(POLL_PERIOD_S)
        is_running = self.handle.poll() is None
        if number is signal.SIGTERM and is_running and self.stopped_s is None:
            self.stopped_s = anyio.current_time()
        self.handle.send_signal(number)

    def _cpu_s(self) -> float:
        """Returns the processor time that the process has used."""
        text = pathlib.Path(f"/proc/{self.handle.pid}/schedstat").read_text()
        return int(text.split()[0]) / NANOSECONDS_PER_S

    def kill(self) -> None:
        """Kills the process as a fault."""
        self.was_killed = self.handle.poll() is None
        self.handle.kill()

    async def pause(self, length_s: float) -> None:
        """Stops the process for a time; pauses may overlap."""
        if not self.pauses:
            self._paused_s = anyio.current_time()
        self.pauses += 1
        self.handle.send_signal(signal.SIGSTOP)
        try:
            await anyio.sleep(length_s)
        finally:
            self.pauses -= 1
            if not self.pauses:
                self._resume()

    def _resume(self) -> None:
        """Continues the process; a pause does not count for a stop."""
        self.handle.send_signal(signal.SIGCONT)
        now_s = anyio.current_time()
        if self.stopped_s is not None:
            self.stopped_s += now_s - max(self._paused_s, self.stopped_s)

    def seen(self) -> soakchecks.SeenProcess:
        """Returns what the process showed."""
        stop_s = None
        if self.stopped_s is not None and self.ended_s is not None:
            stop_s = self.ended_s - self.stopped_s
        return soakchecks.SeenProcess(
            self.machine.name,
            self.ended_s or anyio.current_time(),
            self.handle.poll(),
            self.was_killed,
            stop_s,
            self.unready_s,
        )


async def _copy_output(reader: int, process: Process) -> None:
    """Appends the output of a daemon to the log of its machine."""
    os.set_blocking(reader, False)
    try:
        with process.reader, process.machine.log_path.open("ab") as log:
            while True:
                await anyio.wait_readable(reader)
                with contextlib.suppress(BlockingIOError):
                    if not (data := os.read(reader, 65_536)):
                        return
                    log.write(data)
                    log.flush()
    finally:
        os.close(reader)


class Daemons:
    """Starts a daemon on each machine again when it has ended.

    Attributes:
        processes: All processes in the order of their start.
        windows: Times in which faults excused requests.
        is_closing: Whether daemons that end are not started again.
        store_urls: URLs at which each instance reaches the store.
    """

    def __init__(
        self, fleet: platformfleet.Fleet, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Creates the daemons of a fleet without processes."""
        self.processes: list[Process] = []
        self.windows: list[soakchecks.Window] = []
        self.is_closing = False
        self.store_urls: dict[str, list[str]] = {}
        self._fleet = fleet
        self._tasks = tasks
        self._newest: dict[str, Process] = {}
        self._disturbances: collections.Counter[str] = collections.Counter()

    def newest(self, name: str) -> Process:
        """Returns the process of a machine that was started last."""
        return self._newest[name]

    def start(self, name: str) -> None:
        """Starts a daemon; the one before it may still run."""
        reader, writer = os.pipe()
        handle = self._fleet.start(name, stdout=writer)
        os.close(writer)
        process = Process(self._fleet.machines[name], handle)
        earlier = [one for one in self.processes if one.machine.name == name]
        self._newest[name] = process
        self.processes.append(process)
        self._tasks.start_soon(_copy_output, reader, process)
        self._tasks.start_soon(self._watch, process)
        self._tasks.start_soon(self._watch_start, process, earlier)

    async def _watch(self, process: Process) -> None:
        """Waits for the end; kills a daemon that exceeds its grace period."""
        while process.handle.poll() is None:
            if process.is_overdue:
                process.handle.kill()
            await anyio.sleep(POLL_PERIOD_S)
        process.ended_s = anyio.current_time()
        await anyio.sleep(RESTART_S)
        name = process.machine.name
        if self._newest[name] is process and not self.is_closing:
            self.start(name)

    async def _watch_start(
        self, process: Process, earlier: list[Process]
    ) -> None:
        """Measures how long a daemon needs until it is ready."""
        while any(one.ended_s is None for one in earlier):
            await anyio.sleep(POLL_PERIOD_S)
        name = process.machine.name
        while process.ended_s is None and process.stopped_s is None:
            begin_s = anyio.current_time()
            if await self._fleet.is_ready(name):
                return
            await anyio.sleep(POLL_PERIOD_S)
            if not self._disturbances[name] and not self._disturbances[""]:
                process.unready_s += anyio.current_time() - begin_s

    @contextlib.asynccontextmanager
    async def disturbed(
        self, *names: str, excuses: bool = True
    ) -> AsyncIterator[None]:
        """Marks a fault at instances, or at the store if the name is empty.

        Args:
            *names: Names of instances.
            excuses: Whether it excuses requests that end without an answer.
        """
        begin_s = anyio.current_time()
        self._disturbances.update(names)
        try:
            yield
            end_s = anyio.current_time() + SETTLE_S
            if excuses:
                self.windows += [
                    soakchecks.Window(name, begin_s, end_s) for name in names
                ]
            await anyio.sleep(SETTLE_S)
        finally:
            self._disturbances.subtract(names)


Action = Callable[[schedule.Fault], Awaitable[None]]


class Faults:
    """Runs the faults of a schedule."""

    def __init__(
        self,
        fleet: platformfleet.Fleet,
        daemons: Daemons,
        relay: relay_module.Relay,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the faults of a fleet whose traffic takes the relay."""
        self._fleet = fleet
        self._daemons = daemons
        self._relay = relay
        self._tasks = tasks
        self._names = list(fleet.machines)
        self._version = 0
        # Machines whose upstreams are down or drain.
        self._busy: set[str] = set()
        store = soakstore.StoreFaults(
            fleet, functools.partial(daemons.disturbed, "", excuses=False)
        )
        self._actions: dict[str, Action] = {
            "stop": self._stop,
            "stop_overlapped": self._stop_overlapped,
            "stop_reload": self._stop_reload,
            "reload": self._reload,
            "kill": self._kill,
            "pause": self._pause,
            "user_signal": self._user_signal,
            "log_reader_gone": self._log_reader_gone,
            **dict.fromkeys(LINK_KINDS, self._link),
            **dict.fromkeys(soakstore.KINDS, store.run),
            "upstream_restart": self._restart_upstream,
            "upstream_drain": self._drain_upstream,
            "publish": self._publish,
        }

    async def run(self, fault: schedule.Fault) -> None:
        """Starts a fault and returns when it is over."""
        await self._actions[fault.kind](fault)

    def publish(self) -> None:
        """Writes a configuration to the store."""
        self._version += 1
        self._fleet.publish(
            soakconfig.paths(self._version),
            soakconfig.SERVICES,
            soakconfig.TENANTS,
        )

    def _process(self, fault: schedule.Fault) -> Process:
        return self._daemons.newest(self._names[fault.target])

    async def _stop(self, fault: schedule.Fault) -> None:
        await self._process(fault).signal(signal.SIGTERM)

    async def _stop_overlapped(self, fault: schedule.Fault) -> None:
        """Starts the next daemon while the one before it still drains."""
        process = self._process(fault)
        await process.signal(signal.SIGTERM)
        await anyio.sleep(fault.length_s)
        if process is self._process(fault) and process.ended_s is None:
            self._daemons.start(process.machine.name)

    async def _stop_reload(self, fault: schedule.Fault) -> None:
        """Sends SIGHUP during the start that follows a stop."""
        process = self._process(fault)
        await process.signal(signal.SIGTERM)
        while self._process(fault) is process:
            await anyio.sleep(POLL_PERIOD_S)
        await anyio.sleep(fault.length_s / 4)
        await self._process(fault).signal(signal.SIGHUP)

    async def _reload(self, fault: schedule.Fault) -> None:
        """Changes the address of the store in the settings."""
        process = self._process(fault)
        platform = process.machine.settings["platform"]
        name = process.machine.name
        urls = self._daemons.store_urls[name]
        platform["url"] = urls[urls.index(platform["url"]) - 1]
        process.machine.write_settings()
        await process.signal(signal.SIGHUP)

    async def _kill(self, fault: schedule.Fault) -> None:
        async with self._daemons.disturbed(self._names[fault.target]):
            self._process(fault).kill()

    async def _pause(self, fault: schedule.Fault) -> None:
        async with self._daemons.disturbed(self._names[fault.target]):
            await self._process(fault).pause(fault.length_s)

    async def _user_signal(self, fault: schedule.Fault) -> None:
        await self._process(fault).signal(signal.SIGUSR1)

    async def _log_reader_gone(self, fault: schedule.Fault) -> None:
        self._process(fault).reader.cancel()

    async def _link(self, fault: schedule.Fault) -> None:
        """Harms connections between two daemons, or to the store."""
        here, there = fault.target + 1, fault.other
        is_delay = fault.kind == "delay"
        mode = relay_module.Mode("pass" if is_delay else fault.kind)
        pairs = [self._relay.pair(here, there)]
        names = [self._names[fault.target]]
        if there != PLACE_OF_STORE:
            names.append(self._names[there - 1])
            if mode is not relay_module.Mode.ONE_WAY:
                pairs.append(self._relay.pair(there, here))
        excuses = there != PLACE_OF_STORE
        async with self._daemons.disturbed(*names, excuses=excuses):
            for pair in pairs:
                pair.set_fault(mode, DELAY_S if is_delay else 0.0)
            await anyio.sleep(fault.length_s)
            for pair in pairs:
                pair.set_fault(relay_module.Mode.PASS, 0.0)

    async def _restart_upstream(self, fault: schedule.Fault) -> None:
        """Ends an upstream without a notice and starts it again."""
        async with self._exclusive(fault) as machine:
            if machine is not None:
                await self._replace_upstream(machine, fault.length_s)

    async def _drain_upstream(self, fault: schedule.Fault) -> None:
        """Lets an upstream drain and leave before it starts again."""
        async with self._exclusive(fault) as machine:
            if machine is None:
                return
            machine.state = "draining"
            await anyio.sleep(DRAIN_S)
            body = {"born": machine.heartbeat()["born"]}
            await self._fleet.announce(machine, "deregister", body)
            await self._replace_upstream(machine, fault.length_s)

    @contextlib.asynccontextmanager
    async def _exclusive(
        self, fault: schedule.Fault
    ) -> AsyncIterator[platformfleet.Machine | None]:
        """Yields a machine; None while another fault has its upstream."""
        name = self._names[fault.target]
        if name in self._busy:
            yield None
            return
        self._busy.add(name)
        try:
            yield self._fleet.machines[name]
        finally:
            self._busy.discard(name)

    async def _replace_upstream(
        self, machine: platformfleet.Machine, length_s: float
    ) -> None:
        machine.sends_heartbeats = False
        machine.upstream.stop()
        await anyio.sleep(length_s)
        machine.boot += 1
        machine.state = "ready"
        await machine.upstream.start(self._tasks)
        machine.sends_heartbeats = True

    async def _publish(self, _fault: schedule.Fault) -> None:
        self.publish()
