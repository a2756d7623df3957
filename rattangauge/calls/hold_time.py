"""Estimates how long calls hold a slot of an upstream."""

import math

# Hold time to assume before any is known.
DEFAULT_HOLD_S = 0.05
# Largest mean hold time. An upstream whose calls do not end would otherwise
# have one that grows without bound and does not fit into a load message.
MAX_HOLD_S = 60.0
# Time constant of the mean hold time of all calls.
HOLD_MEMORY_S = 0.4
# The mean hold time counts as unknown after this time without a running call.
HOLD_TTL_S = 3.0


class HoldTimeEstimate:
    """Estimate of the mean hold time that also grows while no call ends.

    It is the time for which slots were held, divided by the number of calls
    that ended; both decay exponentially. Since calls in progress add to the
    held time, the estimate shows that an upstream slows down before any of its
    slow calls has ended.
    """

    def __init__(self, now: float) -> None:
        """Starts as if one call with the default hold time had ended."""
        self._held_s = DEFAULT_HOLD_S
        self._ended_count = 1.0
        self._updated_at = now
        self._last_running_at = now - HOLD_TTL_S

    @property
    def hold_s(self) -> float:
        """Mean hold time in seconds; at most ``MAX_HOLD_S``."""
        if self._held_s >= MAX_HOLD_S * self._ended_count:
            return MAX_HOLD_S
        return self._held_s / self._ended_count

    def advance(self, running: int, now: float) -> None:
        """Adds the slot time that was held since the last update.

        Args:
            running: Calls that ran since the last update.
            now: Time.
        """
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        if not running:
            return
        self._last_running_at = now
        decay = math.exp(-elapsed_s / HOLD_MEMORY_S)
        self._held_s = self._held_s * decay + running * elapsed_s
        self._ended_count *= decay

    def is_measured(self, now: float) -> bool:
        """Tells whether a call has run in the last ``HOLD_TTL_S`` seconds."""
        return now - self._last_running_at < HOLD_TTL_S

    def end(self) -> None:
        """Counts a call that ended."""
        self._ended_count += 1.0
