"""Runs small meshes of real daemons in one process, for tests."""

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
from rattangauge_platform import rollouts
from rattangauge_platform import store as store_module

from rattangauge import decisionlog
from rattangauge import settings as settings_module
from rattangauge.generated import settings as generated
from rattangauge.sidecar import node as node_module
from standins import appworker
from standins import configurations
from standins import objectstore

HOST = configurations.HOST
path = configurations.path
configuration = configurations.configuration
# Rate of the network link in the settings of an instance.
LINK_MBPS = 1000.0


# Ports below those that the system assigns to outgoing connections, on a
# loopback address that depends on the process: test processes that run at the
# same time do not take each other's ports.
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


def daemon_settings(name, service, zone, store_address, upstream_address=""):
    """Returns the settings of a daemon with addresses that are free."""
    return settings_module.Settings(
        instance=generated.Instance(
            name,
            zone,
            "sk-west",
            service,
            upstream_address,
            link_mbps=LINK_MBPS,
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
        rollout=generated.Rollout(),
    )


class Instance:
    """One instance: a daemon and its upstream.

    Attributes:
        name: Name of the instance.
        settings: Settings of the daemon.
        upstream: Stand-in of the upstream.
        service: Service of the upstream.
        log: Log of decisions of the daemon.
        log_bytes: Data that was written to the log.
        node: The daemon, once it has been started.
        is_ended: Whether the daemon has been started and has ended.
    """

    def __init__(self, name, service, zone, store_address, upstream):
        """Creates an instance; ``run`` starts its daemon."""
        self.name = name
        self.service = service
        self.upstream = upstream
        self.node = None
        self.is_ended = False
        self.log_bytes = bytearray()
        self.log = decisionlog.DecisionLog(name, zone, self._write)
        self._heartbeat_sequence = 0
        self._scope = None
        self.settings = daemon_settings(
            name, service, zone, store_address, upstream.address
        )

    def _write(self, data):
        self.log_bytes += data
        return len(data)

    def events(self):
        """Returns the events of the log of decisions."""
        self.log.flush()
        return [json.loads(line) for line in self.log_bytes.splitlines()]

    async def run(self):
        """Runs the daemon until it is stopped or killed."""
        self.is_ended = False
        with anyio.CancelScope() as self._scope:
            client = httpx.AsyncClient(
                base_url=self.settings.platform.url,
                timeout=self.settings.platform.timeout_s,
                verify=False,
            )
            async with client, anyio.create_task_group() as tasks:
                store = store_module.ObjectStore(client)
                self.node = node_module.Node(
                    self.settings,
                    headers.HEADER_NAMES,
                    store,
                    rollouts.RolloutObjects(store),
                    announcements.parse,
                    self.log,
                    tasks,
                )
                await self.node.run()
                tasks.cancel_scope.cancel()
        self.is_ended = True

    def kill(self):
        """Ends the daemon without a graceful stop."""
        self._scope.cancel()

    async def send_request(self, address, method, target, body=b""):
        """Sends one request to an address of the daemon."""
        # Loading CA certificates takes long and no request uses TLS.
        async with httpx.AsyncClient(verify=False) as client:
            return await client.request(
                method, f"http://{address}{target}", content=body
            )

    def heartbeat_body(self, state="ready", slots=4, born=1000, version="v1"):
        """Returns the body of the next heartbeat of the upstream."""
        self._heartbeat_sequence += 1
        return {
            "address": self.upstream.address,
            "born": born,
            "info": {
                "service": self.service,
                "version": version,
                "zone": self.settings.instance.zone,
                "slots": slots,
            },
            "status": {
                "state": state,
                "seq": self._heartbeat_sequence,
                "cold-left-s": 0,
            },
        }

    async def send_heartbeat(self, state="ready", **fields):
        """Sends a heartbeat; the fields are those of ``heartbeat_body``."""
        return await self.post_heartbeat(self.heartbeat_body(state, **fields))

    async def post_heartbeat(self, body):
        """Sends a heartbeat with a given body to the daemon."""
        target = f"/instances/i-{self.name}/heartbeat"
        data = json.dumps(body).encode()
        control = self.settings.listen.control
        return await self.send_request(control, "POST", target, data)

    async def deregister(self, **fields):
        """Tells the daemon that the upstream has ended; fields are the body."""
        target = f"/instances/i-{self.name}/deregister"
        body = json.dumps(fields).encode() if fields else b""
        return await self.send_request(
            self.settings.listen.control, "POST", target, body
        )

    async def is_ready(self):
        """Tells whether the daemon reports that it is ready."""
        try:
            reply = await self.send_request(
                self.settings.listen.ready, "GET", "/readiness"
            )
        except httpx.TransportError:
            return False
        return reply.status_code == 200


class Caller:
    """Sends requests over one connection and reads whole responses."""

    def __init__(self, stream):
        """Creates a caller that uses an open connection."""
        self._stream = stream
        self._parser = h11.Connection(h11.CLIENT)

    async def send(self, target, method="GET", body=b"", **fields):
        """Sends a request; ``fields`` become headers, with _ replaced by -."""
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
            anyio.EndOfStream: The connection ended before a whole response.
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

    async def close(self):
        """Closes the connection."""
        await self._stream.aclose()


class Mesh:
    """A mesh of instances with one store.

    Attributes:
        store: Stand-in of the store.
        instances: Instances by name.
        version: Version of the newest configuration.
    """

    def __init__(self, store, tasks):
        """Creates a mesh without instances; the task group runs its daemons."""
        self.store = store
        self.instances = {}
        self.version = 0
        self._tasks = tasks

    @property
    def tasks(self):
        """Task group that runs the daemons and stand-ins."""
        return self._tasks

    def publish(self, paths, services=("skladby", "objednavky")):
        """Writes a configuration to the store."""
        self.version += 1
        spec = configuration(self.version, paths, services)
        self.store.put("config", "main", spec)

    async def add(self, name, service="skladby", zone="zone-1", work_s=0.0):
        """Adds an instance and starts its daemon and its upstream."""
        instance = await self.prepare(name, service, zone, work_s)
        self.start(name)
        return instance

    async def prepare(self, name, service="skladby", zone="zone-1", work_s=0.0):
        """Adds an instance and starts its upstream, but not its daemon."""
        upstream = appworker.AppWorker(work_s)
        await upstream.start(self._tasks)
        instance = Instance(name, service, zone, self.store.address, upstream)
        self.instances[name] = instance
        return instance

    def start(self, name):
        """Starts the daemon of an instance."""
        self._tasks.start_soon(self.instances[name].run)

    async def wait(self, condition, limit_s=5.0):
        """Waits until an asynchronous condition holds."""
        with anyio.fail_after(limit_s):
            while not await condition():
                await anyio.sleep(0.02)

    async def wait_ready(self):
        """Waits until all daemons are ready and have found each other."""
        count = len(self.instances)

        async def is_ready():
            ready = [
                await instance.is_ready()
                for instance in self.instances.values()
            ]
            known = [len(i.node._peers) for i in self.instances.values()]
            return all(ready) and min(known) == count

        await self.wait(is_ready)

    async def wait_ready_of(self, names):
        """Waits until the daemons of some instances are ready."""

        async def are_ready():
            return all([await self.instances[n].is_ready() for n in names])

        await self.wait(are_ready)

    async def send_heartbeats(self, **fields):
        """Sends a heartbeat of each upstream and gives peers time to hear."""
        for instance in self.instances.values():
            await instance.send_heartbeat(**fields)
        await anyio.sleep(0.1)

    async def start_instances(self, paths, *names, **fields):
        """Publishes paths and starts instances; fields are those of ``add``."""
        self.publish(paths)
        for name in names:
            await self.add(name, **fields)
        await self.wait_ready()
        await self.send_heartbeats()

    async def connect(self, name):
        """Opens a connection of a caller to an instance."""
        address = self.instances[name].settings.listen.callers
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
