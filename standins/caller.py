"""Stand-in for callers: open-loop load with checks of every answer.

Arrivals follow a seeded Poisson process and do not wait for answers, so a slow
system does not slow the load. Latency counts from the planned arrival. Each
call carries a token that the upstream stand-in echoes and counts.
"""

import argparse
from collections.abc import AsyncIterator
import itertools
import json
import random
from typing import Any
from typing import NamedTuple
import urllib.parse

import anyio
from hdrh import histogram
import httpcore

from rattangauge import util
from rattangauge.net import network_backend

# Latency is recorded in microseconds up to 100 s with three digits.
MAX_LATENCY_US = 100_000_000
LATENCY_DIGITS = 3
CALL_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 500
BODY_PIECES = 20

ANSWERED = "answered"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
# The connection broke before the answer was whole.
BROKEN = "broken"
# The answer is not the whole answer to the caller's own request.
WRONG = "wrong"

# Errors of a connection or of a time-out.
FAILURES = (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError)


class Call(NamedTuple):
    """What a caller sends.

    Attributes:
        path: Path of the request.
        method: HTTP method.
        size: Least size of the answer, in bytes.
        body_bytes: Size of the request body.
        key: Idempotency key; empty for none.
        token: Token to echo; empty for a fresh one.
        query: More of the query, such as ``work_ms=5``.
        headers: More headers.
        body_s: Time over which the body is sent, in seconds.
    """

    path: str
    method: str = "GET"
    size: int = 0
    body_bytes: int = 0
    key: str = ""
    token: str = ""
    query: str = ""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body_s: float = 0.0


class Result(NamedTuple):
    """What a caller saw of one call.

    Attributes:
        token: Token of the call.
        call: The call.
        outcome: One of the constants of this module.
        latency_s: Time from the planned arrival to the end, in seconds.
        at_s: Planned arrival on the clock of ``anyio.current_time``.
        detail: Status, code or fault.
        instance: Upstream that answered, if one did.
    """

    token: str
    call: Call
    outcome: str
    latency_s: float
    at_s: float
    detail: str = ""
    instance: str = ""


class Answer(NamedTuple):
    """Status, headers and body of an HTTP answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


def check_answer(call: Call, token: str, body: bytes) -> str:
    """Returns what is wrong with the body of an answer; empty if nothing.

    >>> body = b'{"echo": "t1", "received": 0}...'
    >>> check_answer(Call("/a", size=len(body)), "t1", body)
    ''
    >>> check_answer(Call("/a"), "t2", body)
    "the answer echoes 't1' instead of 't2'"
    """
    text = body.rstrip(b".")
    try:
        reply = json.loads(text)
        echo, received = reply["echo"], reply["received"]
    except (ValueError, KeyError, TypeError):
        return f"the answer is no reply of an upstream: {body[:80]!r}"
    if echo != token:
        return f"the answer echoes {echo!r} instead of {token!r}"
    if len(body) != max(call.size, len(text)):
        return f"the answer has {len(body)} bytes instead of {call.size}"
    if received != call.body_bytes:
        return f"the upstream received {received} of {call.body_bytes} bytes"
    return ""


async def _slow_body(call: Call) -> AsyncIterator[bytes]:
    size = max(1, call.body_bytes // BODY_PIECES)
    for begin in range(0, call.body_bytes, size):
        await anyio.sleep(call.body_s / BODY_PIECES)
        yield b"x" * min(size, call.body_bytes - begin)


def _body(call: Call) -> bytes | AsyncIterator[bytes] | None:
    if call.body_s:
        return _slow_body(call)
    return b"x" * call.body_bytes if call.body_bytes else None


def _failure(answer: Answer) -> tuple[str, str]:
    """Returns outcome and detail of an answer that is no upstream's."""
    header = answer.headers.get(b"rattangauge-outcome", b"").decode()
    outcome = NOT_RUN if header == "not-run" else UNKNOWN
    try:
        code = json.loads(answer.body)["code"]
    except (ValueError, KeyError, TypeError):
        code = ""
    return outcome, f"{answer.status} {code}".strip()


class Recorder:
    """Results and latencies of calls."""

    def __init__(self) -> None:
        """Creates an empty record."""
        self._results: list[Result] = []
        self._histogram = histogram.HdrHistogram(
            1, MAX_LATENCY_US, LATENCY_DIGITS
        )

    @property
    def results(self) -> list[Result]:
        """All results in the order in which the calls ended."""
        return self._results

    def add(self, result: Result) -> None:
        """Records a result; the latency counts only if it was answered."""
        self._results.append(result)
        if result.outcome == ANSWERED:
            latency_us = int(result.latency_s * 1_000_000)
            self._histogram.record_value(min(latency_us, MAX_LATENCY_US))

    def count(self, outcome: str) -> int:
        """Returns the number of calls with an outcome."""
        return sum(result.outcome == outcome for result in self._results)

    def latency_ms(self, percentile: float) -> float:
        """Returns a percentile of the latency, in milliseconds."""
        return self._histogram.get_value_at_percentile(percentile) / 1000

    def summary(self) -> dict[str, Any]:
        """Returns counts by outcome and the main percentiles."""
        outcomes = (ANSWERED, NOT_RUN, UNKNOWN, BROKEN, WRONG)
        return {
            "calls": len(self._results),
            **{outcome: self.count(outcome) for outcome in outcomes},
            "p50_ms": self.latency_ms(50),
            "p99_ms": self.latency_ms(99),
        }


class Caller:
    """A caller with keep-alive connections to one or more daemons."""

    def __init__(self, addresses: list[str], seed: int) -> None:
        """Creates a caller.

        Args:
            addresses: ``callers`` addresses of daemons, used in turn.
            seed: Seed of arrivals and tokens.
        """
        self._random = random.Random(seed)
        self._seed = seed
        self._numbers = itertools.count(1)
        self._addresses = itertools.cycle(addresses)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=60.0,
            network_backend=network_backend.Backend(),
        )
        self.recorder = Recorder()

    async def __aenter__(self) -> "Caller":
        """Opens the connections' pool."""
        await self._pool.__aenter__()
        return self

    async def __aexit__(self, *error: Any) -> None:
        """Closes all connections."""
        await self._pool.__aexit__(*error)

    async def _request(self, address: str, call: Call, token: str) -> Answer:
        query = f"echo={token}&size={call.size}"
        target = f"{call.path}?{query}&{call.query}".rstrip("&")
        headers = [(b"host", address.encode()), *call.headers]
        if call.key:
            headers.append((b"idempotency-key", call.key.encode()))
        if call.body_bytes or call.method == "POST":
            length = b"%d" % call.body_bytes
            headers.append((b"content-length", length))
        response = await self._pool.request(
            call.method,
            f"http://{address}{target}",
            headers=headers,
            content=_body(call),
        )
        names = {name.lower(): value for name, value in response.headers}
        return Answer(response.status, names, response.content)

    async def call(self, call: Call, at_s: float | None = None) -> Result:
        """Sends one call and records what came back.

        Args:
            call: The call.
            at_s: Planned arrival; now if not given.
        """
        started = anyio.current_time() if at_s is None else at_s
        token = call.token or f"t{self._seed}-{next(self._numbers)}"
        instance = ""
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                address = next(self._addresses)
                answer = await self._request(address, call, token)
            outcome, detail = _failure(answer)
            if answer.status == 200:
                detail = check_answer(call, token, answer.body)
                outcome = WRONG if detail else ANSWERED
            if outcome == ANSWERED:
                instance = json.loads(answer.body.rstrip(b"."))["instance"]
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            outcome, detail = NOT_RUN, f"connect: {error!r}"
        except FAILURES as error:
            outcome, detail = BROKEN, repr(error)
        except anyio.get_cancelled_exc_class():
            # A request that was sent may run, so it must not be forgotten.
            latency_s = anyio.current_time() - started
            self.recorder.add(
                Result(token, call, UNKNOWN, latency_s, started, "cancelled")
            )
            raise
        latency_s = anyio.current_time() - started
        result = Result(
            token, call, outcome, latency_s, started, detail, instance
        )
        self.recorder.add(result)
        return result

    async def run(
        self, calls: list[Call], rate: float, duration_s: float
    ) -> None:
        """Sends calls at seeded arrival times, and waits for their ends.

        Args:
            calls: Calls to choose from; each is as likely as the others.
            rate: Mean number of calls a second.
            duration_s: Time in which calls arrive, in seconds.
        """
        at_s = anyio.current_time()
        end_s = at_s + duration_s
        async with anyio.create_task_group() as tasks:
            while (at_s := at_s + self._random.expovariate(rate)) < end_s:
                await anyio.sleep_until(at_s)
                chosen = self._random.choice(calls)
                tasks.start_soon(self.call, chosen, at_s)

    async def repeat(self, call: Call, times: int) -> list[Result]:
        """Sends the same call with the same key and token at the same time."""
        token = call.token or f"t{self._seed}-{next(self._numbers)}"
        same = call._replace(token=token, key=call.key or f"key-{token}")
        results: list[Result] = []

        async def send() -> None:
            results.append(await self.call(same))

        async with anyio.create_task_group() as tasks:
            for _ in range(times):
                tasks.start_soon(send)
        return results


async def _send_raw(
    address: str, path: str, body: bytes, length: int
) -> anyio.abc.SocketStream:
    host, port = util.parse_address(address)
    stream = await anyio.connect_tcp(host, port)
    head = f"POST {path} HTTP/1.1\r\nhost: {address}\r\n"
    head += f"content-length: {length}\r\n\r\n"
    await stream.send(head.encode() + body)
    return stream


async def read_nothing(
    address: str, path: str, size: int, hold_s: float
) -> None:
    """Asks for a large answer, reads none of it for a time, and closes."""
    separator = "&" if "?" in path else "?"
    target = f"{path}{separator}size={size}"
    async with await _send_raw(address, target, b"", 0):
        await anyio.sleep(hold_s)


async def send_half(
    address: str, path: str, length: int, hold_s: float
) -> None:
    """Sends half of the announced body, waits, and closes."""
    half = b"x" * (length // 2)
    async with await _send_raw(address, path, half, length):
        await anyio.sleep(hold_s)


async def issue_key(address: str, method: str, path: str) -> str:
    """Asks a daemon to issue a key; empty if it does not."""
    request = json.dumps({"method": method, "path": path}).encode()
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"http://{address}/.rattangauge/keys",
            headers=[
                (b"host", address.encode()),
                (b"content-type", b"application/json"),
                (b"content-length", b"%d" % len(request)),
            ],
            content=request,
        )
    if response.status != 200:
        return ""
    return json.loads(response.content).get("key", "")


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description="Stand-in of callers.")
    parser.add_argument("--address", action="append", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--size", type=int, default=0)
    parser.add_argument("--body-bytes", type=int, default=0)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--duration-s", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


async def serve(options: argparse.Namespace) -> None:
    """Sends the calls of the command line and prints the summary as JSON."""
    path, _, query = options.path.partition("?")
    call = Call(
        urllib.parse.quote(path),
        options.method,
        options.size,
        options.body_bytes,
        query=query,
    )
    async with Caller(options.address, options.seed) as caller:
        await caller.run([call], options.rate, options.duration_s)
    print(json.dumps(caller.recorder.summary()))


def main() -> None:
    """Runs the command line."""
    anyio.run(serve, parse_arguments(), backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
