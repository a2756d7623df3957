"""Tests that a daemon keeps running when mesh connections are reset."""

import socket
import struct

import anyio
import httpx
import pytest

from rattangauge.generated import messages
from rattangauge.net import frames
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CALLS_PER_CONNECTION = 20


async def open_calls_and_reset(address):
    """Opens calls with large responses and resets the connection."""
    host, _, port = address.rpartition(":")
    stream = await anyio.connect_tcp(host, int(port))
    for number in range(1, CALLS_PER_CONNECTION + 1):
        call = messages.CallOpen(
            call_id=f"c{number}",
            service="skladby",
            method="GET",
            target="/skladby?size=2000000",
            deadline_ms=10_000,
            last=True,
        )
        await stream.send(frames.pack(number, call))
    await stream.receive()
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await anyio.aclose_forcefully(stream)


async def test_daemon_outlives_connections_reset_inside_answers():
    """Guards against a daemon that exits when another daemon fails.

    The error of sending a response was raised inside an exception group, which
    the handler of the stream did not catch, so the daemon ended.
    """
    async with fleet_module.fleet() as fleet:
        await fleet.start(fleet_module.Worker("a", 1, "skladby"))
        await fleet.wait_serving("skladby", 1)
        ports = fleet.ports["a"]
        for _ in range(5):
            with anyio.fail_after(20):
                await open_calls_and_reset(ports.mesh)
            await anyio.sleep(0.2)
        async with httpx.AsyncClient(timeout=10.0) as client:
            health = await client.get(f"http://{ports.operators}/health")
        assert health.status_code == 200
        assert fleet.processes["a"].returncode is None
