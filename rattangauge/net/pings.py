"""Pings of one connection between daemons, and how long answers may take."""

# Assumed rate of a slow network. The bytes on their way delay the answer to a
# ping, so the time limit of the ping grows by the time they take.
SLOW_LINK_BYTES_PER_S = 100_000.0


class Pings:
    """State of the pings that one end of a connection sends.

    All times are on the clock of ``time.monotonic``, in seconds.

    >>> pings = Pings(now=10.0)
    >>> sequence = pings.begin(11.0)
    >>> pings.is_overdue(11.5, limit_s=0.4)
    True
    >>> pings.accept_pong(sequence)
    >>> pings.is_overdue(11.5, limit_s=0.4)
    False
    """

    def __init__(self, now: float) -> None:
        """Creates the state of a connection that is opened now."""
        self._received_at = now
        self._pinged_at: float | None = None
        # Bytes sent since the last byte from the other end arrived.
        self._unacknowledged_bytes = 0
        self._sequence = 0

    @property
    def is_awaited(self) -> bool:
        """Whether a ping is not answered yet."""
        return self._pinged_at is not None

    @property
    def received_at(self) -> float:
        """Time at which the last byte from the other end arrived."""
        return self._received_at

    def record_received(self, now: float) -> None:
        """Records that bytes arrived from the other end."""
        self._received_at = now
        self._unacknowledged_bytes = 0

    def record_sent(self, size: int) -> None:
        """Records that a number of bytes was sent to the other end."""
        self._unacknowledged_bytes += size

    def begin(self, now: float) -> int:
        """Records that a ping is sent now; returns its sequence number."""
        self._pinged_at = now
        self._sequence += 1
        return self._sequence

    def accept_pong(self, sequence: int) -> None:
        """Records an answer; one to an earlier ping has no effect."""
        if sequence == self._sequence:
            self._pinged_at = None

    def restart(self, now: float) -> None:
        """Starts the wait for an answer again, if there is one."""
        if self._pinged_at is not None:
            self._pinged_at = now

    def is_overdue(self, now: float, limit_s: float) -> bool:
        """Tells whether a ping is unanswered for longer than a limit.

        The time that the unacknowledged bytes take on a slow network is added
        to the limit.
        """
        if self._pinged_at is None:
            return False
        sending_s = self._unacknowledged_bytes / SLOW_LINK_BYTES_PER_S
        return now - self._pinged_at > limit_s + sending_s
