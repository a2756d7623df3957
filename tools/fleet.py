"""Starts daemons and stand-ins as local processes.

The demo, the chaos run, the benchmarks and the tests of whole daemons use it.
Each availability zone has loopback addresses of its own, 127.0.ZONE.N, so that
a relay can tell from where a connection comes.
"""

from collections.abc import AsyncIterator
from collections.abc import Mapping
import contextlib
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import types
from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc
import httpx

from rattangauge import errors
from rattangauge import util
from rattangauge.config import edition as edition_module
from rattangauge.config import head as head_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import errorcodes
from rattangauge.net import object_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_ZONE = 0
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


class Worker(NamedTuple):
    """What to start for one upstream instance.

    Attributes:
        name: Name of the instance.
        zone: Number of its availability zone, from 1.
        service: Service of its upstream; empty for a daemon alone.
        slots: Slots of its upstream.
        work_ms: Time that a call takes, in milliseconds.
        options: More options of the upstream stand-in.
        settings: More settings of the daemon by section and key.
    """

    name: str
    zone: int
    service: str = ""
    slots: int = 9
    work_ms: float = 2.0
    options: tuple[str, ...] = ()
    settings: Mapping[str, dict[str, Any]] = types.MappingProxyType({})


class Ports(NamedTuple):
    """Addresses of one worker."""

    callers: str
    mesh: str
    operators: str
    upstream: str


def free_address(host: str) -> str:
    """Returns an address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def _toml_value(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list | tuple):
        return f"[{', '.join(_toml_value(item) for item in value)}]"
    if isinstance(value, str):
        return f'"{value}"'
    return str(value)


def format_settings(sections: dict[str, dict[str, Any]]) -> str:
    """Formats settings as TOML.

    >>> print(format_settings({"log": {"json": True}}), end="")
    [log]
    json = true
    """
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {_toml_value(v)}" for key, v in values.items()]
    return "\n".join(lines) + "\n"


class Fleet:
    """Processes of one local mesh."""

    def __init__(self, folder: pathlib.Path, relayed: bool = False) -> None:
        """Creates a fleet whose settings and logs lie in a folder.

        Args:
            folder: Folder for settings and logs.
            relayed: Take mesh and platform traffic through the relay.
        """
        self._folder = folder
        self._relay = free_address("127.0.0.1") if relayed else ""
        self._advertised: dict[str, str] = {}
        self._platform_urls: dict[int, str] = {}
        self._processes: dict[str, anyio.abc.Process] = {}
        self._workers: dict[str, Worker] = {}
        self._ports: dict[str, Ports] = {}
        self.platform_address = free_address("127.0.0.1")
        # Benchmarks replace it to compare with another version.
        self.daemon_module = "rattangauge.daemon"

    @property
    def workers(self) -> dict[str, Worker]:
        """Workers by name."""
        return self._workers

    @property
    def ports(self) -> dict[str, Ports]:
        """Addresses by worker."""
        return self._ports

    @property
    def processes(self) -> dict[str, anyio.abc.Process]:
        """Processes by name: ``platform``, ``NAME`` and ``NAME.upstream``."""
        return self._processes

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://{self.platform_address}"

    def log_text(self, name: str) -> str:
        """Returns what a process has written."""
        path = self._folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def clear_log(self, name: str) -> None:
        """Removes what a process has written."""
        (self._folder / f"{name}.log").unlink(missing_ok=True)

    async def start_module(self, name: str, *arguments: str) -> None:
        """Starts a Python module as a process, with its arguments."""
        command = [sys.executable, "-m", *arguments]
        with (self._folder / f"{name}.log").open("ab") as output:
            self._processes[name] = await anyio.open_process(
                command, stdin=None, stdout=output, stderr=output, cwd=ROOT
            )

    async def start_platform(self) -> None:
        """Starts the platform stand-in and waits until it answers."""
        await self.start_module(
            "platform", "standins.platform", self.platform_address
        )
        await wait_for_http(f"{self.platform_url}/counters")

    def plan(self, *workers: Worker) -> None:
        """Gives workers their addresses."""
        for worker in workers:
            host = f"127.0.{worker.zone}.{len(self._workers) % 250 + 1}"
            ports = Ports(*(free_address(host) for _ in range(4)))
            self._workers[worker.name] = worker
            self._ports[worker.name] = ports

    async def start_relay(self) -> None:
        """Starts the relay, if the fleet uses one, and waits for it."""
        if self._relay:
            await self.start_module("relay", "standins.relay", self._relay)
            await wait_for_http(f"http://{self._relay}/counters")

    async def _add_route(self, zone: int, target: str, **source: int) -> str:
        """Adds a route of the relay to a zone; returns where it listens."""
        listen = free_address(util.parse_address(target).host)
        route = {"listen": listen, "target": target, "destination": zone}
        await post_json(f"http://{self._relay}/routes", {**route, **source})
        return listen

    async def _connect_relay(self, worker: Worker) -> None:
        """Adds the routes of a worker that the relay does not have yet."""
        if not self._relay or worker.name in self._advertised:
            return
        mesh = self._ports[worker.name].mesh
        self._advertised[worker.name] = await self._add_route(worker.zone, mesh)
        if worker.zone not in self._platform_urls:
            listen = await self._add_route(
                PLATFORM_ZONE, self.platform_address, source=worker.zone
            )
            self._platform_urls[worker.zone] = f"http://{listen}"

    async def set_fault(
        self, source: int, destination: int, mode: str, delay_s: float = 0.0
    ) -> None:
        """Sets the relay's fault between two zones, in one direction.

        Args:
            source: Zone of the side that opens the connections.
            destination: Zone of the side that accepts them; 0 is the platform.
            mode: A value of ``standins.relay.Mode``.
            delay_s: Delay of each piece, in seconds.
        """
        fault = {"source": source, "destination": destination, "mode": mode}
        url = f"http://{self._relay}/control"
        await post_json(url, {**fault, "delay_s": delay_s})

    async def set_mutual_fault(self, one: int, other: int, mode: str) -> None:
        """Sets the relay's fault between two zones, in both directions."""
        await self.set_fault(one, other, mode)
        await self.set_fault(other, one, mode)

    async def relay_counters(self) -> Any:
        """Returns connections and bytes for each pair of zones."""
        return await self.get_json(f"http://{self._relay}/counters")

    def contacts(self) -> list[str]:
        """Returns the first two mesh addresses of each zone."""
        chosen: dict[int, list[str]] = {}
        for name, worker in self._workers.items():
            known = chosen.setdefault(worker.zone, [])
            if len(known) < 2:
                mesh = self._ports[name].mesh
                known.append(self._advertised.get(name, mesh))
        return [address for known in chosen.values() for address in known]

    async def start_daemon(self, name: str) -> None:
        """Starts the daemon of a worker."""
        worker, ports = self._workers[name], self._ports[name]
        await self._connect_relay(worker)
        platform_url = self._platform_urls.get(worker.zone, self.platform_url)
        sections: dict[str, dict[str, Any]] = {
            "instance": {
                "name": name,
                "zone": f"zone-{worker.zone}",
                "region": "sk-west",
            },
            "listen": {
                "callers": ports.callers,
                "mesh": ports.mesh,
                "operators": ports.operators,
            },
            "mesh": {"contacts": self.contacts()},
            "platform": {"url": platform_url},
        }
        if name in self._advertised:
            sections["listen"]["advertise"] = self._advertised[name]
        for section, values in worker.settings.items():
            sections[section] = {**sections.get(section, {}), **values}
        path = self._folder / f"{name}.toml"
        path.write_text(format_settings(sections))
        await self.start_module(
            name, self.daemon_module, "--settings", str(path)
        )

    async def start_upstream(self, name: str) -> None:
        """Starts the upstream stand-in of a worker."""
        worker, ports = self._workers[name], self._ports[name]
        if not worker.service:
            return
        await self.start_module(
            f"{name}.upstream",
            "standins.upstream",
            f"--service={worker.service}",
            f"--address={ports.upstream}",
            f"--daemon={ports.operators}",
            f"--slots={worker.slots}",
            f"--work-ms={worker.work_ms}",
            *worker.options,
        )

    async def start(self, *workers: Worker) -> None:
        """Plans and starts workers and waits until their processes answer."""
        self.plan(*workers)
        for worker in workers:
            await self._connect_relay(worker)
        for worker in workers:
            await self.start_daemon(worker.name)
            await self.start_upstream(worker.name)
        for worker in workers:
            ports = self._ports[worker.name]
            await wait_for_http(f"http://{ports.operators}/health")
            if worker.service:
                await wait_for_http(f"http://{ports.upstream}/counters")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the fleet."""
        self._processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        with contextlib.suppress(ProcessLookupError):
            self.signal(name, signal.SIGKILL)
        await self._processes.pop(name).wait()

    async def stop(self, name: str) -> int:
        """Stops a process by SIGTERM and returns its exit code."""
        process = self._processes.pop(name)
        process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(STOP_TIMEOUT_S):
            return await process.wait()
        process.kill()
        return await process.wait()

    async def stop_all(self) -> None:
        """Ends all processes."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self._processes.values():
            await process.wait()
        self._processes.clear()

    async def control(self, url: str, **faults: Any) -> None:
        """Sets faults of a stand-in at a base URL."""
        await post_json(f"{url}/control", faults)

    async def control_upstream(self, name: str, **faults: Any) -> None:
        """Sets faults of the upstream of a worker."""
        await self.control(f"http://{self._ports[name].upstream}", **faults)

    async def get_json(self, url: str) -> Any:
        """Returns the JSON that a URL answers with."""
        async with httpx.AsyncClient(timeout=5.0) as client:
            return (await client.get(url)).json()

    async def counters(self, name: str) -> Any:
        """Returns the counters of the upstream of a worker."""
        address = self._ports[name].upstream
        return await self.get_json(f"http://{address}/counters")

    async def status(self, name: str) -> Any:
        """Returns the status of the daemon of a worker."""
        address = self._ports[name].operators
        return await self.get_json(f"http://{address}/status")

    async def wait_version(
        self, version: int, names: list[str] | None = None
    ) -> None:
        """Waits until daemons have a version, or a later one, in force."""
        for name in names or list(self._workers):
            await wait_until(
                lambda name=name: self._has_version(name, version),
                f"{name} has version {version}",
            )

    async def _has_version(self, name: str, version: int) -> bool:
        with contextlib.suppress(httpx.HTTPError):
            return (await self.status(name))["version"] >= version
        return False

    async def wait_serving(self, service: str, count: int) -> None:
        """Waits until all daemons know the serving workers of a service."""
        for name in self._workers:
            await wait_until(
                lambda name=name: self._knows(name, service, count),
                f"{name} knows {count} workers of {service}",
            )

    async def _knows(self, name: str, service: str, count: int) -> bool:
        with contextlib.suppress(httpx.HTTPError):
            status = await self.status(name)
            serving = [
                member
                for member in status["members"]
                if member["service"] == service
                and member["upstream"] == "serving"
                and member["state"] in ("alive", "suspect")
            ]
            remote = [
                summary["services"].get(service, 0)
                for summary in status["summaries"]
                if summary["zone"] != status["zone"]
            ]
            return len(serving) + sum(remote) >= count
        return False


async def post_json(url: str, value: Any) -> None:
    """Posts JSON to a stand-in.

    Raises:
        httpx.HTTPError: The stand-in did not accept it.
    """
    async with httpx.AsyncClient(timeout=5.0) as client:
        (await client.post(url, json=value)).raise_for_status()


async def wait_until(condition: Any, what: str) -> None:
    """Waits until an asynchronous condition holds.

    Raises:
        TimeoutError: It did not hold within ``START_TIMEOUT_S``.
    """
    with anyio.move_on_after(START_TIMEOUT_S):
        while not await condition():
            await anyio.sleep(0.05)
        return
    raise TimeoutError(f"not within {START_TIMEOUT_S} s: {what}")


async def wait_for_http(url: str) -> None:
    """Waits until a URL answers."""

    async def answers() -> bool:
        async with httpx.AsyncClient(timeout=2.0) as client:
            try:
                return (await client.get(url)).status_code == 200
            except httpx.HTTPError:
                return False

    await wait_until(answers, f"{url} answers")


@contextlib.asynccontextmanager
async def fleet(relayed: bool = False) -> AsyncIterator[Fleet]:
    """Opens a fleet with a platform; all processes end with the block.

    Args:
        relayed: Take mesh and platform traffic through the relay.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="rattangauge-"))
    opened = Fleet(folder, relayed)
    try:
        await opened.start_platform()
        await opened.start_relay()
        yield opened
    finally:
        with anyio.CancelScope(shield=True):
            await opened.stop_all()
        shutil.rmtree(folder, ignore_errors=True)


async def put_edition(
    url: str,
    version: int,
    objects: objects_module.ObjectSet,
    only_newer: bool = False,
) -> int:
    """Writes an edition to the store without checking it.

    Args:
        url: Base URL of the store.
        version: Version to write.
        objects: Objects of the edition.
        only_newer: Refuse a version that the head has already reached.

    Returns:
        When the head was written, in milliseconds since 1970.

    Raises:
        errors.CodedError: ``store.conflict`` if the head was changed or is not
            older, or another error of the store.
    """
    data = edition_module.encode(objects)
    digest = edition_module.digest_of(data)
    parts = edition_module.split(data)
    digests = tuple(edition_module.digest_of(part) for part in parts)
    entry = head_module.Entry(
        version, digest, f"op-{version}", "fleet", util.now_ms(), ()
    )
    async with object_store.open_client(url, 5.0) as client:
        store = object_store.HttpStore(client)
        for part, part_digest in zip(parts, digests, strict=True):
            path = head_module.part_path(part_digest)
            if await store.get(path) is None:
                await store.put(path, part, 0)
        old = await store.get(head_module.PATH)
        if (
            only_newer
            and old
            and head_module.parse(old.data).version >= version
        ):
            text = f"the head has reached version {version}"
            raise errors.CodedError(errorcodes.STORE_CONFLICT, text)
        head = head_module.Head(version, digest, digests, "", (entry,))
        data = head_module.format_head(head)
        expected = old.version if old else 0
        written_ms = util.now_ms()
        await store.put(head_module.PATH, data, expected)
    return written_ms
