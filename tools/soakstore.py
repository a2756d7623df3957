"""Faults of the store in a soak."""

import collections
from collections.abc import Callable
import contextlib

import anyio

from tools import platformfleet
from tools import schedule

KINDS = (
    "store_refuses",
    "store_silent",
    "store_loses_answers",
    "store_compacts",
    "store_restores",
)
# Time for which the store is away before it comes back from a copy.
AWAY_S = 0.5

# Marks a fault at the store, which excuses no request.
Disturbed = Callable[[], contextlib.AbstractAsyncContextManager[None]]


class StoreFaults:
    """Runs the faults of the store, which may overlap."""

    def __init__(
        self, fleet: platformfleet.Fleet, disturbed: Disturbed
    ) -> None:
        """Creates the faults of a fleet's store."""
        self._fleet = fleet
        self._disturbed = disturbed
        # Faults that act now.
        self._acting: collections.Counter[str] = collections.Counter()

    async def run(self, fault: schedule.Fault) -> None:
        """Starts a fault and returns when it is over."""
        if fault.kind == "store_compacts":
            self._fleet.store.compact()
            return
        copy = self._fleet.store.copy()
        is_restored = fault.kind == "store_restores"
        if is_restored:
            await anyio.sleep(fault.length_s)
        kind = "store_refuses" if is_restored else fault.kind
        async with self._disturbed():
            self._acting[kind] += 1
            self._apply()
            await anyio.sleep(AWAY_S if is_restored else fault.length_s)
            self._acting[kind] -= 1
            if is_restored:
                self._fleet.store.restore(copy)
                self._fleet.publish_again()
            self._apply()

    def _apply(self) -> None:
        store = self._fleet.store
        store.refuse_with = 503 if self._acting["store_refuses"] else 0
        store.is_silent = self._acting["store_silent"] > 0
        store.loses_answers = self._acting["store_loses_answers"] > 0
