"""What ends a daemon that runs as a real process (FAULT)."""

import contextlib
import os
import resource
import signal
import socket
import time

import anyio
import pytest

from standins import configurations
from tools import platformfleet

PATHS = [configurations.path("/track/", "skladby")]
SERVICES = ("skladby",)
# Time after which a daemon that an event would end has ended.
SETTLE_S = 2.0


@contextlib.asynccontextmanager
async def one_machine():
    """Yields a fleet with one machine whose daemon is not started."""
    async with platformfleet.running() as fleet:
        fleet.publish(PATHS, SERVICES)
        yield fleet, await fleet.add("a", "skladby")


async def assert_serves(fleet, machine):
    """Waits until a daemon serves, and checks that it goes on running."""
    await fleet.wait_ready(machine.name)
    await fleet.wait_served(machine.name, "/track/1")
    assert machine.is_running


async def test_a_log_reader_that_goes_away_ends_no_daemon():
    """Guards against daemons that end with the reader of their output."""
    async with one_machine() as (fleet, machine):
        reader, writer = os.pipe()
        fleet.start("a", stdout=writer)
        os.close(writer)
        await assert_serves(fleet, machine)
        os.close(reader)
        await anyio.sleep(SETTLE_S)
        assert machine.is_running, machine.log_text()
        assert await fleet.request("a", "/track/1") == 200
        assert await machine.stop() == 0


async def test_a_full_disk_of_the_log_ends_no_daemon():
    """Guards against daemons that end because a log line has no room."""
    async with one_machine() as (fleet, machine):
        full = os.open("/dev/full", os.O_WRONLY)
        fleet.start("a", stdout=full)
        os.close(full)
        await assert_serves(fleet, machine)
        await anyio.sleep(SETTLE_S)
        assert machine.is_running, machine.log_text()
        assert await machine.stop() == 0


@pytest.mark.parametrize("closed", [(0,), (1,), (2,), (0, 1, 2)])
async def test_closed_standard_descriptors_end_no_daemon(closed):
    """Guards against a start without outputs, and log lines on a socket."""

    def close_descriptors():
        for number in closed:
            os.close(number)

    async with one_machine() as (fleet, machine):
        fleet.start("a", preexec_fn=close_descriptors)
        await assert_serves(fleet, machine)
        for _ in range(20):
            assert await fleet.request("a", "/track/1") == 200
        assert machine.is_running
        assert await machine.stop() == 0


async def test_the_output_stays_blocking_for_other_processes():
    """Guards against a shared output whose other writers lose their lines."""
    async with one_machine() as (fleet, machine):
        reader, writer = os.pipe()
        fleet.start("a", stdout=writer)
        await assert_serves(fleet, machine)
        assert os.get_blocking(writer)
        os.close(reader)
        os.close(writer)


async def test_a_log_reader_that_reads_nothing_delays_no_request():
    """Guards against a daemon that waits for the reader of its output."""
    async with one_machine() as (fleet, machine):
        reader, writer = os.pipe()
        fleet.start("a", stdout=writer)
        await assert_serves(fleet, machine)
        for _ in range(400):
            assert await fleet.request("a", "/nothing/") == 404
        began = time.monotonic()
        assert await fleet.request("a", "/track/1") == 200
        assert time.monotonic() - began < 0.5
        assert await machine.stop() == 0
        os.close(reader)
        os.close(writer)


async def wait_loading(process):
    """Waits until a daemon loads its modules, after Python's own start."""
    maps = anyio.Path(f"/proc/{process.pid}/maps")
    with anyio.fail_after(10):
        while "_socket" not in await maps.read_text():
            await anyio.sleep(0.001)


@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.2, 0.3, 0.5])
async def test_a_reload_signal_during_the_start_ends_no_daemon(after_s):
    """Guards against SIGHUP before the daemon handles it."""
    async with one_machine() as (fleet, machine):
        process = fleet.start("a")
        await wait_loading(process)
        await anyio.sleep(after_s)
        process.send_signal(signal.SIGHUP)
        await assert_serves(fleet, machine)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.2, 0.3])
async def test_a_stop_during_the_start_is_a_clean_end(number, after_s):
    """Guards against an end by the signal in place of exit code 0."""
    async with one_machine() as (fleet, machine):
        process = fleet.start("a")
        await wait_loading(process)
        await anyio.sleep(after_s)
        process.send_signal(number)
        assert await machine.ended(10.0) == 0, machine.log_text()


@pytest.mark.parametrize(
    "number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
)
async def test_signals_until_the_last_moment_leave_a_clean_end(number):
    """Guards against a signal after the handlers of a stop are gone."""
    async with one_machine() as (fleet, machine):
        process = fleet.start("a")
        await assert_serves(fleet, machine)
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 10.0
        while process.poll() is None and time.monotonic() < end:
            process.send_signal(number)
            await anyio.sleep(0.001)
        assert process.poll() == 0, machine.log_text()


@pytest.mark.parametrize("number", [signal.SIGUSR1, signal.SIGUSR2])
async def test_signals_without_a_meaning_end_no_daemon(number):
    """Guards against an end by a signal for the rotation of logs."""
    async with one_machine() as (fleet, machine):
        process = fleet.start("a")
        await assert_serves(fleet, machine)
        process.send_signal(number)
        await anyio.sleep(SETTLE_S / 4)
        assert machine.is_running
        assert await fleet.request("a", "/track/1") == 200


async def test_a_daemon_waits_for_the_ports_of_the_one_before_it():
    """Guards against a restart after which nobody serves."""
    async with one_machine() as (fleet, machine):
        before = fleet.start("a")
        await assert_serves(fleet, machine)
        before.send_signal(signal.SIGTERM)
        await anyio.sleep(0.3)
        fleet.start("a")
        with anyio.fail_after(10):
            while before.poll() is None:
                await anyio.sleep(platformfleet.POLL_PERIOD_S)
        assert before.returncode == 0
        await assert_serves(fleet, machine)


@pytest.mark.parametrize(
    "purpose", ["callers", "mesh", "operators", "ready", "control"]
)
async def test_a_port_that_is_taken_for_a_while_delays_the_start(purpose):
    """Guards against an end because another process holds a port."""
    async with one_machine() as (fleet, machine):
        port = machine.ports[purpose]
        with socket.create_server((machine.host, port)):
            fleet.start("a")
            await anyio.sleep(SETTLE_S)
            assert machine.is_running, machine.log_text()
        await assert_serves(fleet, machine)


async def test_a_stop_while_a_port_is_taken_is_a_clean_end():
    """Guards against a daemon that waits for a port and cannot be stopped."""
    async with one_machine() as (fleet, machine):
        port = machine.ports["mesh"]
        with socket.create_server((machine.host, port)):
            fleet.start("a")
            await anyio.sleep(SETTLE_S)
            assert await machine.stop(5.0) == 0, machine.log_text()


async def test_a_daemon_without_descriptors_goes_on():
    """Guards against an end because no descriptor is left."""
    async with one_machine() as (fleet, machine):
        process = fleet.start("a")
        await assert_serves(fleet, machine)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (40, 40))
        address = (machine.host, machine.ports["callers"])
        with contextlib.ExitStack() as stack:
            for _ in range(100):
                with contextlib.suppress(OSError):
                    stack.enter_context(socket.create_connection(address, 0.1))
            process.send_signal(signal.SIGHUP)
            await anyio.sleep(SETTLE_S)
            assert machine.is_running, machine.log_text()
        await assert_serves(fleet, machine)


async def test_a_stopped_daemon_ends_without_the_cleanup_of_the_interpreter(
    tmp_path,
):
    """Guards against an end that outlasts the grace on a busy machine."""
    async with platformfleet.running() as fleet:
        fleet.publish(PATHS, SERVICES)
        machine = await fleet.add("a", SERVICES[0])
        machine.libraries.insert(0, tmp_path)
        module = tmp_path / "sitecustomize.py"
        module.write_text("import atexit, time; atexit.register(time.sleep, 9)")
        fleet.start("a")
        await fleet.wait_ready("a")
        assert await machine.stop(5.0) == 0, machine.log_text()
