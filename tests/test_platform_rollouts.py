"""Orders of roll-outs as the platform's store has them."""

import anyio
import httpx
import pytest
from rattangauge_platform import rollouts
from rattangauge_platform import store as store_module

from standins import objectstore

pytestmark = pytest.mark.anyio

ORDER = {"service": "skladby", "target-version": "v2", "duration-s": 12}


@pytest.mark.parametrize(
    "spec",
    [
        None,
        {**ORDER, "service": ""},
        {**ORDER, "service": "s" * 300},
        {**ORDER, "target-version": 2},
        {**ORDER, "duration-s": 0},
        {**ORDER, "duration-s": "12"},
        {**ORDER, "duration-s": True},
        {**ORDER, "duration-s": 1e300},
    ],
)
async def test_an_order_that_is_not_valid_hides_no_other_one(spec):
    """Guards against one bad entry that stops all roll-outs."""
    async with anyio.create_task_group() as tasks:
        stand_in = objectstore.ObjectStore()
        await stand_in.start(tasks)
        stand_in.put("rollouts", "bad", spec)
        stand_in.put("rollouts", "skladby", ORDER)
        url = f"http://{stand_in.address}"
        async with httpx.AsyncClient(base_url=url, verify=False) as client:
            store = rollouts.RolloutObjects(store_module.ObjectStore(client))
            found = await store.list_orders()
        assert [order.service for order in found.orders] == ["skladby"]
        assert found.orders[0].duration_s == 12.0
        tasks.cancel_scope.cancel()
