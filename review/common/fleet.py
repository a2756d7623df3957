"""Starts the project's daemons beside stand-ins, as a small deployment."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

from common import platform
from common import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "register.example"
PING_PERIOD_S = 0.87
# Bounds of the site's settings.
GRACE_S = 6.0
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
# Time after which a machine whose processes ran without a disturbance is in
# touch.
IN_TOUCH_S = STABLE_WINDOW_S + 0.5
# Longest time of a case.
LIMIT_S = 100.0
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = """\
[instance]
name = "{name}"
zone = "bayern-a"
region = "bayern"
service = "{service}"
upstream = "{host}:{app}"
link_mbps = {link_mbps}
[listen]
callers = "{host}:{outbound}"
mesh = "{host}:{inbound}"
operators = "{host}:{metrics}"
ready = "{host}:{ready}"
control = "{host}:{control}"
advertise = "{host}:{advertised}"
[mesh]
connect_timeout_s = 0.25
silence_s = 1.0
[platform]
url = "http://{store}"
timeout_s = 1.0
stable_s = 3
[shutdown]
limit_s = 6
[log]
json = true
"""


class CannotRunError(Exception):
    """The case could not be set up."""


def route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a path of a configuration; fields replace the defaults."""
    values = {
        "name": name,
        "path-prefix": f"/{name}/",
        "kind": "safe",
        "timeout-s": 1.2,
        "target-latency-s": 0.4,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
    }
    return {**values, **fields}


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    return {
        "version": f"r{version}",
        "services": [
            {"name": name, "health-path": "/health", "max-connections": 110}
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1_000_000,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
        "virtual-hosts": [{"host": HOST, "paths": routes}],
    }


class Machine:
    """One machine: a daemon, its worker and the addresses of both."""

    def __init__(
        self, fleet: "Fleet", name: str, service: str, host: str
    ) -> None:
        """Creates a machine without processes."""
        self.fleet = fleet
        self.name = name
        self.service = service
        self.host = host
        names = ("app", "outbound", "inbound", "metrics", "ready", "control")
        self.ports = {key: fleet.free_port(host) for key in names}
        self.ports["advertised"] = self.ports["inbound"]
        self.link_mbps = 1000.0
        self.worker: platform.Worker | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self._pinging: asyncio.Task[None] | None = None

    def start_daemon(self) -> None:
        """Starts the daemon with the command of the deploy file."""
        path = self.fleet.folder / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                service=self.service,
                host=self.host,
                store=self.fleet.store_address,
                link_mbps=self.link_mbps,
                **self.ports,
            )
        )
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["RATTANGAUGE_SETTINGS"] = str(path)
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "rattangauge_platform.daemon"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()
        self.fleet.processes.append(self.process)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the daemon."""
        assert self.process is not None
        self.process.send_signal(number)

    async def ended(self, timeout_s: float) -> bool:
        """Waits for the end of the daemon; returns whether it ended."""
        assert self.process is not None
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                return True
            await asyncio.sleep(0.02)
        return False

    async def start_worker(self, instance: str) -> platform.Worker:
        """Starts a worker, which pings from now on."""
        worker = platform.Worker(
            instance, self.service, self.host, self.ports["app"], "bayern-a"
        )
        await worker.start()
        self.worker = worker
        self._pinging = asyncio.create_task(self._ping_repeatedly(worker))
        return worker

    def stop_pings(self) -> None:
        """Ends the pings of the worker."""
        if self._pinging is not None:
            self._pinging.cancel()

    async def _ping_repeatedly(self, worker: platform.Worker) -> None:
        while True:
            await self.post_ping(worker.instance, worker.ping())
            await asyncio.sleep(PING_PERIOD_S)

    async def post_ping(
        self, instance: str, body: dict[str, Any], action: str = "heartbeat"
    ) -> int:
        """Sends a ping to the control address; returns the status or 0."""
        response = await wire.call(
            self.host,
            self.ports["control"],
            f"POST /instances/{instance}/{action} HTTP/1.1",
            {"Host": self.host, "Content-Type": "application/json"},
            json.dumps(body).encode(),
            1.0,
        )
        return response.status if response is not None else 0

    async def is_ready(self) -> bool:
        """Asks the daemon whether it is ready."""
        response = await wire.call(
            self.host,
            self.ports["ready"],
            "GET /readiness HTTP/1.1",
            {"Host": self.host},
            timeout_s=1.0,
        )
        return response is not None and response.status == 200

    async def request(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2500,
    ) -> tuple[str, int]:
        """Sends a request of a caller on a new connection.

        Returns:
            Its id, and the status; 0 if there was no answer.
        """
        request_id = self.fleet.new_id()
        response = await wire.call(
            self.host,
            self.ports["outbound"],
            f"{method} {path} HTTP/1.1",
            {
                "Host": HOST,
                "Request-Id": request_id,
                "Deadline-Ms": str(deadline_ms),
            },
            body,
            deadline_ms / 1000 + 1.0,
        )
        return request_id, response.status if response is not None else 0


class Fleet:
    """A store and machines, with a record of what happened.

    Attributes:
        folder: Temporary folder.
        store: The store.
        processes: Daemons that were started.
    """

    def __init__(self, record: pathlib.Path) -> None:
        """Creates an empty fleet; ``record`` is the file to write."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = platform.Store()
        self.store_address = ""
        self.machines: list[Machine] = []
        self.processes: list[subprocess.Popen[bytes]] = []
        self._record = record
        self._lines: list[str] = []
        self._began = time.monotonic()
        self._random = random.Random()
        self._network = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 250}"
        self._ids = 0

    def free_port(self, host: str) -> int:
        """Returns a free port of a loopback address."""
        while True:
            port = self._random.randrange(10_000, 30_000)
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind((host, port))
                return port

    def new_id(self) -> str:
        """Returns a new request id."""
        self._ids += 1
        return f"{self._random.getrandbits(48):012x}{self._ids:04x}"

    def log(self, text: str) -> None:
        """Adds a line to the record."""
        at = time.monotonic() - self._began
        self._lines.append(f"{at:8.3f} {text}\n")

    async def start_machines(self, path: str) -> None:
        """Starts all machines and waits until they serve and are in touch.

        Args:
            path: Path of a request that each of them must serve.
        """
        for machine in self.machines:
            machine.start_daemon()
        await self.wait_ready()
        for machine in self.machines:
            await machine.start_worker(f"i-{machine.name}")
        for machine in self.machines:
            await self.wait_served(machine, path)
        await asyncio.sleep(IN_TOUCH_S)
        self.log("all machines are in touch")

    async def start_store(self) -> None:
        """Starts the store."""
        host = f"{self._network}.1"
        port = self.free_port(host)
        await wire.serve(self.store.handle, host, port)
        self.store_address = f"{host}:{port}"

    def add_machine(self, name: str, service: str) -> Machine:
        """Adds a machine; its processes are started later."""
        host = f"{self._network}.{10 + len(self.machines)}"
        machine = Machine(self, name, service, host)
        self.machines.append(machine)
        return machine

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until all daemons are ready.

        Raises:
            CannotRunError: They are not ready in time.
        """
        end = time.monotonic() + timeout_s
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > end:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def wait_served(
        self, machine: Machine, path: str, timeout_s: float = 15.0
    ) -> None:
        """Waits until a request of a machine succeeds.

        Raises:
            CannotRunError: None succeeds in time.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            _request_id, status = await machine.request(path)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{machine.name} serves no {path}")

    def end_processes(self) -> None:
        """Ends all daemons that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()

    def close(self) -> None:
        """Removes the temporary folder and writes the record."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.write_text("".join(self._lines))


# A case; it returns whether the rule held.
Case = Callable[["Fleet"], Awaitable[bool]]


def main(case: Case, file: str) -> None:
    """Runs a case and exits with its result.

    Args:
        case: The case.
        file: File of the case; the record is written beside it.
    """
    fleet = Fleet(pathlib.Path(file).with_name("record.txt"))
    code = 2

    async def run() -> bool:
        await fleet.start_store()
        try:
            async with asyncio.timeout(LIMIT_S):
                return await case(fleet)
        finally:
            fleet.end_processes()

    try:
        code = 0 if asyncio.run(run()) else 1
    except Exception as error:  # any failure of the script itself
        fleet.log(f"the case could not run: {error!r}")
    finally:
        fleet.log(f"exit code {code}")
        fleet.close()
    sys.exit(code)
