"""Stand-in for an upstream instance.

It announces itself to its daemon each second and answers any path. A query may
ask for ``work_ms`` of work, an answer of ``size`` bytes or ``size`` bytes at
``rate`` bytes a second. ``POST /control`` takes faults (see ``Faults``),
``GET /counters`` tells what ran by idempotency key.
"""

import argparse
import collections
import json
import random
from typing import Any
from typing import NamedTuple

import anyio
import httpx

from rattangauge import util
from standins import serving

ANNOUNCEMENT_PERIOD_S = 1.0
# What ``GET /counters`` counts besides the runs by idempotency key.
COUNTERS = (
    "announcements_failed",
    "begun",
    "cancelled",
    "cut_off",
    "finished",
    "shed",
)
SHED_HEADERS = [(b"rattangauge-outcome", b"not-run"), (b"content-length", b"0")]


class Faults(NamedTuple):
    """Faults that the stand-in shows.

    Attributes:
        slow_factor: Factor on the time of all work.
        silent: Do not announce.
        drop_answers: Number of calls that run but whose answer is lost.
        lie_state: State to announce instead of the true one; empty for none.
        draining: Announce that the upstream drains.
    """

    slow_factor: float = 1.0
    silent: bool = False
    drop_answers: int = 0
    lie_state: str = ""
    draining: bool = False


class Upstream:
    """Slots, faults and counters of one instance."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Creates an instance with the options of the command line."""
        self._options = options
        self._started = 0.0
        self._faults = Faults()
        self._slots = anyio.CapacityLimiter(options.slots)
        self._running = 0
        self._peak = 0
        self._runs: collections.Counter[str] = collections.Counter()
        self._counters = dict.fromkeys(COUNTERS, 0)

    async def announce(self) -> None:
        """Announces the instance to its daemon until cancelled."""
        self._started = anyio.current_time()
        async with httpx.AsyncClient(timeout=2.0) as client:
            while True:
                if not self._faults.silent:
                    await self._announce_once(client)
                await anyio.sleep(ANNOUNCEMENT_PERIOD_S)

    async def _announce_once(self, client: httpx.AsyncClient) -> None:
        announcement = {
            "service": self._options.service,
            "address": self._options.address,
            "slots": self._options.slots,
            "connections": self._options.connections,
            "state": self._faults.lie_state or self._state(),
        }
        url = f"http://{self._options.daemon}/upstream"
        try:
            await client.post(url, json=announcement)
        except httpx.HTTPError:
            self._counters["announcements_failed"] += 1

    def _state(self) -> str:
        if self._faults.draining:
            return "draining"
        age = anyio.current_time() - self._started
        return "starting" if age < self._options.cold_start_s else "serving"

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        """The ASGI application."""
        if scope["type"] == "lifespan":
            await util.serve_lifespan(receive, send)
        elif scope["path"] == "/control":
            changes = json.loads(await serving.read_body(receive))
            self._faults = self._faults._replace(**changes)
            await util.send_reply(send, 200, "text/plain", b"")
        elif scope["path"] == "/counters":
            await self._send_counters(send)
        elif scope["path"] == "/health":
            # The report knows nothing of the last moments.
            await util.send_reply(send, 200, "text/plain", b"ok")
        else:
            await self._serve_call(scope, receive, send)

    async def _send_counters(self, send: Any) -> None:
        counters = {
            **self._counters,
            "runs": dict(self._runs),
            "peak": self._peak,
        }
        body = json.dumps(counters).encode()
        await util.send_reply(send, 200, "application/json", body)

    async def _serve_call(self, scope: Any, receive: Any, send: Any) -> None:
        if self._running >= self._options.slots + self._options.backlog:
            self._counters["shed"] += 1
            await send(
                {
                    "type": "http.response.start",
                    "status": 503,
                    "headers": SHED_HEADERS,
                }
            )
            await send({"type": "http.response.body", "body": b""})
            return
        self._running += 1
        self._peak = max(self._peak, self._running)
        try:
            async with self._slots:
                await self._run(scope, receive, send)
        finally:
            self._running -= 1

    async def _run(self, scope: Any, receive: Any, send: Any) -> None:
        query = util.parse_query(scope["query_string"])
        headers = dict(scope["headers"])
        work_s = float(query.get("work_ms", self._options.work_ms)) / 1000
        key = headers.get(b"idempotency-key", b"").decode()
        if "echo" in query:
            key = query["echo"]
        self._counters["begun"] += 1
        if key:
            self._runs[key] += 1
        try:
            size = len(await serving.read_body(receive))
        except ConnectionResetError:
            self._counters["cut_off"] += 1
            raise
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                await serving.wait_disconnect(receive)
                self._counters["cancelled"] += 1
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            await self._work(send, query, size, work_s)
            tasks.cancel_scope.cancel()

    async def _work(
        self, send: Any, query: dict[str, str], size: int, work_s: float
    ) -> None:
        await anyio.sleep(work_s * self._faults.slow_factor)
        self._counters["finished"] += 1
        if self._faults.drop_answers > 0:
            left = self._faults.drop_answers - 1
            self._faults = self._faults._replace(drop_answers=left)
            await serving.lose_answer(send)
        await self._answer(send, query, size)

    async def _answer(
        self, send: Any, query: dict[str, str], received: int
    ) -> None:
        reply = {
            "instance": self._options.address,
            "service": self._options.service,
            "received": received,
            "echo": query.get("echo", ""),
        }
        body = json.dumps(reply).encode()
        size = int(query.get("size", 0))
        rate = float(query.get("rate", 0))
        body += b"." * max(0, size - len(body))
        headers = [(b"content-length", b"%d" % len(body))]
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": headers})
        step = len(body) if rate == 0 else max(1, int(rate / 10))
        for begin in range(0, len(body), step):
            piece = body[begin : begin + step]
            more = begin + step < len(body)
            await send(
                {"type": "http.response.body", "body": piece, "more_body": more}
            )
            if more:
                await anyio.sleep(0.1)


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description="Stand-in of an upstream.")
    parser.add_argument("--service", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--daemon", required=True, help="operators' address")
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--connections", type=int, default=120)
    parser.add_argument("--backlog", type=int, default=64)
    parser.add_argument("--work-ms", type=float, default=2.0)
    parser.add_argument("--cold-start-s", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


async def serve(options: argparse.Namespace) -> None:
    """Serves and announces an instance."""
    random.seed(options.seed)
    instance = Upstream(options)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(instance.announce)
        await serving.serve(instance.app, options.address)
        tasks.cancel_scope.cancel()


def main() -> None:
    """Runs the command line."""
    anyio.run(serve, parse_arguments(), backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
