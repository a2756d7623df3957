"""Faults that a review of the mended ends and stops found."""

import contextlib
import pathlib
import resource
import signal
import socket

import anyio
import pytest

from standins import appworker
from standins import configurations
from tests import test_process_frames
from tools import platformfleet

SERVICES = ("skladby",)
PATHS = [configurations.path("/track/", "skladby", **{"timeout-s": 8.0})]
# Two segments; a run of zero words crosses the end of the second one.
RUN_BEYOND_A_SEGMENT = bytes.fromhex(
    "01011109005002000101010311050a3105c25d00ff0077"
)


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@contextlib.asynccontextmanager
async def one_machine(**fields):
    """Yields a machine whose daemon serves; fields are of its settings."""
    async with platformfleet.running() as fleet:
        fleet.publish(PATHS, SERVICES)
        machine = await fleet.add("a", "skladby")
        machine.settings["instance"].update(fields)
        fleet.start("a")
        await fleet.wait_ready("a")
        await fleet.wait_served("a", "/track/1")
        yield fleet, machine


async def test_a_run_beyond_a_segment_ends_no_daemon():
    """Guards against 23 bytes at the mesh port that abort a daemon."""
    async with one_machine() as (_fleet, machine):
        peer = await anyio.connect_tcp(machine.host, machine.ports["mesh"])
        await peer.send(test_process_frames.frame(RUN_BEYOND_A_SEGMENT))
        assert await machine.ended(1.0) is None, machine.log_text()
        await peer.aclose()


async def test_a_stop_without_descriptors_is_a_clean_end():
    """Guards against a stop that fails since no descriptor is left."""
    async with one_machine() as (_fleet, machine):
        process = machine.process
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (40, 40))
        address = (machine.host, machine.ports["callers"])
        with contextlib.ExitStack() as stack:

            async def open_repeatedly():
                while machine.is_running:
                    with contextlib.suppress(OSError):
                        connection = socket.create_connection(address, 0.1)
                        stack.enter_context(connection)
                    await anyio.sleep(0.02)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(open_repeatedly)
                await anyio.sleep(0.5)
                code = await machine.stop()
        assert code == 0, machine.log_text()


async def test_a_port_accepts_again_after_an_error_of_accept():
    """Guards against a daemon that is ready and accepts no connections."""
    async with one_machine() as (fleet, machine):
        pid = machine.process.pid
        before = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (10, before[1]))
        address = (machine.host, machine.ports["callers"])
        with contextlib.suppress(OSError):
            socket.create_connection(address, 0.5).close()
        await anyio.sleep(0.5)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, before)
        await anyio.sleep(1.0)
        assert await fleet.is_ready("a")
        assert await fleet.request("a", "/track/1") == 200


MEMORY_MB = 300
# Time in which callers ask for the answers that they do not read.
ASKING_S = 4.0


def resident_mb(pid):
    """Returns the resident memory of a process, in MB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() // 2**20


@pytest.mark.parametrize("count, size", [(40, 8_000_000), (120, 4_000_000)])
async def test_answers_that_nobody_reads_stay_within_the_memory(count, size):
    """Guards against a daemon that is killed for the answers that it holds."""

    async def large(request):
        return appworker.sealed(request, b"x" * size)

    async with platformfleet.running() as fleet:
        fleet.publish(PATHS, SERVICES)
        machine = await fleet.add("a", "skladby")
        machine.settings["instance"]["memory_mb"] = float(MEMORY_MB)
        fleet.start("a")
        await fleet.wait_served("a", "/track/1")
        machine.upstream.behaviour = large
        peak_mb = 0
        with contextlib.ExitStack() as stack:
            for number in range(count):
                caller = stack.enter_context(socket.socket())
                caller.connect((machine.host, machine.ports["callers"]))
                caller.send(
                    b"GET /track/1 HTTP/1.1\r\nhost: %s\r\nrequest-id: q%d\r\n"
                    b"deadline-ms: 7000\r\n\r\n"
                    % (configurations.HOST.encode(), number)
                )
                await anyio.sleep(ASKING_S / count)
                peak_mb = max(peak_mb, resident_mb(machine.process.pid))
        assert peak_mb < MEMORY_MB


@pytest.mark.parametrize("after_s", [0.01, 0.03])
async def test_a_reload_signal_at_once_ends_no_daemon(after_s):
    """Guards against SIGHUP before Python runs the first module."""
    async with platformfleet.running() as fleet:
        fleet.publish(PATHS, SERVICES)
        machine = await fleet.add("a", "skladby")
        process = fleet.start("a")
        await anyio.sleep(after_s)
        process.send_signal(signal.SIGHUP)
        assert await machine.ended(2.0) is None


async def test_a_head_request_is_answered_like_a_get_request():
    """Guards against waiting for the body of an answer that has none."""
    async with one_machine() as (_fleet, machine):
        caller = await anyio.connect_tcp(machine.host, machine.ports["callers"])
        await caller.send(
            b"HEAD /track/1 HTTP/1.1\r\nhost: %s\r\nrequest-id: q1\r\n"
            b"deadline-ms: 900\r\n\r\n" % configurations.HOST.encode()
        )
        with anyio.fail_after(3):
            assert (await caller.receive()).startswith(b"HTTP/1.1 200")
        await caller.aclose()
