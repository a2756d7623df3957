"""Open-loop load over raw HTTP/1.1 connections with seeded arrivals."""

import asyncio
from collections.abc import Iterable
import random
from typing import Any
from typing import NamedTuple

from rattangauge import util

MAX_CONNECTIONS = 3_000
ANSWER_TIMEOUT_S = 30.0


class Call(NamedTuple):
    """A planned call.

    Attributes:
        time: When it arrives, in seconds from the start.
        address: ``IP:PORT`` to send it to.
        path: Path and query.
        kind: Name under which it is counted.
        method: HTTP method.
        body: Whole body.
        deadline_ms: Deadline that is sent along.
    """

    time: float
    address: str
    path: str
    kind: str = "short"
    method: str = "GET"
    body: bytes = b""
    deadline_ms: int = 1000


class Result(NamedTuple):
    """What became of a call; status 0 stands for a broken connection."""

    call: Call
    status: int
    seconds: float


class _Connection(asyncio.Protocol):
    """One connection with one call at a time."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.is_open = True
        self._buffer = b""
        self._answer: asyncio.Future[int] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        lowered = head.lower()
        start = lowered.index(b"content-length:") + 15
        length = int(lowered[start:].split(b"\r\n", 1)[0])
        if len(body) >= length and self._answer is not None:
            self._buffer = b""
            answer, self._answer = self._answer, None
            if not answer.done():
                answer.set_result(int(head[9:12]))

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(0)

    async def send(self, request: bytes) -> int:
        """Sends a request and returns the status of its answer."""
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await self._answer
        except TimeoutError:
            self.is_open = False
            self.transport.abort()
            return 0


def arrivals(
    rate: float, begin: float, end: float, source: random.Random
) -> list[float]:
    """Returns the times of a Poisson process, in seconds."""
    times = []
    time = begin + source.expovariate(rate)
    while time < end:
        times.append(time)
        time += source.expovariate(rate)
    return times


class _Load:
    def __init__(self) -> None:
        self.results: list[Result] = []
        self._idle: dict[str, list[_Connection]] = {}
        self._opened = 0

    async def _connection(self, address: str) -> _Connection:
        idle = self._idle.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return connection
        if self._opened >= MAX_CONNECTIONS:
            raise OSError("too many connections")
        host, port = util.parse_address(address)
        loop = asyncio.get_running_loop()
        self._opened += 1
        _, connection = await loop.create_connection(_Connection, host, port)
        return connection

    async def run_one(self, call: Call, began: float) -> None:
        """Runs one call and counts it from its planned time."""
        request = (
            f"{call.method} {call.path} HTTP/1.1\r\nhost: {call.address}\r\n"
            f"rattangauge-deadline-ms: {call.deadline_ms}\r\n"
            f"content-length: {len(call.body)}\r\n\r\n"
        ).encode()
        status = 0
        try:
            connection = await self._connection(call.address)
            status = await connection.send(request + call.body)
            if connection.is_open:
                self._idle[call.address].append(connection)
        except OSError:
            pass
        now = asyncio.get_running_loop().time()
        seconds = now - began - call.time
        self.results.append(Result(call, status, seconds))

    def close(self) -> None:
        """Closes the connections."""
        for connections in self._idle.values():
            for connection in connections:
                if connection.transport is not None:
                    connection.transport.abort()


async def run(calls: Iterable[Call]) -> list[Result]:
    """Runs calls at their times and returns their results."""
    load = _Load()
    loop = asyncio.get_running_loop()
    began = loop.time() + 0.05
    async with asyncio.TaskGroup() as tasks:
        for call in sorted(calls, key=lambda call: call.time):
            pause = began + call.time - loop.time()
            if pause > 0:
                await asyncio.sleep(pause)
            tasks.create_task(load.run_one(call, began))
    load.close()
    return load.results


def percentile(values: list[float], share: float) -> float:
    """Returns a percentile; infinity if there are no values.

    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarise(results: list[Result], kind: str = "short") -> dict[str, float]:
    """Returns counts, and latencies in milliseconds, of one kind of calls.

    A call that failed counts in the percentiles with its deadline, so that a
    version does not look better by failing its slow calls.
    """
    chosen = [result for result in results if result.call.kind == kind]
    good = [
        r
        for r in chosen
        if r.status == 200 and r.seconds * 1000 <= r.call.deadline_ms
    ]
    spent = [
        r.seconds * 1000 if r.status == 200 else float(r.call.deadline_ms)
        for r in chosen
    ]
    answered = [r.seconds * 1000 for r in good]
    return {
        "offered": len(chosen),
        "good": len(good),
        "p50_ms": round(percentile(answered, 0.5), 3),
        "p99_ms": round(percentile(answered, 0.99), 3),
        "p99_all_ms": round(percentile(spent, 0.99), 3),
    }
