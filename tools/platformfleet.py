"""Runs the daemon of the deploy file as real processes, beside stand-ins.

The daemons run with the command and the libraries of the deploy build. Store
and upstreams are stand-ins in the process of the test or tool.
"""

from collections.abc import AsyncIterator
import contextlib
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
from typing import Any

import anyio
import anyio.abc
import httpx

from standins import appworker
from standins import configurations
from standins import objectstore
from tools import fleet as fleet_module

ROOT = fleet_module.ROOT
LIBRARIES = ROOT / "target" / "deps"
COMMAND = ("python3", "-m", "rattangauge_platform.daemon")
# Variables that the platform leaves to a process.
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
# Ports below those that the system assigns to outgoing connections.
FIRST_PORT = 10_000
HEARTBEAT_PERIOD_S = 0.5
START_TIMEOUT_S = 20.0
POLL_PERIOD_S = 0.01
# Start of the first upstream of a machine, in milliseconds since 1970.
FIRST_BOOT_MS = 1000

_ports = itertools.count(FIRST_PORT)


def free_port(host: str) -> int:
    """Returns a port of a loopback address that nothing uses."""
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port
    raise AssertionError("no port is free")


class Machine:
    """One machine: a daemon process and its upstream.

    Attributes:
        name: Name of the instance.
        service: Service of the upstream.
        host: Loopback address of the machine.
        ports: Ports of the daemon by purpose.
        settings: Settings of the daemon by section and key.
        libraries: Folders in which the daemon finds its modules.
        upstream: Stand-in of the upstream.
        process: The newest daemon process; None before the first start.
        state: State that the upstream announces.
        boot: Number of the start of the upstream.
    """

    def __init__(
        self, name: str, service: str, host: str, folder: pathlib.Path
    ) -> None:
        """Creates a machine without a process.

        Args:
            name: Name of the instance.
            service: Service of the upstream.
            host: Loopback address of the machine.
            folder: Folder of the settings and logs.
        """
        self.name = name
        self.service = service
        self.host = host
        purposes = ("callers", "mesh", "operators", "ready", "control")
        self.ports = {purpose: free_port(host) for purpose in purposes}
        self.settings: dict[str, dict[str, Any]] = {}
        self.libraries = [LIBRARIES]
        self.upstream = appworker.AppWorker()
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.sends_heartbeats = True
        self.state = "ready"
        self.boot = 0
        self._folder = folder
        self._sequence = 0

    @property
    def settings_path(self) -> pathlib.Path:
        """Path of the settings file."""
        return self._folder / f"{self.name}.toml"

    @property
    def log_path(self) -> pathlib.Path:
        """File that gets the standard output and error of the daemon."""
        return self._folder / f"{self.name}.log"

    @property
    def upstream_id(self) -> str:
        """Id of the upstream; each start of an upstream has its own."""
        return f"i-{self.name}" + (f"-{self.boot}" if self.boot else "")

    @property
    def is_running(self) -> bool:
        """Whether the newest daemon process has not ended."""
        return self.process is not None and self.process.poll() is None

    def address(self, purpose: str) -> str:
        """Returns the address of the daemon for a purpose."""
        return f"{self.host}:{self.ports[purpose]}"

    def write_settings(self) -> None:
        """Writes the settings file."""
        text = fleet_module.format_settings(self.settings)
        # A daemon may read the settings at any moment.
        whole = self.settings_path.with_suffix(".new")
        whole.write_text(text)
        whole.replace(self.settings_path)

    def start(self, **options: Any) -> subprocess.Popen[bytes]:
        """Starts a daemon; options are those of ``subprocess.Popen``."""
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        environment["PYTHONPATH"] = os.pathsep.join(map(str, self.libraries))
        environment["RATTANGAUGE_SETTINGS"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            outputs = {"stdin": subprocess.DEVNULL, "stdout": log}
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                **{**outputs, "stderr": log, **options},
            )
        self.started_at = time.monotonic()
        return self.process

    def log_text(self) -> str:
        """Returns what the daemons of this machine have written."""
        return self.log_path.read_text(errors="replace")

    async def ended(self, limit_s: float) -> int | None:
        """Waits for the end of the daemon.

        Returns:
            Its exit code, negative for a signal; None if it still runs after
            ``limit_s`` seconds.
        """
        assert self.process is not None
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await anyio.sleep(POLL_PERIOD_S)
        return self.process.poll()

    async def stop(self, limit_s: float = 15.0) -> int | None:
        """Stops the daemon by SIGTERM; returns its exit code (``ended``)."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return await self.ended(limit_s)

    def heartbeat(self) -> dict[str, Any]:
        """Returns the body of the next heartbeat of the upstream."""
        self._sequence += 1
        return {
            "address": self.upstream.address,
            "born": FIRST_BOOT_MS + self.boot,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.settings["instance"]["zone"],
                "slots": 18,
            },
            "status": {
                "state": self.state,
                "seq": self._sequence,
                "cold-left-s": 0,
            },
        }


class Fleet:
    """A store and machines.

    Attributes:
        store: Stand-in of the store.
        machines: Machines by name.
    """

    def __init__(
        self, folder: pathlib.Path, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Creates an empty fleet; the task group runs its stand-ins."""
        self.store = objectstore.ObjectStore()
        self.machines: dict[str, Machine] = {}
        self._folder = folder
        self._tasks = tasks
        self._started: list[subprocess.Popen[bytes]] = []
        self._version = 0
        self._configuration: dict[str, Any] = {}
        self._client = httpx.AsyncClient(verify=False, timeout=1.0)
        number = os.getpid()
        self._network = f"127.{128 + number % 64}.{number // 64 % 250}"

    def publish(
        self,
        paths: list[dict[str, Any]],
        services: tuple[str, ...],
        tenants: tuple[dict[str, Any], ...] = (),
    ) -> None:
        """Writes the next version of the configuration to the store."""
        self._version += 1
        spec = configurations.configuration(self._version, paths, services)
        if tenants:
            spec["tenants"] = list(tenants)
        self._configuration = spec
        self.publish_again()

    def publish_again(self) -> None:
        """Writes the newest version, which the store may have lost."""
        self.store.put("config", "main", self._configuration)

    async def add(
        self, name: str, service: str, zone: str = "zone-1"
    ) -> Machine:
        """Adds a machine and starts its upstream, but not its daemon."""
        host = f"{self._network}.{len(self.machines) + 1}"
        machine = Machine(name, service, host, self._folder)
        machine.upstream.address = f"{host}:{free_port(host)}"
        await machine.upstream.start(self._tasks)
        listen = {
            purpose: machine.address(purpose) for purpose in machine.ports
        }
        machine.settings = {
            "instance": {
                "name": name,
                "zone": zone,
                "region": "sk-west",
                "service": service,
                "upstream": machine.upstream.address,
                "link_mbps": 1000.0,
            },
            "listen": listen,
            "mesh": {"connect_timeout_s": 0.25, "silence_s": 1.0},
            "platform": {
                "url": f"http://{self.store.address}",
                "timeout_s": 1.0,
                "stable_s": 3.0,
            },
            "shutdown": {"limit_s": 6.0},
            "log": {"json": True},
        }
        self.machines[name] = machine
        self._tasks.start_soon(self._send_heartbeats, machine)
        return machine

    def start(self, name: str, **options: Any) -> subprocess.Popen[bytes]:
        """Starts the daemon of a machine; see ``Machine.start``."""
        process = self.machines[name].start(**options)
        self._started.append(process)
        return process

    async def is_ready(self, name: str) -> bool:
        """Asks the daemon of a machine whether it is ready."""
        url = f"http://{self.machines[name].address('ready')}/readiness"
        try:
            return (await self._client.get(url)).status_code == 200
        except httpx.HTTPError:
            return False

    async def wait_ready(self, *names: str) -> None:
        """Waits until the daemons of machines, by default of all, are ready.

        Raises:
            TimeoutError: They are not ready in time.
        """
        with anyio.fail_after(START_TIMEOUT_S):
            for name in names or tuple(self.machines):
                while not await self.is_ready(name):
                    await anyio.sleep(POLL_PERIOD_S)

    async def request(self, name: str, target: str, **headers: str) -> int:
        """Sends a request on a new connection; returns the status.

        Raises:
            httpx.HTTPError: There was no whole answer.
        """
        url = f"http://{self.machines[name].address('callers')}{target}"
        fields = {"host": configurations.HOST, "connection": "close", **headers}
        return (await self._client.get(url, headers=fields)).status_code

    async def wait_served(self, name: str, target: str, **headers: str) -> None:
        """Waits until a request at a machine succeeds.

        Raises:
            TimeoutError: None succeeds in time.
        """
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    if await self.request(name, target, **headers) == 200:
                        return
                await anyio.sleep(POLL_PERIOD_S)

    async def _send_heartbeats(self, machine: Machine) -> None:
        """Sends the heartbeats of an upstream; a daemon may be down."""
        while True:
            if machine.sends_heartbeats:
                await self.announce(machine, "heartbeat", machine.heartbeat())
            await anyio.sleep(HEARTBEAT_PERIOD_S)

    async def announce(
        self, machine: Machine, action: str, body: dict[str, Any]
    ) -> None:
        """Sends a heartbeat or a departure of the upstream of a machine."""
        url = (
            f"http://{machine.address('control')}"
            f"/instances/{machine.upstream_id}/{action}"
        )
        with contextlib.suppress(httpx.HTTPError):
            await self._client.post(url, json=body)

    def end_processes(self) -> None:
        """Kills the daemons that this fleet started and that still run."""
        for process in self._started:
            if process.poll() is None:
                process.kill()
            process.wait()


@contextlib.asynccontextmanager
async def running() -> AsyncIterator[Fleet]:
    """Yields an empty fleet; its processes are ended and its files removed."""
    with tempfile.TemporaryDirectory(prefix="platformfleet-") as folder:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(pathlib.Path(folder), tasks)
            await fleet.store.start(tasks)
            try:
                yield fleet
            finally:
                fleet.end_processes()
                tasks.cancel_scope.cancel()
