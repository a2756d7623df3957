"""Exit codes of the chaos run."""

import anyio
import httpx
import pytest

from tools import chaos
from tools import invariants

pytestmark = pytest.mark.anyio

DIED = invariants.History(died=("a",))


async def _late():
    with anyio.fail_after(0):
        await anyio.sleep_forever()


async def _unreachable():
    async with anyio.create_task_group():
        raise httpx.ConnectError("refused")


async def _sound():
    return invariants.History()


async def _violated():
    return DIED


@pytest.mark.parametrize(
    ("outcome", "code"),
    [(_sound, 0), (_violated, 1), (_late, 2), (_unreachable, 2)],
)
async def test_exit_code(monkeypatch, outcome, code):
    """Guards against a run that hangs or breaks off and looks like a pass."""
    monkeypatch.setattr(chaos, "run_schedule", lambda _seed, _faults: outcome())
    options = chaos.parse_arguments(["--seed", "1", "--shorten-s", "0"])
    assert await chaos.run(options) == code


async def test_broken_run_does_not_end_the_shortening(monkeypatch):
    """Guards against losing a violation to a failure of a later run."""
    outcomes = [_violated, _late, _unreachable, _sound]

    def run_schedule(_seed, _faults):
        return (outcomes.pop(0) if outcomes else _sound)()

    monkeypatch.setattr(chaos, "run_schedule", run_schedule)
    options = chaos.parse_arguments(["--seed", "1", "--shorten-s", "60"])
    assert await chaos.run(options) == chaos.EXIT_VIOLATIONS
