"""A daemon outlives the mesh connections that others break."""

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
CALLS = 20


async def open_calls_and_reset(address):
    """Opens calls with large answers and resets the connection."""
    host, _, port = address.rpartition(":")
    stream = await anyio.connect_tcp(host, int(port))
    for number in range(1, CALLS + 1):
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
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await anyio.aclose_forcefully(stream)


async def test_daemon_outlives_connections_reset_inside_answers():
    """Guards against a daemon that exits when another one dies or is cut off.

    The error of sending an answer left its stream inside an exception group,
    which ended the whole daemon.
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
