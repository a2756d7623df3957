"""The relay between zones."""

import contextlib
from typing import NamedTuple

import anyio
import pytest

from standins import relay as relay_module
from tests import builders
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio

# Time in which each zone has sent something through the relay.
RELAYED_S = 30.0


class Bench(NamedTuple):
    """A relay with one route from zone 1 to an echo server in zone 2."""

    relay: relay_module.Relay
    listen: str

    def set_fault(self, mode):
        """Sets the fault from zone 1 to zone 2."""
        self.relay.pair(1, 2).set_fault(relay_module.Mode(mode), 0.0)

    async def connect(self):
        """Connects from an address of zone 1."""
        host, _, port = self.listen.rpartition(":")
        return await anyio.connect_tcp(host, int(port), local_host="127.0.1.9")


async def echo(stream):
    async with stream:
        with contextlib.suppress(anyio.BrokenResourceError):
            async for piece in stream:
                await stream.send(piece)


@pytest.fixture
async def bench():
    listener = await anyio.create_tcp_listener(local_host="127.0.2.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, echo)
        relay = relay_module.Relay(tasks)
        listen = fleet_module.free_address("127.0.2.1")
        route = relay_module.Route(listen, f"127.0.2.1:{port}", 2)
        await relay.add(route)
        yield Bench(relay, listen)
        tasks.cancel_scope.cancel()


async def passes(stream):
    """Tells whether a byte comes back, or nothing for a while."""
    with anyio.move_on_after(0.5):
        await stream.send(b"x")
        return await stream.receive() == b"x"
    return False


async def test_cut_resets_open_and_new_connections(bench):
    """Guards against a partition through which some connections still pass."""
    stream = await bench.connect()
    assert await passes(stream)
    bench.set_fault("cut")
    with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
        await stream.receive()
    with pytest.raises((OSError, anyio.BrokenResourceError)):
        await (await bench.connect()).receive()
    bench.set_fault("pass")
    assert await passes(await bench.connect())


async def test_frozen_connections_stay_silent_while_new_ones_work(bench):
    """Guards against a fault F8 that heals or hits new connections."""
    stream = await bench.connect()
    assert await passes(stream)
    bench.set_fault("freeze_open")
    assert not await passes(stream)
    assert await passes(await bench.connect())
    bench.set_fault("pass")
    assert not await passes(stream)


async def test_black_hole_delivers_late(bench):
    """Guards against losing what a partition only held back."""
    stream = await bench.connect()
    assert await passes(stream)
    bench.set_fault("black_hole")
    assert not await passes(stream)
    bench.set_fault("pass")
    with anyio.fail_after(10):
        assert await stream.receive() == b"x"


async def test_one_way_holds_back_only_what_comes_back(bench):
    """Guards against a cut in one direction that cuts both or none."""
    stream = await bench.connect()
    assert await passes(stream)
    bench.set_fault("one_way")
    sent_before = bench.relay.pair(1, 2).counters["bytes"]
    assert not await passes(stream)
    assert bench.relay.pair(1, 2).counters["bytes"] == sent_before + 1
    bench.set_fault("pass")
    with anyio.fail_after(10):
        assert await stream.receive() == b"x"


async def test_fleet_runs_through_the_relay():
    """Guards against mesh or platform traffic that evades the relay."""
    async with fleet_module.fleet(relayed=True) as fleet:
        await fleet.start(
            fleet_module.Worker("a", 1), fleet_module.Worker("b", 2, "skladby")
        )
        await fleet.wait_serving("skladby", 1)
        objects = builders.object_set()
        await fleet_module.put_edition(fleet.platform_url, 1, objects)
        await fleet.wait_version(1)

        async def has_passed(pair):
            counters = await fleet.relay_counters()
            return counters.get(pair, {"bytes": 0})["bytes"] > 0

        # A daemon may have the version from a peer before it asks the platform.
        with anyio.fail_after(RELAYED_S):
            for pair in ("1-2", "1-0", "2-0"):
                while not await has_passed(pair):
                    await anyio.sleep(0.05)
