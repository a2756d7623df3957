"""Tells all daemons the state of a roll-out and collects their reports."""

import anyio
import loguru

from rattangauge import errors
from rattangauge.calls import duration_histogram
from rattangauge.calls import rollout_verdict
from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool
from rattangauge.sidecar import rollouts as rollouts_module

# Time within which a daemon must answer.
REPORT_TIMEOUT_S = 0.35
# Reports in a row without a call under way to the old version.
IDLE_REPORTS = 2


class Reports:
    """What the daemons have reported on the roll-out of one service."""

    def __init__(
        self,
        peers: peers_module.PeerTable,
        links: connection_pool.Links,
        rollouts: rollouts_module.Rollouts,
    ) -> None:
        """Creates the state before the first report."""
        self._peers = peers
        self._links = links
        self._rollouts = rollouts
        self._judgement = rollout_verdict.Judgement()
        # Last totals by address, process and route.
        self._totals: dict[tuple[str, int, str], rollout_verdict.Answers] = {}
        # Idle reports in a row by address.
        self._idle_reports: dict[str, int] = {}

    @property
    def judgement(self) -> rollout_verdict.Judgement:
        """What the answers of both versions show."""
        return self._judgement

    @property
    def is_old_idle(self) -> bool:
        """Whether no daemon has calls to the old version any more.

        A daemon whose last report was lost counts by the one before.
        """
        return all(
            self._idle_reports.get(peer.member.mesh, 0) >= IDLE_REPORTS
            for peer in (self._peers.own, *self._reachable())
        )

    def begin_step(self) -> None:
        """Forgets which daemons were idle in the step before."""
        self._idle_reports.clear()

    async def collect(self, state: messages.RolloutState) -> None:
        """Sends the state to all daemons and adds their reports."""
        self._rollouts.apply(state)
        reports = [self._rollouts.report(state.service)]
        async with anyio.create_task_group() as tasks:
            for peer in self._reachable():
                tasks.start_soon(self._ask, peer.member.mesh, state, reports)
        self._count_idle_reports(reports, state)
        self._judge(reports, state)

    def _reachable(self) -> list[peers_module.Peer]:
        """Returns the other daemons that are to report."""
        return [
            peer
            for peer in self._peers.others()
            if peer.has_reported and not peer.failures
        ]

    async def _ask(
        self,
        address: str,
        state: messages.RolloutState,
        reports: list[messages.RolloutReport],
    ) -> None:
        try:
            reply = await self._links.request(
                address, state, REPORT_TIMEOUT_S, connection_pool.SMALL_BODIES
            )
        except errors.CodedError as error:
            loguru.logger.debug("no report on a roll-out: {}", error)
            return
        if isinstance(reply, messages.RolloutReport):
            reports.append(reply)

    def _count_idle_reports(
        self,
        reports: list[messages.RolloutReport],
        state: messages.RolloutState,
    ) -> None:
        for report in reports:
            is_same_order = report.created == state.created
            has_begun = is_same_order and report.sequence >= state.sequence
            is_new = report.version == state.target
            is_idle = has_begun and (is_new or not report.running)
            count = self._idle_reports.get(report.mesh, 0)
            self._idle_reports[report.mesh] = count + 1 if is_idle else 0

    def _judge(
        self,
        reports: list[messages.RolloutReport],
        state: messages.RolloutState,
    ) -> None:
        """Adds the answers since the last reports to the judgement."""
        current = [
            report
            for report in reports
            if report.version and report.created == state.created
        ]
        # Those of the old version come first.
        current.sort(key=lambda report: report.version == state.target)
        for report in current:
            is_new = report.version == state.target
            for route in report.routes:
                if len(route.held) != duration_histogram.CLASSES:
                    # Another release of the daemon counts in other classes.
                    continue
                key = report.mesh, report.incarnation, route.route
                total = rollout_verdict.Answers(
                    route.count, route.failures, route.held
                )
                before = self._totals.get(key, rollout_verdict.NO_ANSWERS)
                if total.count < before.count:
                    before = rollout_verdict.NO_ANSWERS
                self._totals[key] = total
                answers = rollout_verdict.subtract(total, before)
                self._judgement.add(report.mesh, route.route, answers, is_new)
