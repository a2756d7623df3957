"""What a daemon measured of the upstreams that it sends calls to."""

import math
import statistics
from typing import NamedTuple

from rattangauge.calls import hedge
from rattangauge.generated import messages

# Weight of a new latency, and the time after which the old ones count little.
WEIGHT = 0.3
MEMORY_S = 0.5

# One answer raises the latency at most by this factor of the old one, so that
# a single outlier does not take an upstream's share away.
OUTLIER = 4.0

# An upstream is shunned while its latency is this factor above the median of
# its service, and as much above it as calls vary without a fault.
SLOW_FACTOR = 3.0
SLOW_MARGIN_S = 0.002

# Reported loads count for this time.
LOAD_S = 2.0

# Back-off of the circuit breaker after refused connections.
BREAK_S = 0.1
MAX_BREAK_S = 5.0
MAX_FULL_S = 1.0

# An upstream that is new to this daemon gets its whole share after this time.
RAMP_S = 5.0
RAMP_START = 0.25

# A late call makes its upstream doubtful for this time. It is about as long as
# a call takes that the upstream slows down: a second attempt that answers
# cancels the late one, so its true latency is never seen.
DOUBT_S = 0.2


class Change(NamedTuple):
    """A decision about an upstream, for ``explain``."""

    instance: str
    action: str
    reason: str


class View:
    """Measurements of one upstream.

    Attributes:
        instance: Its instance.
        slots: Slots that it advertises.
        incarnation: Start of its daemon.
        latency_s: Moving average from request to answer; 0 if unknown.
        answered_at: Time of the last answer.
        is_shunned: Whether it gets probes only.
        open_until: Time until which it counts as unreachable.
        full_until: Time until which it counts as full.
        doubtful_until: Time until which it gets calls only if others cannot.
    """

    def __init__(
        self, instance: str, slots: int, now: float, incarnation: int = 0
    ) -> None:
        """Creates the view of an upstream of which nothing is known yet."""
        self.incarnation = incarnation
        self.instance = instance
        self.slots = slots
        self.latency_s = 0.0
        self.answered_at = now
        self.is_shunned = False
        self.open_until = 0.0
        self.full_until = 0.0
        self.doubtful_until = 0.0
        self._first_seen = now
        self._load: messages.Load | None = None
        self._load_at = 0.0
        self._own_at_load = 0
        self._failures = 0
        self._short: dict[int, float] = {}
        self._long = 0

    @property
    def own(self) -> int:
        """Calls of this daemon that are under way."""
        return len(self._short) + self._long

    def begin(self, number: int, is_long: bool, now: float) -> None:
        """Counts a call that is sent."""
        if is_long:
            self._long += 1
        else:
            self._short[number] = now

    def end(self, number: int) -> None:
        """Counts a call that has ended."""
        if self._short.pop(number, None) is None:
            self._long -= 1

    def pass_on(self, number: int) -> None:
        """Notes that the answer of a call has begun.

        What follows may take as long as the caller likes: it says nothing of
        the upstream.
        """
        if self._short.pop(number, None) is not None:
            self._long += 1

    def report(self, load: messages.Load, now: float) -> None:
        """Takes the load from an answer."""
        self._load = load
        self._load_at = now
        self._own_at_load = self.own

    def observe(self, seconds: float, now: float) -> None:
        """Takes the time from the request to the answer of a short call."""
        age = now - self.answered_at
        self.answered_at = now
        self._failures = 0
        self.open_until = 0.0
        if not self.latency_s:
            self.latency_s = seconds
            return
        seconds = min(seconds, OUTLIER * self.latency_s)
        weight = max(WEIGHT, 1.0 - math.exp(-age / MEMORY_S))
        self.latency_s += weight * (seconds - self.latency_s)

    def fail(self, now: float, uniform: float) -> None:
        """Takes word of a refused or broken connection.

        Args:
            now: Time.
            uniform: A random number in [0, 1).
        """
        self._failures += 1
        pause = min(MAX_BREAK_S, BREAK_S * 2 ** (min(self._failures, 10) - 1))
        self.open_until = now + pause * (0.5 + uniform)

    def refuse(self, retry_after_ms: int, now: float) -> None:
        """Takes word that the upstream has no room."""
        self.full_until = now + min(MAX_FULL_S, retry_after_ms / 1000)

    def doubt(self, now: float) -> None:
        """Notes that a call is late."""
        self.doubtful_until = now + DOUBT_S

    def outstanding(self, now: float) -> int:
        """Returns the calls that run or wait at the upstream, as far as known.

        It is never less than what this daemon itself has under way.
        """
        load = self._load
        if load is None or now - self._load_at > LOAD_S:
            return self.own
        others = load.running + load.queued - self._own_at_load
        return self.own + max(0, others)

    def limit(self, now: float) -> float:
        """Returns the calls that it can run at a time, ramped if it is new."""
        load = self._load
        limit = self.slots
        if load is not None and now - self._load_at <= LOAD_S and load.limit:
            limit = load.limit
        age = (now - self._first_seen) / RAMP_S
        return max(1.0, limit * min(1.0, RAMP_START + age))

    def is_waiting(self, number: int) -> bool:
        """Tells whether a short call has no answer yet."""
        return number in self._short

    def oldest_s(self, now: float) -> float:
        """Returns the age of the oldest short call under way."""
        started = next(iter(self._short.values()), now)
        return now - started

    def expected_s(self, now: float, default_s: float) -> float:
        """Returns the time that one more call is expected to take.

        Args:
            now: Time.
            default_s: Latency to assume if none was measured.
        """
        latency = max(self.latency_s or default_s, self.oldest_s(now))
        load = (self.outstanding(now) + 1) / self.limit(now)
        return latency * max(1.0, load) * (1.0 + 0.1 * load)


class Group:
    """Views of the upstreams of one service.

    Attributes:
        hedge: When its late calls get a second attempt.
    """

    def __init__(self) -> None:
        """Creates an empty group."""
        self._views: dict[str, View] = {}
        self._median_s = 0.0
        self._changes: list[Change] = []
        self.hedge = hedge.Hedge()

    @property
    def median_s(self) -> float:
        """Median of the latencies; 0 if none is known."""
        return self._median_s

    def view(self, member: messages.Member, now: float) -> View:
        """Returns the view of a member, a new one if it has restarted."""
        view = self._views.get(member.instance)
        if view is None or view.incarnation != member.incarnation:
            view = View(member.instance, member.slots, now, member.incarnation)
            self._views[member.instance] = view
        view.slots = member.slots
        return view

    def keep(self, instances: set[str]) -> None:
        """Forgets instances that have gone."""
        for name in self._views.keys() - instances:
            del self._views[name]

    def take_changes(self) -> list[Change]:
        """Returns the decisions since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def observe(self, view: View, seconds: float, now: float) -> None:
        """Takes the latency of a short call and judges the upstream."""
        view.observe(seconds, now)
        self.hedge.observe(seconds)
        self._judge(view)

    def observe_least(self, view: View, seconds: float, now: float) -> None:
        """Takes how long a call lasted before it was cancelled as the loser.

        A time below the usual latency says nothing of the upstream.
        """
        if seconds > view.latency_s:
            self.observe(view, seconds, now)

    def _judge(self, view: View) -> None:
        known = [v.latency_s for v in self._views.values() if v.latency_s]
        self._median_s = statistics.median_low(known)
        bound = max(
            SLOW_FACTOR * self._median_s, self._median_s + SLOW_MARGIN_S
        )
        is_slow = view.latency_s > bound
        if is_slow != view.is_shunned:
            view.is_shunned = is_slow
            action = "upstream shunned" if is_slow else "upstream restored"
            reason = (
                f"its latency is {view.latency_s * 1000:.1f} ms and the "
                f"median of the service is {self._median_s * 1000:.1f} ms"
            )
            self._changes.append(Change(view.instance, action, reason))

    def fail(self, view: View, now: float, uniform: float) -> None:
        """Takes word of a refused or broken connection to an upstream."""
        was_open = view.open_until > now
        view.fail(now, uniform)
        if not was_open:
            pause = view.open_until - now
            reason = f"a connection failed; next attempt in {pause:.2f} s"
            change = Change(view.instance, "circuit opened", reason)
            self._changes.append(change)
