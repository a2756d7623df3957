"""Concurrency limit of an upstream, from the service time that it shows."""

import math
import statistics

# A window of samples is judged after this time and with this many samples.
WINDOW_S = 0.05
WINDOW_SAMPLES = 8

# Service times up to this factor of the baseline count as normal variation.
TOLERANCE = 2.0

# One window lowers the limit at most to this share, and raises it by this one.
LARGEST_CUT = 0.5
RAISE_SHARE = 0.1

# The limit never falls below a quarter of the slots, within these bounds. The
# upper one holds for an upstream that advertises more slots than it has.
FLOOR_SHARE = 0.25
MIN_FLOOR = 2
MAX_FLOOR = 4

# The baseline follows faster service quickly. It follows slower service only
# while the limit is at its floor: then fewer calls did not help, so the calls
# of this daemon are not the cause.
BASELINE_FALL = 0.3
BASELINE_RISE = 0.1

# An upstream that has just begun to serve reaches its full limit in this time.
COLD_START_S = 5.0


def floor_of(slots: int) -> int:
    """Returns the least limit for a number of slots.

    >>> [floor_of(slots) for slots in (1, 2, 9, 18, 1000)]
    [1, 2, 3, 4, 4]
    """
    share = math.ceil(slots * FLOOR_SHARE)
    return min(slots, max(MIN_FLOOR, min(MAX_FLOOR, share)))


class Limit:
    """Adaptive concurrency limit of one upstream.

    Only calls of one class and with a whole body in hand should be observed:
    the time of others depends on their callers.
    """

    def __init__(self, slots: int, now: float) -> None:
        """Creates the limit of an upstream that begins to serve.

        Args:
            slots: Slots that the upstream advertises.
            now: Time in seconds, as for all methods.
        """
        self._slots = slots
        self._limit = float(floor_of(slots))
        self._began = now
        self._baseline_s = 0.0
        self._service_s = 0.0
        self._samples: list[float] = []
        self._window_began = now
        self._peak = 0

    @property
    def slots(self) -> int:
        """Slots that the upstream advertises."""
        return self._slots

    @property
    def service_s(self) -> float:
        """Moving average of the service time, in seconds; 0 if unknown."""
        return self._service_s

    @property
    def baseline_s(self) -> float:
        """Service time without overload, in seconds; 0 if unknown."""
        return self._baseline_s

    def set_slots(self, slots: int) -> None:
        """Takes a new number of advertised slots."""
        self._slots = slots
        self._limit = min(max(self._limit, floor_of(slots)), slots)

    def value(self, now: float) -> int:
        """Returns the number of calls that may run at a time."""
        floor = floor_of(self._slots)
        age = max(0.0, now - self._began)
        ramp = floor + (self._slots - floor) * min(1.0, age / COLD_START_S)
        return max(floor, int(min(self._limit, ramp)))

    def observe(self, seconds: float, running: int, now: float) -> bool:
        """Takes the service time of a call that has ended.

        Args:
            seconds: Service time.
            running: Calls that ran when it ended, this one included.
            now: Time.

        Returns:
            Whether the limit was cut.
        """
        weight = 0.2 if self._service_s else 1.0
        self._service_s += weight * (seconds - self._service_s)
        self._samples.append(seconds)
        self._peak = max(self._peak, running)
        is_due = now - self._window_began >= WINDOW_S
        if not is_due or len(self._samples) < WINDOW_SAMPLES:
            return False
        median = statistics.median(self._samples)
        peak = self._peak
        self._start_window(now)
        return self._judge(median, peak, now)

    def refused(self, now: float) -> bool:
        """Takes word that the upstream itself refused a call.

        Returns:
            Whether the limit was cut; it is cut once a window at most.
        """
        if now - self._window_began < WINDOW_S:
            return False
        self._start_window(now)
        return self._cut(LARGEST_CUT)

    def _start_window(self, now: float) -> None:
        self._samples.clear()
        self._window_began = now
        self._peak = 0

    def _judge(self, median: float, peak: int, now: float) -> bool:
        if not self._baseline_s:
            self._baseline_s = median
        if median > TOLERANCE * self._baseline_s:
            if self._limit <= floor_of(self._slots):
                rise = BASELINE_RISE * (median - self._baseline_s)
                self._baseline_s += rise
            return self._cut(TOLERANCE * self._baseline_s / median)
        if median < self._baseline_s:
            fall = BASELINE_FALL * (self._baseline_s - median)
            self._baseline_s -= fall
        if peak >= self.value(now) - 1:
            step = max(1.0, RAISE_SHARE * self._limit)
            self._limit = min(float(self._slots), self._limit + step)
        return False

    def _cut(self, factor: float) -> bool:
        before = int(self._limit)
        floor = floor_of(self._slots)
        lowered = self._limit * max(LARGEST_CUT, min(1.0, factor))
        self._limit = max(float(floor), lowered)
        return int(self._limit) < before
