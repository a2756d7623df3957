"""Follows the orders of roll-outs in the store.

A few daemons of each availability zone do so, as few calls of the store are
cheaper; each of them may decide.
"""

import random as random_module

import anyio
import anyio.abc
import loguru

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge import supervision
from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool
from rattangauge.sidecar import rolloutdecider
from rattangauge.sidecar import rollouts as rollouts_module
from rattangauge.sidecar import rolloutstores
from rattangauge.sidecar import watchers

# Daemons of a zone that follow the orders.
WATCHERS_PER_ZONE = 2
# Time after the start in which the other daemons of the zone become known.
START_DELAY_S = 1.5
# Time between two checks whether this daemon is one of them.
CHECK_PERIOD_S = 0.5
# Longest watch of the orders, and of the decisions while there is an order.
ORDERS_WATCH_S = 10.0
DECISIONS_WATCH_S = 4.0
# Pause after a failed call of the store; it doubles up to the second value.
RETRY_S = 0.2
MAX_RETRY_S = 1.0

_ORDERS_LOOP = supervision.Loop("orders of roll-outs")
_DECISIONS_LOOP = supervision.Loop("decisions on roll-outs")


class RolloutWatch:
    """Runs a decider for each order that is not settled."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: rolloutstores.RolloutStore,
        peers: peers_module.PeerTable,
        links: connection_pool.Links,
        rollouts: rollouts_module.Rollouts,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the watch; ``run`` starts it."""
        self._settings = settings
        self._store = store
        self._peers = peers
        self._links = links
        self._rollouts = rollouts
        self._log = log
        self._random = random_module.Random()
        self._deciders: dict[str, rolloutdecider.RolloutDecider] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._has_order = anyio.Event()

    async def run(self) -> None:
        """Follows the orders until cancelled, if the settings ask for it."""
        if not self._rollouts.is_enabled:
            return
        await anyio.sleep(START_DELAY_S)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for loop, function in (
                (_ORDERS_LOOP, self._follow_orders),
                (_DECISIONS_LOOP, self._follow_decisions),
            ):
                record = self._log.record
                tasks.start_soon(supervision.run, record, loop, function)

    def _is_watcher(self) -> bool:
        """Tells whether this daemon follows the orders."""
        first = watchers.first(self._peers, WATCHERS_PER_ZONE)
        return self._peers.own in first

    def _retry_delay_s(self, failures: int) -> float:
        delay_s = min(MAX_RETRY_S, RETRY_S * 2 ** min(failures, 5))
        return delay_s * self._random.uniform(0.5, 1.0)

    async def _follow_orders(self) -> None:
        """Lists the orders, then watches them."""
        revision, failures = 0, 0
        while True:
            if not self._is_watcher() and not self._deciders:
                revision = 0
                await anyio.sleep(CHECK_PERIOD_S)
                continue
            try:
                if revision:
                    wait_s = ORDERS_WATCH_S * self._random.uniform(0.6, 1.0)
                    orders = await self._store.watch_orders(revision, wait_s)
                else:
                    orders = await self._store.list_orders()
            except errors.CodedError as error:
                loguru.logger.debug("cannot read the roll-outs: {}", error)
                revision = 0
                failures += 1
                await anyio.sleep(self._retry_delay_s(failures))
                continue
            removed = set(orders.removed)
            if not revision:
                # An order may have been deleted while nothing was watched.
                listed = {order.service for order in orders.orders}
                removed |= self._deciders.keys() - listed
            revision, failures = orders.revision, 0
            for order in orders.orders:
                self._apply_order(order)
            for service in removed:
                self._remove(service)

    def _apply_order(self, order: rolloutstores.Order) -> None:
        """Starts a decider for a new order; updates that of a known one."""
        decider = self._deciders.get(order.service)
        if decider is not None:
            known = decider.order
            if (known.created, known.target) == (order.created, order.target):
                decider.order = order
                return
            self._remove(order.service)
        if order.is_finished:
            self._rollouts.apply(_final_state(order))
        elif self._tasks is not None:
            self._start_decider(order, self._tasks)

    def _start_decider(
        self, order: rolloutstores.Order, tasks: anyio.abc.TaskGroup
    ) -> None:
        decider = rolloutdecider.RolloutDecider(
            self._settings,
            self._store,
            self._peers,
            self._links,
            self._rollouts,
            self._log,
            order,
        )
        self._deciders[order.service] = decider
        tasks.start_soon(self._run_decider, order.service, decider)
        self._has_order.set()

    def _remove(self, service: str) -> None:
        self._deciders.pop(service, None)
        scope = self._scopes.pop(service, None)
        if scope is not None:
            scope.cancel()

    async def _run_decider(
        self, service: str, decider: rolloutdecider.RolloutDecider
    ) -> None:
        if self._deciders.get(service) is not decider:
            return
        with anyio.CancelScope() as scope:
            self._scopes[service] = scope
            await supervision.run(
                self._log.record,
                supervision.Loop("roll-out", service),
                decider.run,
            )
        if self._deciders.get(service) is decider:
            self._remove(service)

    async def _follow_decisions(self) -> None:
        """Reads the decisions, then watches them, while there are orders."""
        revision, failures = 0, 0
        while True:
            if not self._deciders:
                revision = 0
                self._has_order = anyio.Event()
                await self._has_order.wait()
            is_watch = bool(revision)
            try:
                if is_watch:
                    wait_s = DECISIONS_WATCH_S * self._random.uniform(0.6, 1.0)
                    decisions = await self._store.watch_decisions(
                        revision, wait_s
                    )
                else:
                    decisions = await self._store.list_decisions()
            except errors.CodedError as error:
                loguru.logger.debug("cannot read decisions: {}", error)
                revision = 0
                failures += 1
                await anyio.sleep(self._retry_delay_s(failures))
                continue
            revision, failures = decisions.revision, 0
            for stored in decisions.stored:
                decider = self._deciders.get(stored.decision.service)
                if decider is not None:
                    decider.apply(stored, not is_watch)


def _final_state(order: rolloutstores.Order) -> messages.RolloutState:
    """Returns the state of an order whose status names its end."""
    phase = order.status or messages.RolloutPhase.ACTIVE
    is_completed = phase == messages.RolloutPhase.COMPLETED
    return messages.RolloutState(
        service=order.service,
        target=order.target,
        created=order.created,
        share_millis=1000 if is_completed else 0,
        phase=phase,
    )
