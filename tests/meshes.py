"""Builds small meshes of real daemons in one process, for tests."""

import contextlib
import itertools
import json
import os
import socket

import anyio
import h11
import httpx
from rattangauge_platform import announcements
from rattangauge_platform import headers
from rattangauge_platform import store as store_module

from rattangauge import decisionlog
from rattangauge import settings as settings_module
from rattangauge.generated import settings as generated
from rattangauge.sidecar import node as node_module
from standins import appworker
from standins import objectstore

HOST = "shop.example"


# Below the ports that the system gives to outgoing connections, on an address
# of the loopback network that no other test process uses.
_PORTS = itertools.count(10_000)
_HOST = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 256}.1"


def free_address():
    """Returns an address with a port that is free."""
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((_HOST, port))
            except OSError:
                continue
        return f"{_HOST}:{port}"
    raise AssertionError("no port is free")


def path(prefix, service, **fields):
    """Returns a route as the operator of the platform writes it."""
    values = {
        "name": f"r-{prefix.strip('/').replace('/', '-')}",
        "path-prefix": prefix,
        "kind": "safe",
        "timeout-s": 1.0,
        "target-latency-s": 0.5,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
    }
    return {**values, **fields}


def configuration(version, paths, services):
    """Returns a configuration as the operator of the platform writes it."""
    return {
        "version": f"r{version}",
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 120,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1_000_000,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
        "virtual-hosts": [{"host": HOST, "paths": paths}],
    }


class Place:
    """One instance: a daemon, and an upstream beside it.

    Attributes:
        name: Name of the instance.
        settings: Settings of the daemon.
        worker: The upstream.
        service: Service of the upstream.
        log: Log of decisions of the daemon.
        node: The daemon while it runs.
    """

    def __init__(self, name, service, zone, store_address, worker):
        """Creates an instance whose daemon does not run yet."""
        self.name = name
        self.service = service
        self.worker = worker
        self.node = None
        self.written = bytearray()
        self.log = decisionlog.DecisionLog(name, zone, self._write)
        self._sequence = 0
        self._scope = None
        self.settings = settings_module.Settings(
            instance=generated.Instance(
                name, zone, "sk-west", service, worker.address
            ),
            listen=generated.Listen(
                callers=free_address(),
                mesh=free_address(),
                operators=free_address(),
                control=free_address(),
                ready=free_address(),
            ),
            mesh=generated.Mesh(
                connect_timeout_s=0.2, silence_s=0.4, news_period_s=0.2
            ),
            platform=generated.Platform(f"http://{store_address}", 0.5),
            calls=generated.Calls(),
            shutdown=generated.Shutdown(limit_s=4.0),
            log=generated.Log(),
        )

    def _write(self, data):
        self.written += data
        return len(data)

    def events(self):
        """Returns the events of the log."""
        self.log.flush()
        return [json.loads(line) for line in self.written.splitlines()]

    async def run(self):
        """Runs the daemon until it is stopped or killed."""
        with anyio.CancelScope() as self._scope:
            client = httpx.AsyncClient(
                base_url=self.settings.platform.url,
                timeout=self.settings.platform.timeout_s,
                verify=False,
            )
            async with client, anyio.create_task_group() as tasks:
                self.node = node_module.Node(
                    self.settings,
                    headers.HEADER_NAMES,
                    store_module.ObjectStore(client),
                    announcements.parse,
                    self.log,
                    tasks,
                )
                await self.node.run()
                tasks.cancel_scope.cancel()

    def kill(self):
        """Ends the daemon at once."""
        self._scope.cancel()

    async def ask(self, address, method, target, body=b""):
        """Sends one request to an address of the daemon."""
        # Certificates, which are not used here, take long to load.
        async with httpx.AsyncClient(verify=False) as client:
            return await client.request(
                method, f"http://{address}{target}", content=body
            )

    async def heartbeat(self, state="ready", slots=4, born=1000):
        """Sends a heartbeat of the upstream."""
        self._sequence += 1
        body = {
            "address": self.worker.address,
            "born": born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.settings.instance.zone,
                "slots": slots,
            },
            "status": {
                "state": state,
                "seq": self._sequence,
                "cold-left-s": 0,
            },
        }
        target = f"/instances/i-{self.name}/heartbeat"
        data = json.dumps(body).encode()
        control = self.settings.listen.control
        return await self.ask(control, "POST", target, data)

    async def leave(self):
        """Tells the daemon that the upstream is gone."""
        target = f"/instances/i-{self.name}/deregister"
        return await self.ask(self.settings.listen.control, "POST", target)

    async def is_ready(self):
        """Tells whether the daemon says that it is ready."""
        try:
            reply = await self.ask(
                self.settings.listen.ready, "GET", "/readiness"
            )
        except httpx.TransportError:
            return False
        return reply.status_code == 200


class Caller:
    """Sends requests over one connection and reads whole responses."""

    def __init__(self, stream):
        """Wraps a connection."""
        self._stream = stream
        self._parser = h11.Connection(h11.CLIENT)

    async def send(self, target, method="GET", body=b"", **fields):
        """Sends a request; ``deadline_ms`` and ``request_id`` are headers."""
        values = {"deadline_ms": "800", "request_id": "q1", **fields}
        sent = [("host", HOST), ("content-length", str(len(body)))]
        sent += [(k.replace("_", "-"), str(v)) for k, v in values.items()]
        data = self._parser.send(
            h11.Request(method=method, target=target, headers=sent)
        )
        if body:
            data += self._parser.send(h11.Data(data=body))
        await self._stream.send(data + self._parser.send(h11.EndOfMessage()))

    async def receive(self):
        """Returns status, headers and body of the next response.

        Raises:
            anyio.EndOfStream: The connection ended before it.
        """
        head, pieces = None, []
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise anyio.EndOfStream from error
            if event is h11.NEED_DATA:
                try:
                    data = await self._stream.receive()
                except anyio.EndOfStream:
                    data = b""
                self._parser.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
            else:
                break
        if self._parser.our_state is h11.DONE is self._parser.their_state:
            self._parser.start_next_cycle()
        return head.status_code, dict(head.headers), b"".join(pieces)

    async def leave(self):
        """Closes the connection."""
        await self._stream.aclose()


class Mesh:
    """A store and some instances.

    Attributes:
        store: The store.
        places: Instances by name.
        version: Version of the newest configuration.
    """

    def __init__(self, store, tasks):
        """Creates a mesh without instances."""
        self.store = store
        self.places = {}
        self.version = 0
        self._tasks = tasks

    def publish(self, paths, services=("skladby", "objednavky")):
        """Writes a configuration to the store."""
        self.version += 1
        spec = configuration(self.version, paths, services)
        self.store.put("config", "main", spec)

    async def add(self, name, service="skladby", zone="zone-1", work_s=0.0):
        """Adds an instance whose daemon and upstream run."""
        worker = appworker.AppWorker(work_s)
        await worker.start(self._tasks)
        place = Place(name, service, zone, self.store.address, worker)
        self.places[name] = place
        self.start(name)
        return place

    def start(self, name):
        """Starts the daemon of an instance."""
        self._tasks.start_soon(self.places[name].run)

    async def wait(self, condition, limit_s=5.0):
        """Waits until an asynchronous condition holds."""
        with anyio.fail_after(limit_s):
            while not await condition():
                await anyio.sleep(0.02)

    async def wait_ready(self):
        """Waits until all daemons are ready and know one another."""
        count = len(self.places)

        async def is_ready():
            ready = [await place.is_ready() for place in self.places.values()]
            known = [len(p.node._peers) for p in self.places.values()]
            return all(ready) and min(known) == count

        await self.wait(is_ready)

    async def heartbeats(self, **fields):
        """Sends a heartbeat of each upstream and waits for the news."""
        for place in self.places.values():
            await place.heartbeat(**fields)
        await anyio.sleep(0.1)

    async def connect(self, name):
        """Opens a connection of a caller to an instance."""
        address = self.places[name].settings.listen.callers
        host, _, port = address.rpartition(":")
        return Caller(await anyio.connect_tcp(host, int(port)))

    async def call(self, name, target, method="GET", body=b"", **fields):
        """Sends one request and returns status, headers and body."""
        caller = await self.connect(name)
        await caller.send(target, method, body, **fields)
        with anyio.fail_after(5):
            return await caller.receive()


@contextlib.asynccontextmanager
async def running():
    """Yields an empty mesh."""
    async with anyio.create_task_group() as tasks:
        store = objectstore.ObjectStore()
        await store.start(tasks)
        yield Mesh(store, tasks)
        tasks.cancel_scope.cancel()
