"""Tests of requests from callers that are too large or never complete."""

import contextlib
import signal

import anyio
import pytest

from tests import test_once
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio


async def exchange_bytes(address, *pieces):
    """Sends pieces; returns all bytes that arrive until the connection ends."""
    host, port = address.rsplit(":", 1)
    received = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        with anyio.fail_after(30):
            try:
                for piece in pieces:
                    await stream.send(piece)
                async for piece in stream:
                    received += piece
            except anyio.BrokenResourceError:
                pass
    return received


async def test_bad_requests_do_not_stop_the_daemon():
    """Guards against a daemon that fails on large headers or cut requests."""
    async with test_once.mesh() as (fleet, client):
        address = fleet.ports["a"].callers
        oversized = b"GET / HTTP/1.1\r\nhost: a\r\nx-large: " + b"x" * 200_000
        assert b"431" in (await exchange_bytes(address, oversized))[:20]
        half = (
            b"POST /objednavky?echo=half HTTP/1.1\r\nhost: a\r\n"
            b"rattangauge-deadline-ms: 300\r\nconnection: close\r\n"
            b"content-length: 100\r\n\r\nhalf"
        )
        answer = await exchange_bytes(address, half)
        assert b"call.deadline" in answer and b"not_run" in answer
        good = await client.get(f"http://{address}/objednavky")
        assert good.status_code == 200
        assert await test_once.runs(fleet, "half") == 0


async def test_caller_that_leaves_inside_its_body():
    """Guards against a partial upload that counts as complete."""
    async with test_once.mesh() as (fleet, _client):
        for name in ("a", "c"):
            host, port = fleet.ports[name].callers.rsplit(":", 1)
            async with await anyio.connect_tcp(host, int(port)) as stream:
                head = (
                    b"POST /objednavky?echo=%s HTTP/1.1\r\nhost: a\r\n"
                    b"content-length: 1000000\r\n\r\n"
                ) % name.encode()
                await stream.send(head + b"x" * 100_000)
                await test_once.wait_runs(fleet, name)

        async def is_cut_off():
            counters = await fleet.counters("c")
            return counters.get("cut_off", 0) == 2

        await fleet_module.wait_until(is_cut_off, "both uploads are cut off")
        assert (await fleet.counters("c")).get("finished", 0) == 0


async def test_a_caller_that_stops_inside_its_body_does_not_hold_a_daemon():
    """Guards against a graceful shutdown that waits for a stalled caller.

    Chaos test, seed 43: a caller stopped inside its request body.
    """
    async with test_once.mesh() as (fleet, _client):
        host, port = fleet.ports["a"].callers.rsplit(":", 1)
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(
                b"POST /objednavky?echo=stop HTTP/1.1\r\nhost: a\r\n"
                b"content-length: 1000000\r\n\r\nhalf"
            )
            await anyio.sleep(0.2)
            assert await fleet.stop("a") == 0


async def test_an_answer_before_the_whole_body_does_not_hold_a_daemon():
    """Guards against a shutdown that waits for an unread request body.

    The HTTP server queues a few pieces of a request body. If the queue is
    full, the end of an early response waits for room in it (chaos seed 43).
    """
    async with test_once.mesh() as (fleet, _client):
        host, port = fleet.ports["a"].callers.rsplit(":", 1)
        fleet.signal("c.upstream", signal.SIGSTOP)
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(
                    b"POST /objednavky HTTP/1.1\r\nhost: a\r\n"
                    b"rattangauge-deadline-ms: 1000\r\n"
                    b"content-length: 40000000\r\n\r\n"
                )
                with (
                    contextlib.suppress(anyio.BrokenResourceError),
                    anyio.move_on_after(1.5),
                ):
                    await stream.send(bytes(20_000_000))
                assert await fleet.stop("a") == 0
        finally:
            fleet.signal("c.upstream", signal.SIGCONT)


async def test_cancellation_reaches_the_upstream():
    """Guards against work that goes on after its caller has disconnected."""
    async with test_once.mesh() as (fleet, client):
        address = test_once.url(fleet, "a", "?echo=gone&size=9000000&rate=9000")
        async with client.stream("GET", address) as response:
            assert response.status_code == 200

        async def is_cancelled():
            counters = await fleet.counters("c")
            return counters.get("cancelled", 0) == 1

        await fleet_module.wait_until(is_cancelled, "the upstream stops")
