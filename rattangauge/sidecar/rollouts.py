"""Keeps the calls of this daemon to the present share of each roll-out."""

import time

from rattangauge import decisionlog
from rattangauge import metrics
from rattangauge import settings as settings_module
from rattangauge.calls import rollout_share
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool
from rattangauge.sidecar import localupstream


class Rollouts:
    """Roll-outs as this daemon knows them; without the settings there are none.

    The daemon that decides sends each daemon the state of a roll-out and gets
    in reply what the upstream beside it answered.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        peers: peers_module.PeerTable,
        local_upstream: localupstream.LocalUpstream,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the state without roll-outs.

        Args:
            settings: Settings of the daemon.
            peers: All known daemons.
            local_upstream: Upstream whose answers are reported.
            log: Log of decisions.
        """
        self._peers = peers
        self._local_upstream = local_upstream
        self._log = log
        self._is_enabled = settings.rollout.expose_share > 0.0
        self._routing = rollout_share.VersionRouting(settings.rollout)

    @property
    def is_enabled(self) -> bool:
        """Whether the settings ask for roll-outs."""
        return self._is_enabled

    def view(self, service: str) -> rollout_share.View | None:
        """Returns the known roll-out of a service; None if there is none."""
        return self._routing.view(service)

    def serving(self, service: str, is_repeat: bool) -> list[peers_module.Peer]:
        """Returns the daemons to whose upstreams a call may be sent.

        Args:
            service: Service of the call.
            is_repeat: Whether an instance has had the call already.
        """
        serving = self._peers.serving(service)
        if not self._is_enabled or not serving:
            return serving
        versions = self._peers.serving_versions(service)
        chosen = self._routing.choose(
            service, versions, is_repeat, time.monotonic()
        )
        if len(chosen) == len(versions):
            return serving
        return [
            peer for peer in serving if peer.member.upstream_version in chosen
        ]

    def apply(self, state: messages.RolloutState) -> None:
        """Applies a state of a roll-out, unless a newer one is known."""
        if not self._is_enabled:
            return
        if self._routing.update(state, time.monotonic()):
            self._record(state)
        own = self._peers.own.member
        known = self._routing.view(state.service)
        if known is None or state.service != own.service:
            return
        counts = self._local_upstream.answer_counts
        if known.state.phase == messages.RolloutPhase.ACTIVE:
            counts.begin(known.state.target, known.state.created)
        else:
            counts.end()

    def _record(self, state: messages.RolloutState) -> None:
        """Logs and counts a changed state."""
        share = state.share_millis / 1000
        metrics.ROLLOUT_SHARE.labels(state.service).set(share)
        self._log.record(
            logevents.RolloutShareChanged(
                service=state.service,
                target=state.target,
                sequence=state.sequence,
                phase=state.phase.name.lower(),
                share=share,
            )
        )

    def report(self, service: str) -> messages.RolloutReport:
        """Returns which state is known and what the upstream answered."""
        own = self._peers.own.member
        view = self._routing.view(service)
        state = view.state if view else messages.RolloutState()
        report = messages.RolloutReport(
            mesh=own.mesh,
            incarnation=own.incarnation,
            created=state.created,
            sequence=state.sequence,
        )
        upstream = self._local_upstream.upstream
        if upstream is None or upstream.heartbeat.service != service:
            return report
        return report._replace(
            version=upstream.heartbeat.version,
            running=self._local_upstream.running,
            routes=self._local_upstream.answer_counts.report(),
        )

    async def serve(
        self, stream: connection_pool.Stream, state: messages.RolloutState
    ) -> None:
        """Applies the state that another daemon decided and reports to it."""
        self.apply(state)
        await stream.send(self.report(state.service))
