"""Bounds the memory of messages that have been received in part.

A sender without end must not use up the memory of the machine, whatever it
sends and over however many connections. All connections of a daemon share one
bound, which follows the memory of the machine. If it is exceeded, the message
that holds the most is given up, so that small ones beside it arrive.
"""

import functools
import os
from typing import Protocol

import loguru

# Memory of a daemon without messages, with room for its growth.
IDLE_BYTES = 64 * 1024 * 1024
# Share of the rest of the memory for messages that have been received in part.
# A complete message exists several times while it is passed on.
PARTIAL_SHARE = 0.25
# The bound on machines with little memory.
MIN_PARTIAL_BYTES = 16 * 1024 * 1024
# Share of the rest of the memory for the text of one document. Parsed, it takes
# up to 20 times the size of its text.
DOCUMENT_SHARE = 1 / 32
MIN_DOCUMENT_BYTES = 4 * 1024 * 1024
# Parsing holds the event loop for a time that grows with the text.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
# Share of the bound that one message may take.
MESSAGE_SHARE = 0.5


class Holder(Protocol):
    """A connection with a message that has been received in part."""

    def give_up(self, reason: str) -> None:
        """Discards the message, and the connection if need be."""


@functools.cache
def machine_bytes() -> int:
    """Returns the memory of the machine, in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def partial_limit(memory_bytes: int) -> int:
    """Returns the bound for a machine, in bytes.

    Args:
        memory_bytes: Memory that the process may use, in bytes.

    >>> partial_limit(300 * 1024**2) // 1024**2
    59
    """
    spare_bytes = memory_bytes - IDLE_BYTES
    return max(MIN_PARTIAL_BYTES, int(spare_bytes * PARTIAL_SHARE))


def document_limit(
    memory_bytes: int, max_bytes: int = MAX_DOCUMENT_BYTES
) -> int:
    """Returns the largest text of a document that is parsed, in bytes.

    Args:
        memory_bytes: Memory that the process may use, in bytes.
        max_bytes: Largest result, in bytes.

    >>> document_limit(300 * 1024**2) // 1024**2
    7
    """
    share_bytes = int((memory_bytes - IDLE_BYTES) * DOCUMENT_SHARE)
    return min(max_bytes, max(MIN_DOCUMENT_BYTES, share_bytes))


class ReceiveMemory:
    """Memory of all messages that have been received in part."""

    def __init__(self, memory_bytes: int = 0) -> None:
        """Creates a bound.

        Args:
            memory_bytes: Memory that the process may use; 0 for that of the
                machine.
        """
        self._limit_bytes = partial_limit(memory_bytes or machine_bytes())
        self._sizes: dict[Holder, int] = {}
        self._used_bytes = 0

    @property
    def limit_bytes(self) -> int:
        """Bound of all messages together."""
        return self._limit_bytes

    @property
    def message_bytes(self) -> int:
        """Largest size of one message."""
        return int(self._limit_bytes * MESSAGE_SHARE)

    @property
    def used_bytes(self) -> int:
        """Size of all messages that have been received in part."""
        return self._used_bytes

    def update(self, holder: Holder, size: int) -> None:
        """Sets the size of a message; gives up the largest ones if needed.

        Args:
            holder: Connection of the message, which may itself be the one that
                is given up.
            size: Memory that the message takes, in bytes; 0 at its end.
        """
        before = self._sizes.pop(holder, 0)
        self._used_bytes += size - before
        if size:
            self._sizes[holder] = size
        self._give_up_excess()

    def has_room(self, size: int) -> bool:
        """Tells whether a message of a size fits beside all others."""
        return self._used_bytes + size <= self._limit_bytes

    def pin(self, size: int) -> None:
        """Counts a complete message that is being handled.

        It is not given up; messages in part give way to it.

        Args:
            size: Memory that the message takes, in bytes.
        """
        self._used_bytes += size
        self._give_up_excess()

    def unpin(self, size: int) -> None:
        """Ends the effect of ``pin`` with the same size."""
        self._used_bytes -= size

    def _give_up_excess(self) -> None:
        while self._used_bytes > self._limit_bytes and self._sizes:
            self._give_up_largest()

    def _give_up_largest(self) -> None:
        largest = max(self._sizes, key=self._sizes.__getitem__)
        size = self._sizes.pop(largest)
        self._used_bytes -= size
        reason = (
            f"messages in part exceed {self._limit_bytes} bytes and this one, "
            f"with {size}, is the largest"
        )
        loguru.logger.warning("gave up a message: {}", reason)
        largest.give_up(reason)
