"""Measurements that a daemon keeps of the upstreams it sends calls to."""

import math
import statistics
from typing import NamedTuple

from rattangauge.calls import hedge
from rattangauge.generated import messages

# Weight of a new latency in the moving average, and the time constant with
# which older latencies lose their weight while no calls are answered.
LATENCY_WEIGHT = 0.3
LATENCY_MEMORY_S = 0.5

# A new latency counts as at most this multiple of the average, so that a
# single outlier does not take all calls away from an upstream.
MAX_LATENCY_RATIO = 4.0

# An upstream is ejected while its latency is above the median of its service
# by this factor and also by this margin. Latencies of a few milliseconds vary
# by the margin without a fault.
SLOW_FACTOR = 3.0
SLOW_MARGIN_S = 0.002

# A load report is ignored after this time.
LOAD_TTL_S = 2.0

# Mean time for which the circuit breaker stays open after the first failed
# connection. It doubles with each further failure, up to a maximum.
FIRST_OPEN_S = 0.1
MAX_OPEN_S = 5.0

# Longest time for which an upstream counts as full after it refused a call.
MAX_FULL_S = 1.0

# An upstream that is new to this daemon starts with a share of its limit. The
# share then grows by 1 in this time, until it is 1.
RAMP_UP_S = 5.0
RAMP_UP_START_SHARE = 0.25

# An upstream is avoided for this time after one of its calls was late. The
# time is about as long as a call to a slowed upstream takes. If a second
# attempt answers first, the late call is cancelled and its latency is never
# measured, so the latency alone would not show that the upstream is slow.
AVOID_LATE_S = 0.2


class StateChange(NamedTuple):
    """A change of an upstream's state, to be recorded as an event.

    Attributes:
        instance: Instance of the upstream.
        action: What was decided about it.
        reason: Why it was decided.
    """

    instance: str
    action: str
    reason: str


class UpstreamStats:
    """Measurements of one upstream.

    All times are in seconds, on the clock of the caller of the methods.

    Attributes:
        instance: Instance of the upstream.
        slots: Slots that the upstream advertises.
        incarnation: Identifies the start of the daemon beside the upstream.
        latency_s: Moving average of the time from a request to the start of
            its answer; 0 if unknown.
        answered_at: Time of the last measured answer.
        is_ejected: Whether the upstream is much slower than the others of its
            service; it then gets only probes while others can take a call.
        open_until: Time until which its circuit breaker is open.
        full_until: Time until which it counts as full.
        avoided_until: Time until which it gets calls only if no other
            upstream can take them.
    """

    def __init__(
        self, instance: str, slots: int, now: float, incarnation: int = 0
    ) -> None:
        """Starts without a measurement of the upstream."""
        self.incarnation = incarnation
        self.instance = instance
        self.slots = slots
        self.latency_s = 0.0
        self.answered_at = now
        self.is_ejected = False
        self.open_until = 0.0
        self.full_until = 0.0
        self.avoided_until = 0.0
        self._first_seen = now
        self._load: messages.Load | None = None
        self._load_at = 0.0
        self._own_calls_at_load = 0
        self._failure_count = 0
        # Start times of the short calls without an answer, by call number.
        self._unanswered: dict[int, float] = {}
        # Number of the other calls: long ones, and short ones whose answer
        # has started.
        self._untimed_count = 0

    @property
    def own_calls(self) -> int:
        """Calls of this daemon that are in progress at the upstream."""
        return len(self._unanswered) + self._untimed_count

    def begin(self, number: int, is_long: bool, now: float) -> None:
        """Counts a call that is sent to the upstream.

        Args:
            number: Identifies the call.
            is_long: Whether the call is a long one, whose latency is not
                measured.
            now: Time.
        """
        if is_long:
            self._untimed_count += 1
        else:
            self._unanswered[number] = now

    def end(self, number: int) -> None:
        """Stops counting a call, which has ended."""
        if self._unanswered.pop(number, None) is None:
            self._untimed_count -= 1

    def pass_on(self, number: int) -> None:
        """Notes that the answer of a call has started.

        From here on the duration depends on how fast the caller reads the
        body, so it is no measurement of the upstream.
        """
        if self._unanswered.pop(number, None) is not None:
            self._untimed_count += 1

    def update_load(self, load: messages.Load, now: float) -> None:
        """Stores the load that an answer or a refusal reported."""
        self._load = load
        self._load_at = now
        self._own_calls_at_load = self.own_calls

    def observe(self, seconds: float, now: float) -> None:
        """Updates the latency with that of a short call.

        It also closes the circuit breaker.

        Args:
            seconds: Time from the request to the start of the answer.
            now: Time.
        """
        age_s = now - self.answered_at
        self.answered_at = now
        self._failure_count = 0
        self.open_until = 0.0
        if not self.latency_s:
            self.latency_s = seconds
            return
        seconds = min(seconds, MAX_LATENCY_RATIO * self.latency_s)
        weight = max(LATENCY_WEIGHT, 1.0 - math.exp(-age_s / LATENCY_MEMORY_S))
        self.latency_s += weight * (seconds - self.latency_s)

    def fail(self, now: float, uniform: float) -> None:
        """Opens the circuit breaker after a refused or broken connection.

        Args:
            now: Time.
            uniform: A random number in [0, 1); it spreads the attempts of
                different daemons.
        """
        self._failure_count += 1
        open_s = min(
            MAX_OPEN_S, FIRST_OPEN_S * 2 ** (min(self._failure_count, 10) - 1)
        )
        self.open_until = now + open_s * (0.5 + uniform)

    def refuse(self, retry_after_ms: int, now: float) -> None:
        """Marks the upstream as full after it refused a call."""
        self.full_until = now + min(MAX_FULL_S, retry_after_ms / 1000)

    def doubt(self, now: float) -> None:
        """Marks the upstream as one to avoid, as one of its calls is late."""
        self.avoided_until = now + AVOID_LATE_S

    def outstanding(self, now: float) -> int:
        """Returns the calls that run or wait at the upstream, as far as known.

        These are the calls of this daemon and those of others by the last
        report. A report that is too low cannot hide the calls of this daemon.
        """
        load = self._load
        if load is None or now - self._load_at > LOAD_TTL_S:
            return self.own_calls
        others = load.running + load.queued - self._own_calls_at_load
        return self.own_calls + max(0, others)

    def limit(self, now: float) -> float:
        """Returns how many calls may run at a time; fewer at a new upstream."""
        load = self._load
        limit = self.slots
        if (
            load is not None
            and now - self._load_at <= LOAD_TTL_S
            and load.limit
        ):
            limit = load.limit
        ramp = (now - self._first_seen) / RAMP_UP_S
        return max(1.0, limit * min(1.0, RAMP_UP_START_SHARE + ramp))

    def is_waiting(self, number: int) -> bool:
        """Tells whether a short call has no answer yet."""
        return number in self._unanswered

    def oldest_call_age_s(self, now: float) -> float:
        """Returns the age of the oldest short call without an answer."""
        started = next(iter(self._unanswered.values()), now)
        return now - started

    def expected_latency_s(self, now: float, default_s: float) -> float:
        """Returns the latency that one more call is expected to have.

        Args:
            now: Time.
            default_s: Latency to assume if none was measured.
        """
        latency_s = max(
            self.latency_s or default_s, self.oldest_call_age_s(now)
        )
        utilization = (self.outstanding(now) + 1) / self.limit(now)
        return latency_s * max(1.0, utilization) * (1.0 + 0.1 * utilization)


class ServiceStats:
    """Measurements of all upstreams of one service.

    Attributes:
        hedge: Budget and delay of second attempts at late calls.
    """

    def __init__(self) -> None:
        """Starts without upstreams."""
        self._by_instance: dict[str, UpstreamStats] = {}
        self._median_s = 0.0
        self._changes: list[StateChange] = []
        self.hedge = hedge.HedgingBudget()

    @property
    def median_s(self) -> float:
        """Median latency of the upstreams in seconds; 0 if none is known."""
        return self._median_s

    def view(self, member: messages.Member, now: float) -> UpstreamStats:
        """Returns the measurements of a member's upstream.

        They start anew if the member is unknown or has restarted.
        """
        view = self._by_instance.get(member.instance)
        if view is None or view.incarnation != member.incarnation:
            view = UpstreamStats(
                member.instance, member.slots, now, member.incarnation
            )
            self._by_instance[member.instance] = view
        view.slots = member.slots
        return view

    def keep(self, instances: set[str]) -> None:
        """Removes the measurements of all but the given instances."""
        for name in self._by_instance.keys() - instances:
            del self._by_instance[name]

    def take_changes(self) -> list[StateChange]:
        """Returns and clears the changes of state since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def observe(self, view: UpstreamStats, seconds: float, now: float) -> None:
        """Adds the latency of a short call; may eject or restore its upstream.

        Args:
            view: Measurements of the upstream that took the call.
            seconds: Time from the request to the start of the answer.
            now: Time.
        """
        view.observe(seconds, now)
        self.hedge.observe(seconds)
        self._update_ejection(view)

    def observe_cancelled(
        self, view: UpstreamStats, seconds: float, now: float
    ) -> None:
        """Adds the duration of a call cancelled after another attempt answered.

        The call would have taken longer, so its duration is a lower bound of
        its latency. A duration below the usual latency says nothing about the
        upstream and is ignored.
        """
        if seconds > view.latency_s:
            self.observe(view, seconds, now)

    def _update_ejection(self, view: UpstreamStats) -> None:
        """Ejects an upstream that has become slow, or restores one."""
        known = [v.latency_s for v in self._by_instance.values() if v.latency_s]
        self._median_s = statistics.median_low(known)
        bound = max(
            SLOW_FACTOR * self._median_s, self._median_s + SLOW_MARGIN_S
        )
        is_slow = view.latency_s > bound
        if is_slow != view.is_ejected:
            view.is_ejected = is_slow
            action = "upstream shunned" if is_slow else "upstream restored"
            reason = (
                f"its latency is {view.latency_s * 1000:.1f} ms and the "
                f"median of the service is {self._median_s * 1000:.1f} ms"
            )
            self._changes.append(StateChange(view.instance, action, reason))

    def fail(self, view: UpstreamStats, now: float, uniform: float) -> None:
        """Opens the circuit breaker of an upstream after a failed connection.

        Args:
            view: Measurements of the upstream.
            now: Time.
            uniform: A random number in [0, 1).
        """
        was_open = view.open_until > now
        view.fail(now, uniform)
        if not was_open:
            open_s = view.open_until - now
            reason = f"a connection failed; next attempt in {open_s:.2f} s"
            change = StateChange(view.instance, "circuit opened", reason)
            self._changes.append(change)
