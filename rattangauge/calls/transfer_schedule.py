"""Divides a slow network link among large transfers.

It is made for large answers that come together on a link that takes a tenth of
a second or more for each. Sent at once, they would delay all short messages on
the link by the time that they take. So they are handed to the network in
pieces, no faster than the link carries them, and short messages wait for one
piece at most.

The transfer with the fewest bytes left goes first, which leaves the fewest
callers waiting. The time that a transfer has taken counts in its favour, so
that a large one is not passed over without end.
"""

import math

# Bytes that are handed to the network at a time.
PIECE_BYTES = 8192
# Share of the link's rate that messages may take. The network adds to each of
# them, and messages of other programs of the instance use the link, too.
LINK_SHARE = 0.9
# Share of the link that large transfers get if short messages need all of it.
MIN_LINK_SHARE = 0.1
# Time for which the network may hold bytes that it has not sent, in seconds.
MAX_AHEAD_S = 0.005
# Time on the link that makes up for a second since the transfer began.
AGE_WEIGHT = 0.25

# Longest time that an answer may wait for the link, as a share of the time that
# is left to its target latency; once that has passed, of the time to its
# deadline. What exceeds it would only delay the answers behind it.
TARGET_WAIT_SHARE = 0.8
LATE_WAIT_SHARE = 0.2


def max_wait_s(target_left_s: float, deadline_left_s: float) -> float:
    """Returns the longest acceptable wait of an answer for the link.

    Args:
        target_left_s: Time to the target latency, less those for the call and
            for sending its answer, in seconds; 0 or less if it is missed.
        deadline_left_s: The same for the deadline.

    Returns:
        The time in seconds; 0 if the answer would come too late.

    >>> max_wait_s(0.5, 1.0), max_wait_s(0.0, 1.0), max_wait_s(-1.0, -0.5)
    (0.4, 0.2, 0.0)
    """
    if target_left_s > 0.0:
        return TARGET_WAIT_SHARE * target_left_s
    return LATE_WAIT_SHARE * max(0.0, deadline_left_s)


class TransferSchedule:
    """Order of the pieces of large transfers.

    Times are in seconds, on the clock of the caller of the methods.
    """

    def __init__(self, link_bytes_per_s: float) -> None:
        """Creates a schedule without requests.

        Args:
            link_bytes_per_s: Rate of the link; infinite if it is unknown.
        """
        self._bytes_per_s = link_bytes_per_s * LINK_SHARE
        self._left_bytes: dict[int, int] = {}
        # The transfer with the lowest rank goes first.
        self._ranks: dict[int, float] = {}
        # Time at which the link has sent all that it was given.
        self._free_at = -math.inf
        # Time by which the next piece goes in any case.
        self._due_at = -math.inf
        self._longest_delay_s = self.duration_s(PIECE_BYTES) / MIN_LINK_SHARE

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the transfers that wait for a turn."""
        return sum(self._left_bytes.values())

    def backlog_s(self, now: float) -> float:
        """Returns the time that the link needs for all transfers."""
        waiting_s = self.duration_s(self.waiting_bytes)
        return max(0.0, self._free_at - now) + waiting_s

    def duration_s(self, size: int) -> float:
        """Returns the time that the link takes for a number of bytes."""
        return size / self._bytes_per_s

    def record_sent(self, size: int, now: float) -> None:
        """Counts a message that was sent without a turn.

        Args:
            size: Its size, in bytes.
            now: Time.
        """
        self._free_at = max(now, self._free_at) + self.duration_s(size)

    def request(self, number: int, left_bytes: int, began_at: float) -> None:
        """Requests a turn for the next piece of a transfer.

        Args:
            number: Identifies the transfer.
            left_bytes: Bytes of it that were not handed to the network.
            began_at: Time at which the transfer began.
        """
        if not self._left_bytes:
            self._due_at = max(self._due_at, began_at + self._longest_delay_s)
        self._left_bytes[number] = left_bytes
        left_s = self.duration_s(left_bytes)
        self._ranks[number] = left_s + AGE_WEIGHT * began_at

    def withdraw(self, number: int) -> None:
        """Withdraws the request of a transfer, if there is one."""
        self._left_bytes.pop(number, None)
        self._ranks.pop(number, None)

    def delay_s(self, now: float) -> float:
        """Returns the time until the link takes the next piece."""
        next_at = min(self._due_at, self._free_at - MAX_AHEAD_S)
        return max(0.0, next_at - now)

    def take(self, now: float) -> tuple[int, int] | None:
        """Takes the next piece, if the link has room for it.

        Returns:
            Number of the transfer and size of the piece in bytes; None if the
            link is busy or nothing waits.
        """
        if not self._left_bytes or self.delay_s(now) > 0.0:
            return None
        number = min(self._ranks, key=self._ranks.__getitem__)
        size = min(PIECE_BYTES, self._left_bytes[number])
        self.withdraw(number)
        self.record_sent(size, now)
        self._due_at = now + self._longest_delay_s
        return number, size
