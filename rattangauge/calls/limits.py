"""Adaptive concurrency limit of an upstream, from its service times.

The limit is lowered when calls take much longer than the baseline, the service
time without overload. So the limit stays useful if the upstream advertises more
slots than it has, or slows down.
"""

import math
import statistics

# The limit is adjusted after a window of at least this time and this many
# samples.
WINDOW_S = 0.05
WINDOW_SAMPLES = 8

# A median service time up to this multiple of the baseline is normal variation.
NORMAL_FACTOR = 2.0

# One window lowers the limit to no less than this share of its value.
MIN_CUT_FACTOR = 0.5
# One window raises the limit by this share of its value, or by 1 if that is
# more.
RAISE_SHARE = 0.1

# The minimum of the limit is this share of the advertised slots, within these
# bounds. The upper bound keeps the minimum low for an upstream that advertises
# more slots than it has.
MIN_LIMIT_SHARE = 0.25
MIN_LIMIT_LOWEST = 2
MIN_LIMIT_HIGHEST = 4

# Weights of a new median in the baseline when service is faster or slower. The
# baseline follows slower service only while the limit is at its minimum: fewer
# calls did not help then, so the calls of this daemon are not the cause.
BASELINE_FALL_WEIGHT = 0.3
BASELINE_RISE_WEIGHT = 0.1

# The limit of an upstream that has just started to serve grows to its full
# value in this time.
COLD_START_S = 5.0


def min_limit(slots: int) -> int:
    """Returns the minimum of the limit for a number of advertised slots.

    >>> [min_limit(slots) for slots in (1, 2, 9, 18, 1000)]
    [1, 2, 3, 4, 4]
    """
    share = math.ceil(slots * MIN_LIMIT_SHARE)
    return min(slots, max(MIN_LIMIT_LOWEST, min(MIN_LIMIT_HIGHEST, share)))


class Limit:
    """Adaptive concurrency limit of one upstream.

    Only calls of one class should be observed, and only those whose whole
    request body has been received. The duration of other calls depends on how
    fast their callers send the body.

    All times are in seconds, on the clock of the caller of the methods.
    """

    def __init__(self, slots: int, now: float) -> None:
        """Creates the limit of an upstream that starts to serve.

        Args:
            slots: Slots that the upstream advertises.
            now: Time.
        """
        self._slots = slots
        self._limit = float(min_limit(slots))
        self._started_at = now
        self._baseline_s = 0.0
        self._service_s = 0.0
        self._samples: list[float] = []
        self._window_started_at = now
        self._peak_running = 0

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
        """Sets the number of advertised slots."""
        self._slots = slots
        self._limit = min(max(self._limit, min_limit(slots)), slots)

    def value(self, now: float) -> int:
        """Returns the number of calls that may run at a time.

        After the start of the upstream the limit grows from its minimum.
        """
        lowest = min_limit(self._slots)
        age_s = max(0.0, now - self._started_at)
        ramp = lowest + (self._slots - lowest) * min(1.0, age_s / COLD_START_S)
        return max(lowest, int(min(self._limit, ramp)))

    def observe(self, seconds: float, running: int, now: float) -> bool:
        """Adds the service time of a call that has ended.

        Args:
            seconds: Service time.
            running: Calls that ran when it ended, this one included.
            now: Time.

        Returns:
            Whether the limit was lowered.
        """
        # The average starts at the first sample.
        weight = 0.2 if self._service_s else 1.0
        self._service_s += weight * (seconds - self._service_s)
        self._samples.append(seconds)
        self._peak_running = max(self._peak_running, running)
        is_due = now - self._window_started_at >= WINDOW_S
        if not is_due or len(self._samples) < WINDOW_SAMPLES:
            return False
        median = statistics.median(self._samples)
        peak = self._peak_running
        self._start_window(now)
        return self._adjust(median, peak, now)

    def refused(self, now: float) -> bool:
        """Lowers the limit after the upstream itself refused a call.

        Returns:
            Whether the limit was lowered; it is at most once a window.
        """
        if now - self._window_started_at < WINDOW_S:
            return False
        self._start_window(now)
        return self._lower(MIN_CUT_FACTOR)

    def _start_window(self, now: float) -> None:
        self._samples.clear()
        self._window_started_at = now
        self._peak_running = 0

    def _adjust(self, median: float, peak: int, now: float) -> bool:
        """Adjusts baseline and limit; tells whether the limit was lowered.

        The limit is raised only if the calls of the window came close to it.

        Args:
            median: Median service time of the window.
            peak: Largest number of calls that ran at a time.
            now: Time.
        """
        if not self._baseline_s:
            self._baseline_s = median
        if median > NORMAL_FACTOR * self._baseline_s:
            if self._limit <= min_limit(self._slots):
                rise = BASELINE_RISE_WEIGHT * (median - self._baseline_s)
                self._baseline_s += rise
            return self._lower(NORMAL_FACTOR * self._baseline_s / median)
        if median < self._baseline_s:
            fall = BASELINE_FALL_WEIGHT * (self._baseline_s - median)
            self._baseline_s -= fall
        if peak >= self.value(now) - 1:
            step = max(1.0, RAISE_SHARE * self._limit)
            self._limit = min(float(self._slots), self._limit + step)
        return False

    def _lower(self, factor: float) -> bool:
        """Multiplies the limit by a factor; tells whether it became lower."""
        before = int(self._limit)
        lowest = min_limit(self._slots)
        lowered = self._limit * max(MIN_CUT_FACTOR, min(1.0, factor))
        self._limit = max(float(lowest), lowered)
        return int(self._limit) < before
