"""Tests of the zone status in the store, with real daemon processes."""

import pytest

from rattangauge import edition_store
from rattangauge import errors
from rattangauge import util
from rattangauge.config import progress
from rattangauge.net import object_store
from tests import builders
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio


async def _zones(fleet):
    async with object_store.open_client(fleet.platform_url, 5.0) as client:
        store = object_store.HttpStore(client)
        current = await edition_store.read(store, allow_damaged=True)
        statuses = await edition_store.statuses(store, current.objects)
    report = progress.build_report(
        current.version, current.head, statuses, util.now_ms()
    )
    return {zone.zone: zone for zone in report.zones}, report.proxies


async def _wait_zone(fleet, name, holds, what):
    async def condition():
        zones, _ = await _zones(fleet)
        return name in zones and holds(zones[name])

    await fleet_module.wait_until(condition, what)


async def test_zone_without_the_store_is_not_reporting():
    """Guards against a zone that looks current while cut off from the store."""
    async with fleet_module.fleet(relayed=True) as fleet:
        await fleet.start(
            fleet_module.Worker("a", 1), fleet_module.Worker("b", 2)
        )
        objects = builders.object_set()
        await fleet_module.put_edition(fleet.platform_url, 1, objects)
        await fleet.wait_version(1)
        for zone in ("zone-1", "zone-2"):
            await _wait_zone(fleet, zone, lambda z: z.reporting, "reports")
        await fleet.set_fault(1, fleet_module.PLATFORM_ZONE, "cut")

        def is_silent(zone):
            return not zone.reporting and "zone-2 heard from it" in zone.reason

        await _wait_zone(fleet, "zone-1", is_silent, "zone-1 is silent")
        zones, _ = await _zones(fleet)
        assert zones["zone-2"].reporting
        await fleet.set_fault(1, fleet_module.PLATFORM_ZONE, "pass")
        await _wait_zone(fleet, "zone-1", lambda z: z.reporting, "reports")


async def test_proxies_that_are_no_gateways_name_the_rejection():
    """Guards against a proxy whose status does not show why it is behind."""
    async with fleet_module.fleet() as fleet:
        names = ["a", "b", "c", "d"]
        await fleet.start(*(fleet_module.Worker(name, 1) for name in names))
        good = builders.object_set()
        await fleet_module.put_edition(fleet.platform_url, 1, good)
        await fleet.wait_version(1)
        bad = {**good, "service": {}}
        await fleet_module.put_edition(fleet.platform_url, 2, bad)

        async def named():
            try:
                _, proxies = await _zones(fleet)
            except errors.CodedError:
                return False
            reasons = [proxy.reason for proxy in proxies]
            return len(reasons) == len(names) and all(
                "rejected version 2 [object.reference]" in reason
                for reason in reasons
            )

        await fleet_module.wait_until(named, "all proxies name the rejection")
