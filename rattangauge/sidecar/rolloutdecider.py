"""Decides on the roll-out of one service while this daemon has the lease.

Each decision is one write under the revision that was read before, so of two
daemons that decide only one succeeds. The decision names its decider. It leads
while it reads its own decision in the store, and tells all daemons the state;
another one takes over if it has heard nothing for a while.
"""

import math
import random as random_module
import time

import anyio

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge.calls import rollout_steps
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool
from rattangauge.sidecar import rolloutreports
from rattangauge.sidecar import rollouts as rollouts_module
from rattangauge.sidecar import rolloutstores

# Another daemon takes over if it has heard of no state for this time, and the
# one that leads ceases if it has not read its decision for as long. It is a
# part of the setting ``rollout.rollback_s``.
LEASE_SHARE = 0.4
# Time between two reads of the decision by the daemon that leads.
READ_S = 1.0
# Daemons that may decide first wait for a random part of this time, so that
# one of them writes and the others see it.
SPREAD_S = 0.5
# Time between two reports of a daemon, and daemons that report in a second.
REPORT_PERIOD_S = 0.4
MAX_REPORTS_PER_S = 250.0
# The end of a roll-out is told to all daemons for this time.
ANNOUNCE_S = 8.0

_Phase = messages.RolloutPhase


class RolloutDecider:
    """State of the roll-out of one service at a daemon that may decide."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: rolloutstores.RolloutStore,
        peers: peers_module.PeerTable,
        links: connection_pool.Links,
        rollouts: rollouts_module.Rollouts,
        log: decisionlog.DecisionLog,
        order: rolloutstores.Order,
    ) -> None:
        """Creates the state of an order that was seen just now."""
        self._rollout = settings.rollout
        self._lease_s = LEASE_SHARE * settings.rollout.rollback_s
        self._store = store
        self._peers = peers
        self._rollouts = rollouts
        self._log = log
        self._order = order
        self._random = random_module.Random()
        own = peers.own.member
        self._identity = f"{own.mesh}/{own.incarnation}"
        self._stored: rolloutstores.Stored | None = None
        now = time.monotonic()
        self._seen_at = now
        self._take_over_at = now + self._spread_s()
        # Monotonic time of the last write that succeeded.
        self._confirmed_at = -math.inf
        self._step_at = now
        self._ended_at = math.inf
        self._reports = rolloutreports.Reports(peers, links, rollouts)
        # Monotonic time of the last write of a status.
        self._status_at = -math.inf

    @property
    def order(self) -> rolloutstores.Order:
        """The order."""
        return self._order

    @order.setter
    def order(self, order: rolloutstores.Order) -> None:
        self._order = order
        if order.is_finished:
            self._ended_at = min(self._ended_at, time.monotonic())

    @property
    def decision(self) -> rolloutstores.Decision | None:
        """The known decision; None if there is none on this order."""
        if self._stored is None:
            return None
        decision = self._stored.decision
        order = self._order
        is_same = (decision.created, decision.target) == (
            order.created,
            order.target,
        )
        return decision if is_same else None

    @property
    def is_settled(self) -> bool:
        """Whether the order has its final status and all daemons know it."""
        if not self._order.is_finished:
            return False
        return time.monotonic() - self._ended_at > ANNOUNCE_S

    @property
    def _has_lease(self) -> bool:
        decision = self.decision
        is_own = decision is not None and decision.decider == self._identity
        return is_own and time.monotonic() - self._confirmed_at < self._lease_s

    def apply(self, stored: rolloutstores.Stored, is_read: bool) -> None:
        """Applies a decision of the store.

        An older decision than the known one shows that the store lost some. The
        known one is written again under the revision that the store has now.

        Args:
            stored: The decision.
            is_read: Whether it was read just now. A watch may bring an older
                one than the answer to a write.
        """
        known = self.decision
        before = self._stored
        if stored == before:
            return
        is_late = before is not None and stored.revision < before.revision
        if is_late and not is_read:
            return
        now = time.monotonic()
        read = stored.decision
        is_lost = (
            known is not None
            and (read.created, read.target) == (known.created, known.target)
            and read.sequence < known.sequence
        )
        if is_lost and known is not None:
            self._stored = rolloutstores.Stored(known, stored.revision)
            self._take_over_at = now
            return
        self._stored = stored
        self._take_over_at = now + self._lease_s + self._spread_s()
        current = self.decision
        if current is None:
            self._take_over_at = now + self._spread_s()
            return
        if known is None or known.step != current.step:
            self._step_at = now
            self._reports.begin_step()
        if current.phase != _Phase.ACTIVE:
            self._ended_at = min(self._ended_at, now)
        self._rollouts.apply(self._state(current))

    def _state(self, decision: rolloutstores.Decision) -> messages.RolloutState:
        """Returns the state that all daemons are to keep to.

        The share is 0 from the moment at which the version was found bad.
        """
        share = 0.0
        if decision.phase == _Phase.COMPLETED:
            share = 1.0
        elif (
            decision.phase == _Phase.ACTIVE
            and not self._reports.judgement.bad_route
        ):
            share = rollout_steps.share(
                decision.step,
                self._rollout,
                self._reports.judgement.new_answers,
            )
        return messages.RolloutState(
            service=decision.service,
            target=decision.target,
            created=decision.created,
            sequence=decision.sequence,
            share_millis=round(share * 1000),
            phase=decision.phase,
        )

    def _spread_s(self) -> float:
        """Returns a random part of ``SPREAD_S``."""
        return self._random.uniform(0.0, SPREAD_S)

    def _is_vacant(self) -> bool:
        """Tells whether no daemon leads, as far as this one has heard."""
        now = time.monotonic()
        view = self._rollouts.view(self._order.service)
        heard_at = view.confirmed_at if view else -math.inf
        if now - heard_at < self._lease_s:
            # The daemons that have heard the same do not act at once.
            self._take_over_at = max(
                self._take_over_at, heard_at + self._lease_s + self._spread_s()
            )
        return now >= self._take_over_at

    def _elapsed_s(self) -> float:
        """Returns the time since the order, as far as it is known."""
        return time.monotonic() - self._seen_at

    async def run(self) -> None:
        """Decides until the roll-out is settled or the task is cancelled."""
        while not self.is_settled:
            if self._has_lease:
                await self._lead()
            elif self._is_vacant():
                await self._take_over()
            period_s = max(
                REPORT_PERIOD_S, len(self._peers) / MAX_REPORTS_PER_S
            )
            # A daemon that does not lead only waits for its turn.
            await anyio.sleep(period_s if self._has_lease else 0.1)

    async def _take_over(self) -> None:
        """Writes the known decision, or the first one, as this daemon's own.

        Once the order has its final status, it tells the daemons the end, which
        the daemon that led may not have done.
        """
        self._take_over_at = time.monotonic() + READ_S + self._spread_s()
        if self._order.is_finished:
            await self._announce_end()
            return
        known = self.decision
        if known is not None:
            self._seen_at = min(
                self._seen_at, time.monotonic() - known.elapsed_s
            )
            await self._write(known, "taken over")
            return
        first = self._first_decision()
        if await self._write(first, "begun"):
            await self._write_status(first.phase)

    def _first_decision(self) -> rolloutstores.Decision:
        """Returns the decision on an order on which the store has none.

        If the store has lost it, the phase that daemons have heard holds.
        """
        order = self._order
        sequence = self._stored.decision.sequence if self._stored else 0
        phase = _Phase.ACTIVE
        view = self._rollouts.view(order.service)
        if view is not None and view.state.created == order.created:
            if view.state.target == order.target:
                phase = view.state.phase
            sequence = max(sequence, view.state.sequence)
        return rolloutstores.Decision(
            order.service,
            order.target,
            order.created,
            sequence,
            0,
            phase,
            0.0,
            self._identity,
        )

    async def _lead(self) -> None:
        """Collects reports and takes the next decision, if one is due."""
        decision, stored = self.decision, self._stored
        if decision is None:
            return
        await self._reports.collect(self._state(decision))
        if not self._still_leads(stored):
            return
        if decision.phase != _Phase.ACTIVE:
            await self._write_status(decision.phase)
            await self._confirm()
            return
        progress = rollout_steps.Progress(
            decision.step,
            self._elapsed_s(),
            time.monotonic() - self._step_at,
            self._order.duration_s,
        )
        judgement = self._reports.judgement
        bad_route = judgement.bad_route
        if bad_route:
            # All daemons drop the share before the write, which may take long.
            await self._reports.collect(self._state(decision))
            if not self._still_leads(stored):
                return
            await self._end(decision, _Phase.ROLLED_BACK, f"bad on {bad_route}")
        elif rollout_steps.may_complete(progress, self._reports.is_old_idle):
            await self._end(decision, _Phase.COMPLETED, "completed")
        elif rollout_steps.may_advance(
            progress, judgement.is_good, judgement.is_suspect
        ):
            next_step = decision._replace(step=decision.step + 1)
            await self._write(next_step, "step")
        else:
            await self._confirm()

    def _still_leads(self, stored: rolloutstores.Stored | None) -> bool:
        """Tells whether a decision is still the known one, and this daemon's.

        Another daemon may have decided while this one waited for reports.
        """
        return self._stored == stored and self._has_lease

    async def _announce_end(self) -> None:
        """Tells all daemons the end of the roll-out, if it has ended."""
        decision = self.decision
        if decision is not None and decision.phase != _Phase.ACTIVE:
            await self._reports.collect(self._state(decision))

    async def _confirm(self) -> None:
        """Reads from time to time that this daemon still leads."""
        if self._order.is_finished:
            # Nobody takes over from here on.
            self._confirmed_at = time.monotonic()
        elif time.monotonic() - self._confirmed_at >= READ_S:
            await self._read_again()

    async def _end(
        self,
        decision: rolloutstores.Decision,
        phase: messages.RolloutPhase,
        reason: str,
    ) -> None:
        """Writes the end of the roll-out, first as a decision."""
        if await self._write(decision._replace(phase=phase), reason):
            # The old instances stop at the status, so all daemons must know
            # the end before it.
            await self._announce_end()
            self._status_at = -math.inf
            await self._write_status(phase)

    async def _write(
        self, decision: rolloutstores.Decision, reason: str
    ) -> bool:
        """Writes a decision under the known revision.

        Returns:
            Whether it is the one in the store.
        """
        began = time.monotonic()
        written = decision._replace(
            sequence=decision.sequence + 1,
            elapsed_s=round(self._elapsed_s(), 3),
            decider=self._identity,
        )
        revision = self._stored.revision if self._stored else 0
        try:
            stored = await self._store.write_decision(written, revision)
        except errors.CodedError as error:
            self._record_failure(error.code, error.message)
            await self._read_again()
            return False
        except rolloutstores.ConflictError as conflict:
            self._record_failure("", str(conflict))
            if conflict.stored is None:
                await self._read_again()
            else:
                self._adopt(conflict.stored, began)
            return False
        self._adopt(stored, began)
        self._record(written, reason)
        return True

    def _adopt(self, stored: rolloutstores.Stored, began: float) -> None:
        """Applies what a write or a read showed; it may confirm the lease."""
        self.apply(stored, True)
        if stored.decision.decider == self._identity:
            self._confirmed_at = began

    async def _read_again(self) -> None:
        """Reads the decision."""
        began = time.monotonic()
        try:
            decisions = await self._store.list_decisions()
        except errors.CodedError as error:
            self._record_failure(error.code, error.message)
            return
        for stored in decisions.stored:
            if stored.decision.service == self._order.service:
                self._adopt(stored, began)
                return
        # The store has lost the decision, or it was never written.
        if self._stored is not None:
            lost = self._stored.decision
            self._stored = rolloutstores.Stored(lost, 0)

    async def _write_status(self, phase: messages.RolloutPhase) -> None:
        """Writes the status of the order, unless it is there."""
        now = time.monotonic()
        if self._order.status == phase or now - self._status_at < READ_S:
            return
        self._status_at = now
        try:
            await self._store.write_status(self._order, phase)
        except errors.CodedError as error:
            self._record_failure(error.code, error.message)
        except rolloutstores.ConflictError as conflict:
            # The watch of the orders brings what has changed.
            self._record_failure("", str(conflict))

    def _record(self, decision: rolloutstores.Decision, reason: str) -> None:
        self._log.record(
            logevents.RolloutDecided(
                service=decision.service,
                target=decision.target,
                sequence=decision.sequence,
                phase=decision.phase.name.lower(),
                share=self._state(decision).share_millis / 1000,
                reason=reason,
                elapsed_s=decision.elapsed_s,
            )
        )

    def _record_failure(self, code: str, reason: str) -> None:
        self._log.record(
            logevents.RolloutWriteFailed(self._order.service, code, reason)
        )
