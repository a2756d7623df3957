"""Unexpected errors in the loops of the daemon (FAULT)."""

import asyncio
import functools
import gc
import os
import signal

import anyio
import pytest
from rattangauge_platform import announcements
from rattangauge_platform import headers
from rattangauge_platform import program
from rattangauge_platform import rollouts
from rattangauge_platform import store as store_module

from rattangauge import decisionlog
from rattangauge import futures
from rattangauge import metrics
from rattangauge import supervision
from rattangauge.net import connection_monitor
from rattangauge.net import connections
from rattangauge.sidecar import directory
from rattangauge.sidecar import node as node_module
from rattangauge.sidecar import peerexchange
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
LATER = meshes.path("/later/", "skladby")
# Where each case raises: what has the function that a loop calls, and its name.
PLACES = {
    "directory": (lambda node: node._peer_exchange._directory, "_read"),
    "directory-entry": (
        lambda node: node._peer_exchange._directory,
        "_add_peer",
    ),
    "sources": (lambda node: node._peer_exchange._sources, "current"),
    "upstream-reports": (lambda node: node._peer_exchange, "_refresh"),
    "peer": (lambda node: node._peer_exchange, "_exchange"),
    "peer-period": (lambda node: node._peer_exchange, "_period_s"),
    "store": (lambda node: node._config_sync, "_ask_store"),
    "store-role": (lambda node: node._config_sync, "_must_watch"),
    "pull-choice": (lambda node: node._config_sync, "_choose_source"),
    "monitors": (
        lambda _node: connection_monitor.ConnectionMonitor,
        "check_all",
    ),
    "connections": (lambda _node: connections.Connection, "check"),
}
ERRORS = {
    "once": [RuntimeError],
    "in-a-row": [KeyError, RecursionError, UnicodeError, MemoryError],
    "cancelled-future": [asyncio.CancelledError],
}


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


class Failures:
    """Replaces a function by one that raises errors before it works again.

    Attributes:
        left: Errors that are still to be raised.
        calls: Calls since all of them were raised.
    """

    def __init__(self, monkeypatch, owner, name, error_types):
        """Replaces the function."""
        self.left = list(error_types)
        self.calls = 0
        function = getattr(owner, name)

        @functools.wraps(function)
        def fail_first(*args, **fields):
            if self.left:
                raise self.left.pop(0)("for the test")
            self.calls += 1
            return function(*args, **fields)

        monkeypatch.setattr(owner, name, fail_first)

    async def is_over(self):
        """Tells whether the function was called again after all errors."""
        return self.calls > 0


def counted_failures():
    """Returns the number of failures in the metrics."""
    (metric,) = metrics.LOOP_FAILURES.collect()
    return sum(s.value for s in metric.samples if s.name.endswith("_total"))


def loop_failures(instance):
    """Returns the events of failed loops of a daemon."""
    return [e for e in instance.events() if e["event"] == "loop_failed"]


async def send_changes(instance):
    """Sends heartbeats of which each one changes what peers must learn."""
    slots = 4
    while True:
        slots += 1
        await instance.send_heartbeat(slots=slots)
        await anyio.sleep(0.05)


@pytest.mark.parametrize("errors_name", ERRORS)
@pytest.mark.parametrize("place", PLACES)
async def test_an_error_in_a_loop_ends_neither_it_nor_the_daemon(
    place, errors_name, monkeypatch
):
    """Guards against a daemon that an unexpected error ends or cripples."""
    monkeypatch.setattr(directory, "PERIOD_S", 0.1)
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", "b")
        instance = mesh.instances["a"]
        counted_before = counted_failures()
        mesh.tasks.start_soon(send_changes, instance)
        find_owner, name = PLACES[place]
        error_types = ERRORS[errors_name]
        failures = Failures(
            monkeypatch, find_owner(instance.node), name, error_types
        )
        await mesh.wait(failures.is_over, 10.0)
        mesh.publish([TRACK, LATER])
        await mesh.wait(lambda: answers(mesh, "/later/x"))
        both = mesh.instances.values()
        assert not any(i.is_ended for i in both)
        assert sum(len(loop_failures(i)) for i in both) == len(error_types)
        assert counted_failures() - counted_before == len(error_types)


async def answers(mesh, target):
    """Tells whether both instances answer a request with 200."""
    for name in mesh.instances:
        status, _, _ = await mesh.call(name, target)
        if status != 200:
            return False
    return True


async def test_a_failed_poll_is_repeated_later(monkeypatch):
    """Guards against a watcher that is never polled again."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", "b")
        exchange = mesh.instances["a"].node._peer_exchange
        address = mesh.instances["b"].settings.listen.mesh
        poll = exchange._poll
        failures = Failures(monkeypatch, exchange, "_exchange", [RuntimeError])
        mesh.tasks.start_soon(poll, address)
        await mesh.wait(failures.is_over)
        assert address not in exchange._polling
        exchange._start_poll(address)
        assert address in exchange._polling


async def test_a_peer_whose_exchange_always_fails_is_removed(monkeypatch):
    """Guards against a peer that stays for ever, and an exchange with it."""
    monkeypatch.setattr(peerexchange, "REMOVE_AFTER_S", 0.5)
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", "b")
        node = mesh.instances["a"].node
        address = mesh.instances["b"].settings.listen.mesh
        Failures(monkeypatch, node._peer_exchange, "_exchange", [KeyError] * 99)

        async def is_removed():
            return address not in node._peer_exchange._exchanging

        await mesh.wait(is_removed, 10.0)


async def test_a_configuration_whose_use_failed_is_used_later(monkeypatch):
    """Guards against a version that counts as in force and is not."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", "b")
        for instance in mesh.instances.values():
            sync = instance.node._config_sync
            Failures(monkeypatch, sync, "_apply", [RuntimeError] * 2)
        mesh.publish([TRACK, LATER])
        await mesh.wait(lambda: answers(mesh, "/later/x"))


async def test_a_failed_check_closes_that_connection_alone():
    """Guards against one connection that ends all others with it."""

    class Checked:
        is_quiet = False
        closed = 0
        checks = 0

        def check(self, _now, _was_paused):
            self.checks += 1

        def close(self):
            self.closed += 1

    class Failing(Checked):
        def check(self, _now, _was_paused):
            raise RuntimeError("for the test")

    monitor = connection_monitor.ConnectionMonitor(0.1)
    kinds = (Checked, Failing, Checked, Failing, Checked)
    checked = [kind() for kind in kinds]
    for connection in checked:
        monitor.add(connection)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(monitor.run)
        await anyio.sleep(0.2)
        assert [c.closed for c in checked] == [0, 1, 0, 1, 0]
        assert all(c.checks > 3 for c in checked if type(c) is Checked)
        tasks.cancel_scope.cancel()


async def test_a_reload_that_fails_leaves_the_signals_in_force():
    """Guards against a signal to reload that ends the daemon."""
    async with meshes.running() as mesh:
        instance = await mesh.prepare("a")
        mesh.publish([TRACK])
        calls = []

        def reload():
            calls.append(1)
            raise RuntimeError("for the test")

        async def run():
            client = program._store_client(instance.settings)
            async with client:
                store = store_module.ObjectStore(client)
                await node_module.run(
                    instance.settings,
                    headers.HEADER_NAMES,
                    store,
                    rollouts.RolloutObjects(store),
                    announcements.parse,
                    instance.log,
                    reload,
                )
            calls.append("ended")

        mesh.tasks.start_soon(run)
        await mesh.wait(instance.is_ready)
        for count in (1, 2):
            os.kill(os.getpid(), signal.SIGHUP)
            with anyio.fail_after(2):
                while len(calls) < count:
                    await anyio.sleep(0.01)
        await mesh.wait(instance.is_ready)
        assert len(loop_failures(instance)) == 2
        os.kill(os.getpid(), signal.SIGTERM)
        with anyio.fail_after(6):
            while "ended" not in calls:
                await anyio.sleep(0.01)


async def test_the_settings_are_read_again_after_an_error(
    monkeypatch, tmp_path
):
    """Guards against a settings file that ends the daemon."""
    monkeypatch.setattr(program, "RELOAD_PERIOD_S", 0.02)
    reads = Failures(
        monkeypatch, program.settings_module, "load", [RuntimeError] * 2
    )
    lines = bytearray()

    def write(data):
        lines.extend(data)
        return len(data)

    async with meshes.running() as mesh:
        instance = await mesh.prepare("a")
        mesh.publish([TRACK])
        log = decisionlog.DecisionLog("a", "zone-1", write)
        mesh.tasks.start_soon(
            program._run_node,
            tmp_path / "missing.toml",
            instance.settings,
            log,
        )
        # The file does not exist: the function raises an expected error.
        await mesh.wait(reads.is_over)
        await mesh.wait(instance.is_ready)
        log.flush()
        assert lines.count(b'"loop_failed"') == 2


async def test_the_log_is_written_after_an_error(monkeypatch):
    """Guards against a log that ends the daemon or is never written again."""
    async with meshes.running() as mesh:
        instance = await mesh.prepare("a")
        mesh.publish([TRACK])
        flushes = Failures(
            monkeypatch, instance.log, "flush", [OSError, RuntimeError]
        )

        async def run():
            client = program._store_client(instance.settings)
            async with client:
                store = store_module.ObjectStore(client)
                await node_module.run(
                    instance.settings,
                    headers.HEADER_NAMES,
                    store,
                    rollouts.RolloutObjects(store),
                    announcements.parse,
                    instance.log,
                    lambda: None,
                )

        mesh.tasks.start_soon(run)
        await mesh.wait(flushes.is_over)
        await mesh.wait(instance.is_ready)


async def test_a_listener_that_cannot_open_ends_the_start():
    """Guards against a daemon that looks alive and listens nowhere."""
    async with meshes.running() as mesh:
        instance = await mesh.prepare("a")
        listen = instance.settings.listen._replace(mesh="no address")
        instance.settings = instance.settings._replace(listen=listen)
        with pytest.raises(ExceptionGroup):
            await instance.run()


async def test_a_cancelled_loop_is_not_run_again():
    """Guards against a daemon that does not end when it is told to."""
    failures, starts = [], []

    async def loop():
        starts.append(1)
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        named = supervision.Loop("for the test")
        tasks.start_soon(supervision.run, failures.append, named, loop)
        task = asyncio.create_task(
            supervision.run(failures.append, named, loop)
        )
        await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
        task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert (len(starts), failures) == (2, [])


async def test_a_loop_that_returns_ends():
    """Guards against a loop that runs again though its work is done."""
    starts = []

    async def loop(argument):
        starts.append(argument)

    named = supervision.Loop("for the test")
    await supervision.run(supervision.log_failure, named, loop, "a")
    assert starts == ["a"]


async def test_the_place_of_a_cancelled_future_is_that_of_its_wait():
    """Guards against a log line that names the supervision as the fault."""
    failures = []

    async def wait_for_cancelled():
        if failures:
            return
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future

    named = supervision.Loop("for the test", "a subject")
    await supervision.run(failures.append, named, wait_for_cancelled)
    (failure,) = failures
    assert "wait_for_cancelled" in failure.place
    assert failure.subject == "a subject"


async def test_the_pauses_between_failures_grow_to_a_bound(monkeypatch):
    """Guards against a loop that fails without a pause, or stays away."""
    failures = []
    monkeypatch.setattr(supervision, "FIRST_PAUSE_S", 0.001)
    monkeypatch.setattr(supervision, "MAX_PAUSE_S", 0.01)

    async def loop():
        if len(failures) < 9:
            raise RuntimeError("for the test")

    named = supervision.Loop("for the test")
    await supervision.run(failures.append, named, loop)
    assert [failure.failures for failure in failures] == list(range(1, 10))
    pauses = [failure.pause_s for failure in failures]
    assert max(pauses) <= 0.01 and min(pauses[5:]) >= 0.005 > pauses[0]


async def test_an_error_of_the_announcement_cuts_no_call_off(monkeypatch):
    """Guards against a stop that ends the calls that run."""
    async with meshes.running() as mesh:
        await mesh.start_instances([TRACK], "a", work_s=0.5)
        instance = mesh.instances["a"]
        exchange = instance.node._peer_exchange
        caller = await mesh.connect("a")
        await caller.send("/track/1", "GET", b"")
        await anyio.sleep(0.2)
        Failures(monkeypatch, exchange, "_refresh", [RuntimeError])
        instance.node.stop()
        with anyio.fail_after(3):
            status, _, _ = await caller.receive()
        assert status == 200
        assert len(loop_failures(instance)) == 1


async def test_errors_that_nobody_awaits_are_recorded():
    """Guards against errors of callbacks and tasks that no log names."""
    failures = []
    supervision.watch_callbacks(failures.append)

    def fail_in_callback():
        raise RuntimeError("of a callback")

    async def fail_in_task():
        raise RuntimeError("of a task")

    async def lose_connection():
        raise ConnectionError("of a connection")

    loop = asyncio.get_running_loop()
    loop.call_later(0.01, fail_in_callback)
    tasks = futures.Tasks()
    tasks.start(fail_in_task())
    tasks.start(lose_connection())
    await anyio.sleep(0.05)
    gc.collect()
    await anyio.sleep(0.05)
    texts = sorted(failure.error for failure in failures)
    assert texts == [
        "RuntimeError('of a callback')",
        "RuntimeError('of a task')",
    ]
    assert all(failure.loop == "event loop" for failure in failures)
