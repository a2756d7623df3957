"""Stand-ins for the metadata store and for workers of the platform."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import time
from typing import Any
import urllib.parse

from common import wire

JSON = {"Content-Type": "application/json"}
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 421: "Misdirected"}


def _reply(status: int, table: Any) -> bytes:
    reason = REASONS.get(status, "Status")
    body = json.dumps(table).encode()
    return wire.encode(f"HTTP/1.1 {status} {reason}", JSON, body)


class Store:
    """Objects by kind and name, one revision counter, and watches."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.revision = 1
        self._objects: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[int, str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object."""
        self.revision += 1
        known = self._objects.get(kind, {}).get(name)
        created = known["metadata"]["create-rev"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create-rev": created,
            },
            "spec": spec,
            "status": None,
        }
        self._objects.setdefault(kind, {})[name] = item
        event = {"object": item, "deleted": False}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, request: wire.Message, _writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Answers a call."""
        method, target, _ = request.start.split(" ")
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        parts = path.strip("/").split("/")
        kind = parts[1]
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            named = self._objects.get(kind, {})
            items = [named[name] for name in sorted(named)]
            table = {"items": items, "more": False}
            return _reply(200, {**table, "store-revision": self.revision})
        if method == "DELETE":
            self._objects.get(kind, {}).pop(parts[2], None)
            return _reply(200, {})
        body = json.loads(request.body)
        name = body["metadata"]["name"]
        if method == "POST" and name in self._objects.get(kind, {}):
            return _reply(409, self._objects[kind][name])
        self.put(kind, name, body["spec"])
        return _reply(200, self._objects[kind][name])

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            events = [
                event
                for revision, of_kind, event in self._events
                if revision > since and of_kind == kind
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                table = {"events": events, "store-revision": self.revision}
                return _reply(200, table)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


Work = Callable[["Worker", wire.Message], Awaitable[bytes]]


async def work_at_once(worker: "Worker", request: wire.Message) -> bytes:
    """Runs a request in no time."""
    return worker.answer(request, b"served")


class Worker:
    """One boot of an application worker.

    Attributes:
        instance: Its id.
        service: Its service.
        host: Its address.
        port: Its port.
        born: Start of the boot, in milliseconds since 1970.
        ran: Requests that it ran: time, id and ``Caller-Service``.
        work: What it does with a request.
    """

    def __init__(
        self, instance: str, service: str, host: str, port: int, zone: str
    ) -> None:
        """Creates a worker that begins now."""
        self.instance = instance
        self.service = service
        self.host = host
        self.port = port
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.ran: list[tuple[float, str, str]] = []
        self.work: Work = work_at_once
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to serve."""
        self._server = await wire.serve(self._handle, self.host, self.port)

    def stop(self) -> None:
        """Ends the server."""
        if self._server is not None:
            self._server.close()

    def answer(self, request: wire.Message, body: bytes) -> bytes:
        """Returns the answer to a request that ran."""
        headers = {
            "Request-Id": request.headers.get("request-id", ""),
            "Server-Seal": f"seal-{self.instance}",
            "Keep-Alive": "timeout=10",
        }
        return wire.encode("HTTP/1.1 200 OK", headers, body)

    async def _handle(
        self, request: wire.Message, _writer: asyncio.StreamWriter
    ) -> bytes | None:
        request_id = request.headers.get("request-id", "")
        target = request.headers.get("target-instance", self.instance)
        if target != self.instance:
            headers = {"Request-Id": request_id, "Not-Executed": "1"}
            return wire.encode("HTTP/1.1 421 Misdirected", headers)
        caller = request.headers.get("caller-service", "")
        self.ran.append((time.monotonic(), request_id, caller))
        return await self.work(self, request)

    def ping(self) -> dict[str, Any]:
        """Returns the body of the next ping."""
        self.seq += 1
        return {
            "address": f"{self.host}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": 18,
            },
            "status": {
                "state": self.state,
                "seq": self.seq,
                "cold-left-s": 0,
            },
        }
