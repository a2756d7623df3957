"""A stand-in for the metadata store of the users' platform, over HTTP."""

import json
from typing import Any
from typing import NamedTuple
import urllib.parse

import anyio
import anyio.abc

from rattangauge import util
from rattangauge.http import messages
from rattangauge.http import server as server_module

_JSON = ((b"content-type", b"application/json"),)


class Copy(NamedTuple):
    """State of a store, to which it can go back."""

    revision: int
    oldest: int
    objects: dict[str, dict[str, Any]]
    history: list[tuple[int, str, dict[str, Any]]]


def _reply(status: int, table: Any = None) -> messages.Response:
    return messages.Response(status, _JSON, json.dumps(table).encode())


class ObjectStore:
    """Objects by kind and name with one revision counter.

    Attributes:
        calls: Calls as method and target, in the order of their arrival.
        refuse_with: Status of all answers while the store is down; 0 if it is
            up.
        is_silent: Whether calls get no answer.
        loses_answers: Whether writes are done and not answered.
        era: Era in all answers; it rises when the store goes back to a copy.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.calls: list[str] = []
        self.refuse_with = 0
        self.is_silent = False
        self.loses_answers = False
        self.era = 1
        self.address = ""
        self._revision = 1
        self._oldest = 0
        self._objects: dict[str, dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = anyio.Event()

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to serve on a free port of the loopback address."""
        listener = util.listen("127.0.0.1")
        port = listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        tasks.start_soon(server_module.Server(self._handle).serve, listener)

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> None:
        """Writes an object."""
        self._revision += 1
        before = self._objects.get(kind, {}).get(name, {}).get("metadata", {})
        metadata = {
            "name": name,
            "revision": self._revision,
            "create-rev": before.get("create-rev", self._revision),
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self._objects.setdefault(kind, {})[name] = item
        event = {"object": item, "deleted": False}
        self._history.append((self._revision, kind, event))
        self._notify()

    def names(self, kind: str) -> list[str]:
        """Returns the names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def get(self, kind: str, name: str) -> Any:
        """Returns an object; None if there is none."""
        return self._objects.get(kind, {}).get(name)

    def delete(self, kind: str, name: str) -> None:
        """Removes an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            event = {"object": item, "deleted": True}
            self._history.append((self._revision, kind, event))
            self._notify()

    def compact(self) -> None:
        """Forgets the history."""
        self._oldest = self._revision
        self._history.clear()
        self._notify()

    def copy(self) -> Copy:
        """Returns a copy of the present state."""
        objects = {kind: dict(own) for kind, own in self._objects.items()}
        history = list(self._history)
        return Copy(self._revision, self._oldest, objects, history)

    def restore(self, copy: Copy) -> None:
        """Goes back to a copy; it gives revisions out again."""
        self._revision, self._oldest, self._objects, self._history = copy
        self.era += 1
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _handle(self, request: messages.Request) -> messages.Response:
        response = await self._handle_in_era(request)
        era = (b"store-era", b"%d" % self.era)
        return response._replace(headers=(*response.headers, era))

    async def _handle_in_era(
        self, request: messages.Request
    ) -> messages.Response:
        self.calls.append(f"{request.method} {request.target}")
        if self.is_silent:
            await anyio.sleep_forever()
        if self.refuse_with:
            return _reply(self.refuse_with)
        path, _, text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        parts = path.strip("/").split("/")
        if request.method == "GET" and "watch" in query:
            return await self._watch(parts[1], query)
        response = self._answer(request, parts)
        if self.loses_answers and request.method != "GET":
            await anyio.sleep_forever()
        return response

    def _answer(
        self, request: messages.Request, parts: list[str]
    ) -> messages.Response:
        kind = parts[1]
        if request.method == "GET":
            items = list(self._objects.get(kind, {}).values())
            table = {"items": items, "more": False}
            return _reply(200, {**table, "store-revision": self._revision})
        if request.method == "DELETE":
            self.delete(kind, parts[2])
            return _reply(200)
        body = json.loads(request.body)
        name = body["metadata"]["name"]
        if request.method == "POST" and name in self._objects.get(kind, {}):
            return _reply(409, self._objects[kind][name])
        known = self.get(kind, name)
        revision = body["metadata"].get("revision")
        if known and revision not in (None, known["metadata"]["revision"]):
            return _reply(409, known)
        if known is None and request.method == "PUT":
            return _reply(404)
        if parts[-1] == "status":
            self.put(kind, name, known["spec"], body["status"])
        else:
            status = known["status"] if known else None
            self.put(kind, name, body["spec"], status)
        return _reply(200, self.get(kind, name))

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> messages.Response:
        since = int(query["watch"])
        wait_s = int(query.get("wait-ms", "0")) / 1000
        deadline = anyio.current_time() + wait_s
        while True:
            if not self._oldest <= since <= self._revision:
                return _reply(410)
            events = [
                event
                for revision, of_kind, event in self._history
                if revision > since and of_kind == kind
            ]
            changed = self._changed
            left_s = deadline - anyio.current_time()
            if events or left_s <= 0.0:
                table = {"events": events, "store-revision": self._revision}
                return _reply(200, table)
            with anyio.move_on_after(left_s):
                await changed.wait()
