"""Joins the parts of an answer of another daemon within the memory."""

from collections.abc import AsyncIterator

from rattangauge import receivememory
from rattangauge.calls import exchange


class _Parts:
    """Parts of one answer; given up if all messages take too much memory."""

    def __init__(self) -> None:
        self._body = bytearray()
        self._reason = ""

    @property
    def body(self) -> bytearray:
        """The joined parts."""
        return self._body

    def give_up(self, reason: str) -> None:
        """Discards the parts; ``add`` then fails."""
        self._reason = reason
        self._body = bytearray()

    def add(self, piece: bytes, memory: receivememory.ReceiveMemory) -> None:
        """Adds a part.

        Raises:
            exchange.CallFailed: The answer takes too much memory.
        """
        self._body += piece
        size = len(self._body)
        if size > memory.message_bytes:
            self.give_up(f"an answer has over {memory.message_bytes} bytes")
        elif not self._reason:
            memory.update(self, size)
        if self._reason:
            raise exchange.unknown(self._reason)


async def join(
    pieces: AsyncIterator[bytes], memory: receivememory.ReceiveMemory
) -> bytes:
    """Returns the body of an answer that arrives in parts.

    Args:
        pieces: The parts.
        memory: Memory of all messages that have been received in part.

    Raises:
        exchange.CallFailed: The answer takes too much memory, or the iterator
            raised it.
    """
    parts = _Parts()
    try:
        async for piece in pieces:
            parts.add(piece, memory)
        # It may have been given up after the last part with bytes.
        parts.add(b"", memory)
        return bytes(parts.body)
    finally:
        memory.update(parts, 0)
