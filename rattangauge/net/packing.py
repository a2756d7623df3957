"""Checks packed messages before the library reads them.

The library reads the later segments of a message when they are needed. If the
bytes end before them, it raises an error where that ends the process.
"""

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
    """Tells whether a packed message has all bytes that its head announces.

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
    return _count_words(packed) >= table_words + sum(sizes)


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


def _count_words(packed: bytes) -> int:
    """Returns the number of whole words of a message; 0 if it is cut off."""
    words = position = 0
    length = len(packed)
    while position < length:
        tag = packed[position]
        position += 1 + _SIZES[tag]
        words += 1
        if tag in (_ZERO_RUN, _PLAIN_RUN):
            if position >= length:
                return 0
            run = packed[position]
            words += run
            position += 1 + (run * _WORD_BYTES if tag else 0)
    return words if position == length else 0
