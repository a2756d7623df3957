"""Schedules of faults."""

import pytest

from tools import schedule

pytestmark = pytest.mark.anyio


def test_faults_of_one_slot_differ():
    """Guards against two faults at once that cancel each other."""
    for seed in range(200):
        faults = schedule.generate(seed, 8, 6, 3)
        for slot in range(8):
            pair = [fault for fault in faults if fault.slot == slot]
            assert len({fault.kind for fault in pair}) == 2
            on_daemons = [
                fault.target
                for fault in pair
                if fault.kind in schedule.DAEMON_KINDS
            ]
            assert len(set(on_daemons)) == len(on_daemons)
            on_zones = [
                (fault.target, fault.other)
                for fault in pair
                if fault.kind in schedule.ZONE_KINDS
            ]
            assert all(one != other for one, other in on_zones)
            assert len({frozenset(zones) for zones in on_zones}) == len(
                on_zones
            )


async def test_shorten_keeps_only_what_is_needed():
    """Guards against a long history that hides the cause."""
    faults = schedule.generate(3, 4, 6, 3)
    needed = {faults[1], faults[6]}

    async def fails(shorter):
        return needed <= set(shorter)

    shortest = await schedule.shorten(faults, fails, lambda: True)
    assert set(shortest) == needed


async def test_shorten_stops_without_time():
    """Guards against a chaos run that never ends."""
    faults = schedule.generate(3, 4, 6, 3)

    async def fails(_shorter):
        raise AssertionError("a run began without time")

    assert await schedule.shorten(faults, fails, lambda: False) == faults


def test_planned_stops_have_calm_company():
    """Guards against calls that another fault interrupts beside a stop."""
    for seed in range(200):
        faults = schedule.generate(seed, 8, 6, 3)
        for slot in range(8):
            kinds = {fault.kind for fault in faults if fault.slot == slot}
            if kinds & set(schedule.STOP_KINDS):
                assert kinds & set(schedule.CALM_KINDS)
            if "zone_kill" in kinds:
                assert not kinds & set(schedule.DAEMON_KINDS)
