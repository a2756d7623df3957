"""Configuration distribution and membership of daemon processes."""

import contextlib
import signal

import anyio
import httpx
import pytest

from rattangauge.generated import objects as generated
from tests import builders
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio

STORE_CALLS = ("reads", "writes", "watches")


def _workers(*zones, **options):
    return [
        fleet_module.Worker(f"d{index}", zone, **options)
        for index, zone in enumerate(zones)
    ]


async def _put_edition(fleet, version, **policy):
    objects = builders.object_set(timeout_ms=version, **policy)
    await fleet_module.put_edition(fleet.platform_url, version, objects)


async def _start_with_edition(fleet, *workers):
    await fleet.start(*workers)
    await _put_edition(fleet, 1)
    await fleet.wait_version(1)


async def _count_store_calls(fleet):
    counters = await fleet.get_json(f"{fleet.platform_url}/counters")
    return sum(counters[name] for name in STORE_CALLS)


async def _wait_status(fleet, name, holds, what):
    async def check():
        with contextlib.suppress(httpx.HTTPError):
            return holds(await fleet.status(name))
        return False

    await fleet_module.wait_until(check, f"{name}: {what}")


def _state_of(instance, state):
    def holds(status):
        return any(
            proxy["instance"] == instance and proxy["state"] == state
            for proxy in status["proxies"]
        )

    return holds


def _has_alive(count):
    def holds(status):
        states = [proxy["state"] for proxy in status["proxies"]]
        return states.count("alive") == count

    return holds


async def test_bad_reference_in_the_store_is_refused_by_every_proxy():
    """Guards against an invalid edition that is put in force."""
    async with fleet_module.fleet() as fleet:
        await _start_with_edition(fleet, *_workers(1, 1, 2, 2))
        objects = builders.object_set()
        objects["route"]["bad"] = generated.Route("bad", "missing", "/bad")
        await fleet_module.put_edition(fleet.platform_url, 2, objects)

        def rejected(status):
            shown = {
                proxy["instance"]: proxy["rejected_code"]
                for proxy in status["proxies"]
                if proxy["rejected_version"] == 2 and proxy["version"] == 1
            }
            return shown.get(status["instance"]) == "object.reference"

        for name in fleet.workers:
            await _wait_status(fleet, name, rejected, "refused version 2")
        await _put_edition(fleet, 3)
        await fleet.wait_version(3)


async def test_killed_gateway_is_replaced_and_returns():
    """Guards against a zone without gateways that gets no new versions."""
    async with fleet_module.fleet() as fleet:
        await _start_with_edition(fleet, *_workers(1, 1, 1, 1))
        gateways = (await fleet.status("d0"))["gateways"]
        for name in gateways:
            await fleet.kill(name)
        await _put_edition(fleet, 2)
        remaining = [name for name in fleet.workers if name not in gateways]
        await fleet.wait_version(2, remaining)
        for name in remaining:
            await _wait_status(
                fleet, name, _state_of(gateways[0], "dead"), "removed"
            )
        await fleet.start_daemon(gateways[0])
        await fleet.wait_version(2, [gateways[0]])
        for name in remaining:
            await _wait_status(
                fleet, name, _state_of(gateways[0], "alive"), "is back"
            )


async def test_frozen_gateway_is_declared_dead_and_refutes():
    """Guards against a resumed daemon that stays dead or outdated.

    A daemon that was paused must refute its state and get the new version.
    """
    async with fleet_module.fleet() as fleet:
        await _start_with_edition(fleet, *_workers(1, 1, 1, 1))
        frozen = (await fleet.status("d0"))["gateways"][0]
        remaining = [name for name in fleet.workers if name != frozen]
        fleet.signal(frozen, signal.SIGSTOP)
        for name in remaining:
            await _wait_status(fleet, name, _state_of(frozen, "dead"), "dead")
        await _put_edition(fleet, 2)
        await fleet.wait_version(2, remaining)
        fleet.signal(frozen, signal.SIGCONT)
        await fleet.wait_version(2, [frozen])
        for name in remaining:
            await _wait_status(fleet, name, _state_of(frozen, "alive"), "back")
        await _wait_status(fleet, frozen, _has_alive(4), "knows all")


async def test_platform_down_and_back():
    """Guards against restarts that need the store, and a watch that hangs."""
    async with fleet_module.fleet() as fleet:
        await _start_with_edition(fleet, *_workers(1, 1, 1, 2, 2))
        await fleet.control(fleet.platform_url, down=True)
        await fleet.kill("d1")
        await fleet.start_daemon("d1")
        await fleet.wait_version(1, ["d1"])
        await fleet.control(fleet.platform_url, down=False)
        await _put_edition(fleet, 2)
        await fleet.wait_version(2)


async def test_zone_without_platform_follows_other_zones():
    """Guards against outdated daemons in a zone that cannot reach the store."""
    cut_off = {"platform": {"url": "http://127.0.0.1:9"}}
    async with fleet_module.fleet() as fleet:
        await _start_with_edition(
            fleet,
            fleet_module.Worker("d0", 1),
            fleet_module.Worker("d1", 1),
            fleet_module.Worker("c0", 2, settings=cut_off),
            fleet_module.Worker("c1", 2, settings=cut_off),
            fleet_module.Worker("c2", 2, settings=cut_off),
        )
        await _put_edition(fleet, 2)
        await fleet.wait_version(2)
        status = await fleet.status("c0")
        assert status["zone"] == "zone-2"


async def test_zone_killed_at_once_returns_with_bounded_store_calls():
    """Guards against many store calls when all daemons of a zone restart."""
    async with fleet_module.fleet() as fleet:
        await _start_with_edition(
            fleet, *_workers(1, 1, 1, 1, 1, 1, 1, 1, 2, 2)
        )
        zone = [name for name, w in fleet.workers.items() if w.zone == 1]
        for name in zone:
            await fleet.kill(name)
        before = await _count_store_calls(fleet)
        for name in zone:
            await fleet.start_daemon(name)
        await fleet.wait_version(1, zone)
        await _wait_status(
            fleet, zone[0], _has_alive(len(zone)), "knows the zone"
        )
        # A daemon that takes itself for a gateway starts to watch the store up
        # to two ping periods after it has joined.
        await anyio.sleep(4.0)
        store_calls = await _count_store_calls(fleet) - before
        # Two gateways make a short and a long watch each. One more daemon is a
        # gateway while its member table is incomplete, and two zones write
        # their status.
        assert store_calls <= 14, store_calls


async def test_restart_is_never_below_the_version_before():
    """Guards against a restarted daemon that adopts an older version."""
    async with fleet_module.fleet() as fleet:
        await _start_with_edition(fleet, *_workers(1, 1, 1))
        await _put_edition(fleet, 5)
        await fleet.wait_version(5)
        await _put_edition(fleet, 3)
        await fleet.kill("d0")
        await fleet.start_daemon("d0")
        await fleet.wait_version(3, ["d0"])
        assert (await fleet.status("d0"))["version"] == 5


async def test_draining_and_leaving_are_told():
    """Guards against calls to an upstream that is draining or has left."""
    async with fleet_module.fleet() as fleet:
        workers = _workers(1, 1, 1, service="skladby")
        await _start_with_edition(
            fleet, *workers, fleet_module.Worker("other", 2)
        )
        await fleet.wait_serving("skladby", 3)
        await fleet.control_upstream("d1", draining=True)

        def serving(count):
            def holds(status):
                services = {
                    summary["zone"]: summary["services"].get("skladby", 0)
                    for summary in status["summaries"]
                }
                return services.get("zone-1") == count

            return holds

        await _wait_status(fleet, "other", serving(2), "two serve")
        assert await fleet.stop("d2") == 0
        await _wait_status(fleet, "d0", _state_of("d2", "left"), "d2 left")
        await _wait_status(fleet, "other", serving(1), "one serves")


async def test_status_of_the_zone_is_written_by_one_gateway():
    """Guards against a zone status that is missing or has a wrong writer."""
    async with fleet_module.fleet() as fleet:
        await _start_with_edition(fleet, *_workers(1, 1, 1))
        url = f"{fleet.platform_url}/objects/status/zone-1"

        async def complete():
            async with httpx.AsyncClient() as client:
                response = await client.get(url)
            if response.status_code != 200:
                return False
            status = response.json()
            return status["lowest_version"] == 1 and status["all_ms"] > 0

        await fleet_module.wait_until(complete, "the status is complete")
        status = await fleet.get_json(url)
        own = await fleet.status(status["writer"])
        assert status["writer"] == own["gateways"][0]
        assert status.keys() <= own.keys()
        assert len(status["proxies"]) == 3
        assert status["store_reachable"] is True
        assert 0 < status["first_ms"] <= status["all_ms"]
