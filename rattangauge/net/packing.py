"""Checks packed messages before the library reads them.

The library reads the later segments of a message when they are needed. If the
bytes end before them, or a run of words crosses the end of one, it raises an
error where that ends the process.
"""

from collections.abc import Sequence
import itertools
import struct

# Most segments that the library reads.
MAX_SEGMENTS = 512
_WORD_BYTES = 8
# Bits of the first tag for the bytes of the number of segments.
_COUNT_BITS = 0x0F
_ZERO_RUN = 0x00
_PLAIN_RUN = 0xFF
# Number of bytes that follow a tag.
_SIZES = tuple(tag.bit_count() for tag in range(256))


def is_whole(packed: bytes) -> bool:
    """Tells whether a packed message has the segments that its head announces.

    A message of one segment is not looked into: the library reads all of it at
    once.

    Args:
        packed: The message in the packed encoding of Cap'n Proto.
    """
    if not packed or not packed[0] & _COUNT_BITS:
        return True
    head = _unpack_start(packed, _WORD_BYTES)
    if len(head) < _WORD_BYTES:
        return False
    count = struct.unpack_from("<I", head)[0] + 1
    if count > MAX_SEGMENTS:
        return False
    table_words = count // 2 + 1
    table = _unpack_start(packed, table_words * _WORD_BYTES)
    if len(table) < table_words * _WORD_BYTES:
        return False
    sizes = struct.unpack_from(f"<{count}I", table, 4)
    ends = list(itertools.accumulate(sizes, initial=table_words))
    return _has_segments(packed, ends)


def _unpack_start(packed: bytes, size: int) -> bytes:
    """Returns the first bytes of a message; fewer if it ends before."""
    result = bytearray()
    position = 0
    while position < len(packed) and len(result) < size:
        tag = packed[position]
        position += 1
        end = position + _SIZES[tag]
        given = iter(packed[position:end])
        result += bytes(
            next(given, 0) if tag >> bit & 1 else 0 for bit in range(8)
        )
        position = end
        if tag not in (_ZERO_RUN, _PLAIN_RUN) or position >= len(packed):
            continue
        run_bytes = packed[position] * _WORD_BYTES
        position += 1
        if tag == _ZERO_RUN:
            result += bytes(run_bytes)
        else:
            result += packed[position : position + run_bytes]
            position += run_bytes
    return bytes(result[:size])


def _has_segments(packed: bytes, ends: Sequence[int]) -> bool:
    """Tells whether a message has all words and each run ends in its segment.

    Args:
        packed: The message.
        ends: Ends of the table and of each segment, in words from the start.
    """
    words = position = segment = 0
    length = len(packed)
    while position < length:
        tag = packed[position]
        position += 1 + _SIZES[tag]
        words += 1
        if tag in (_ZERO_RUN, _PLAIN_RUN):
            if position >= length:
                return False
            run = packed[position]
            while segment < len(ends) and ends[segment] <= words:
                segment += 1
            words += run
            if segment < len(ends) and run and words > ends[segment]:
                return False
            position += 1 + (run * _WORD_BYTES if tag else 0)
    return position == length and words >= ends[-1]
