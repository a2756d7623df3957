"""Decides which versions of a service a call may be sent to.

A new version gets no calls until an order names it, then a share of the calls
that grows step by step. Each daemon keeps to the share by itself.
"""

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

from rattangauge.generated import messages
from rattangauge.generated import settings as generated

# A share that was not confirmed for the first time falls to the smallest step,
# after the second one to nothing; both as parts of the setting
# ``rollout.rollback_s``.
UNCONFIRMED_SHARE = 0.4
EXPIRED_SHARE = 0.8
# Smallest step, as a part of the share to which a version may be exposed.
SMALLEST_STEP_SHARE = 0.4

_Phase = messages.RolloutPhase


class View(NamedTuple):
    """What a daemon knows of the roll-out of a service.

    Attributes:
        state: The newest state.
        confirmed_at: Monotonic time at which it was last confirmed, in seconds.
    """

    state: messages.RolloutState
    confirmed_at: float


def smallest_share(expose_share: float) -> float:
    """Returns the share of the calls that the first step gives a version.

    Args:
        expose_share: Largest share of all calls that a bad version may get.
    """
    return SMALLEST_STEP_SHARE * expose_share


def effective_share(
    view: View, rollout: generated.Rollout, now: float
) -> float:
    """Returns the share of the calls that the target version gets.

    A share that was not confirmed for a while shrinks: this daemon may not have
    heard that the version is bad.

    Args:
        view: Roll-out of the service.
        rollout: Settings of roll-outs.
        now: Monotonic time in seconds.
    """
    share = view.state.share_millis / 1000
    age_s = now - view.confirmed_at
    if age_s > EXPIRED_SHARE * rollout.rollback_s:
        return 0.0
    if age_s > UNCONFIRMED_SHARE * rollout.rollback_s:
        return min(share, smallest_share(rollout.expose_share))
    return share


def is_newer(state: messages.RolloutState, known: View | None) -> bool:
    """Tells whether a state replaces or confirms the known one."""
    if known is None:
        return True
    before = known.state
    return (state.created, state.sequence) >= (before.created, before.sequence)


class VersionRouting:
    """Versions that the calls of this daemon may be sent to."""

    def __init__(self, rollout: generated.Rollout) -> None:
        """Creates the state without roll-outs.

        Args:
            rollout: Settings of roll-outs.
        """
        self._rollout = rollout
        self._views: dict[str, View] = {}
        # Version of each service that gets calls without an order.
        self._established: dict[str, str] = {}
        # Calls that the target version is due, in parts of a call.
        self._credits: dict[str, float] = {}

    def view(self, service: str) -> View | None:
        """Returns the known roll-out of a service; None if there is none."""
        return self._views.get(service)

    def update(self, state: messages.RolloutState, now: float) -> bool:
        """Stores a state, unless a newer one is known.

        Returns:
            Whether it differs from the known one.
        """
        known = self._views.get(state.service)
        if not is_newer(state, known):
            return False
        self._views[state.service] = View(state, now)
        return known is None or known.state != state

    def choose(
        self,
        service: str,
        serving: Mapping[str, int],
        is_repeat: bool,
        now: float,
    ) -> Collection[str]:
        """Returns the versions to which a call may be sent.

        Args:
            service: Service of the call.
            serving: Number of the serving instances of each version.
            is_repeat: Whether an instance has had the call already. Repeats
                are no part of the share.
            now: Monotonic time in seconds.

        Returns:
            The versions; none if no serving one may get the call.
        """
        view = self._views.get(service)
        if view is None:
            return (self._establish(service, serving),)
        state = view.state
        if state.phase == _Phase.COMPLETED and state.target in serving:
            self._established[service] = state.target
            return (state.target,)
        others = {v: n for v, n in serving.items() if v != state.target}
        if not others:
            return () if state.phase == _Phase.ROLLED_BACK else serving
        # Of further versions none has an order.
        baseline = (self._establish(service, others),)
        if state.phase == _Phase.ROLLED_BACK or state.target not in serving:
            return baseline
        share = effective_share(view, self._rollout, now)
        if share >= 1.0 or (not is_repeat and self._is_due(service, share)):
            return (state.target,)
        return baseline

    def _is_due(self, service: str, share: float) -> bool:
        """Tells whether the next call is one of the target version's share."""
        credit = self._credits.get(service, 0.0) + share
        is_due = credit >= 1.0
        self._credits[service] = credit - is_due
        return is_due

    def _establish(self, service: str, serving: Mapping[str, int]) -> str:
        """Returns the version that gets calls while no order is known.

        It is the one that served first; of several that are seen at once, the
        one with the most instances.
        """
        known = self._established.get(service)
        if known in serving:
            return known
        version = min(serving, key=lambda v: (-serving[v], v), default="")
        self._established[service] = version
        return version
