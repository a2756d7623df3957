"""Stand-in for the platform's object API.

Objects have versions, conditional updates and watches:

- ``GET /objects/PATH`` returns the value with its version as ETag; with
  ``?after=V&wait_s=S`` it waits for a version above V and answers 304 if none
  comes.
- ``PUT /objects/PATH`` with ``If-Match`` or ``If-None-Match: *`` writes.
- ``DELETE /objects/PATH`` with ``If-Match`` deletes.
- ``GET /objects/?prefix=P`` lists paths.

``POST /control`` takes faults as JSON (see ``Faults``), ``GET /counters`` tells
how many calls and bytes the API has seen.
"""

import json
import sys
from typing import Any
from typing import NamedTuple

import anyio

from rattangauge import util
from standins import serving

MAX_VALUE_BYTES = 1_000_000


class Faults(NamedTuple):
    """Faults that the stand-in shows.

    Attributes:
        down: Answer every call with 503.
        delay_s: Time added to every answer, in seconds.
        lose_replies: Number of writes whose reply is lost after they took
            effect.
        paused: Answer nothing until this is cleared.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    paused: bool = False


class Platform:
    """Objects, faults and counters of the stand-in."""

    def __init__(self) -> None:
        """Creates an empty platform without faults."""
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._version = 0
        self._changed = anyio.Event()
        self._faults = Faults()
        self._faults_changed = anyio.Event()
        self._counters = dict.fromkeys(
            ("reads", "writes", "watches", "bytes_in", "bytes_out"), 0
        )

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        """The ASGI application."""
        if scope["type"] == "lifespan":
            await util.serve_lifespan(receive, send)
            return
        path = scope["path"]
        if path == "/control":
            await self._control(receive, send)
        elif path == "/counters":
            body = json.dumps(self._counters).encode()
            await util.send_reply(send, 200, "application/json", body)
        else:
            await self._serve_object(scope, receive, send)

    async def _control(self, receive: Any, send: Any) -> None:
        changes = json.loads(await serving.read_body(receive))
        self._faults = self._faults._replace(**changes)
        self._faults_changed.set()
        self._faults_changed = anyio.Event()
        body = json.dumps(self._faults._asdict()).encode()
        await util.send_reply(send, 200, "application/json", body)

    async def _serve_object(self, scope: Any, receive: Any, send: Any) -> None:
        body = await serving.read_body(receive)
        while self._faults.paused:
            await self._faults_changed.wait()
        await anyio.sleep(self._faults.delay_s)
        if self._faults.down:
            await util.send_reply(send, 503, "text/plain", b"down")
            return
        path = scope["path"].removeprefix("/objects/")
        headers = dict(scope["headers"])
        query = util.parse_query(scope["query_string"])
        method = scope["method"]
        self._counters["bytes_in"] += len(body)
        if method == "GET" and not path:
            await self._list(send, query.get("prefix", ""))
        elif method == "GET":
            await self._get(send, path, query)
        elif method == "PUT":
            await self._put(send, path, headers, body)
        else:
            await self._delete(send, path, headers)

    async def _list(self, send: Any, prefix: str) -> None:
        self._counters["reads"] += 1
        paths = sorted(p for p in self._objects if p.startswith(prefix))
        body = json.dumps({"paths": paths}).encode()
        await util.send_reply(send, 200, "application/json", body)

    async def _get(self, send: Any, path: str, query: dict[str, str]) -> None:
        if "after" in query:
            self._counters["watches"] += 1
            after = int(query["after"])
            with anyio.move_on_after(float(query["wait_s"])):
                while self._version_of(path) <= after:
                    await self._changed.wait()
            if self._version_of(path) <= after:
                await util.send_reply(send, 304, "text/plain", b"")
                return
        else:
            self._counters["reads"] += 1
        if self._faults.down:
            await util.send_reply(send, 503, "text/plain", b"down")
        elif path not in self._objects:
            await util.send_reply(send, 404, "text/plain", b"")
        else:
            await self._send_object(send, path)

    def _version_of(self, path: str) -> int:
        return self._objects.get(path, (0, b""))[0]

    async def _send_object(self, send: Any, path: str) -> None:
        version, data = self._objects[path]
        self._counters["bytes_out"] += len(data)
        await self._send_version(send, version, data)

    async def _send_version(self, send: Any, version: int, body: bytes) -> None:
        headers = [
            (b"etag", b'"%d"' % version),
            (b"content-length", b"%d" % len(body)),
        ]
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    def _holds(self, path: str, headers: dict[bytes, bytes]) -> bool:
        """Tells whether the condition of a write holds."""
        if headers.get(b"if-none-match") == b"*":
            return path not in self._objects
        expected = headers.get(b"if-match", b"").strip(b'"')
        return expected == b"%d" % self._version_of(path)

    async def _put(
        self, send: Any, path: str, headers: dict[bytes, bytes], body: bytes
    ) -> None:
        self._counters["writes"] += 1
        if len(body) > MAX_VALUE_BYTES:
            await util.send_reply(send, 413, "text/plain", b"too large")
            return
        if not self._holds(path, headers):
            await util.send_reply(send, 412, "text/plain", b"condition")
            return
        self._version += 1
        self._objects[path] = (self._version, body)
        self._notify()
        if not await self._reply_is_lost(send):
            await self._send_version(send, self._version_of(path), b"")

    async def _delete(
        self, send: Any, path: str, headers: dict[bytes, bytes]
    ) -> None:
        self._counters["writes"] += 1
        if path not in self._objects or not self._holds(path, headers):
            await util.send_reply(send, 412, "text/plain", b"condition")
            return
        del self._objects[path]
        self._notify()
        if not await self._reply_is_lost(send):
            await util.send_reply(send, 200, "text/plain", b"")

    async def _reply_is_lost(self, send: Any) -> bool:
        """Takes part in losing a reply; the connection then breaks."""
        if self._faults.lose_replies < 1:
            return False
        left = self._faults.lose_replies - 1
        self._faults = self._faults._replace(lose_replies=left)
        await serving.lose_answer(send)
        return True

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def main() -> None:
    """Serves the address given as the only argument."""
    anyio.run(serve, sys.argv[1], backend_options={"use_uvloop": True})


async def serve(address: str) -> None:
    """Serves a new platform on an address."""
    await serving.serve(Platform().app, address)


if __name__ == "__main__":
    main()
