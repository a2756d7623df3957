"""Reads and writes frames on a byte stream."""

from collections.abc import Iterator
import struct

import anyio
from anyio.streams import buffered

from rattangauge import errors
from rattangauge import metrics
from rattangauge.generated import errorcodes
from rattangauge.generated import messages

MAGIC = b"RG"
PROTOCOL_VERSION = 2
MAX_FRAME_BYTES = 1_048_576
HEAD = struct.Struct("<2sHI")


def pack(stream: int, message: messages.Message) -> bytes:
    """Encodes a message with its head.

    Raises:
        errors.CodedError: The frame would be larger than the limit.
    """
    payload = messages.encode(stream, message)
    if len(payload) > MAX_FRAME_BYTES:
        text = f"the frame has {len(payload)} bytes of {MAX_FRAME_BYTES}"
        raise errors.CodedError(errorcodes.FRAME_OVERSIZED, text)
    return HEAD.pack(MAGIC, PROTOCOL_VERSION, len(payload)) + payload


def payload_length(head: bytes) -> int:
    """Checks the head of a frame and returns the length of its payload.

    Raises:
        errors.CodedError: The head is not one of this protocol version.
    """
    magic, version, length = HEAD.unpack(head)
    if magic != MAGIC:
        text = f"the frame starts with {magic!r}"
        raise errors.CodedError(errorcodes.FRAME_MAGIC, text)
    if version != PROTOCOL_VERSION:
        text = f"the frame has version {version}, not {PROTOCOL_VERSION}"
        raise errors.CodedError(errorcodes.FRAME_VERSION, text)
    if length > MAX_FRAME_BYTES:
        text = f"the frame has {length} bytes of {MAX_FRAME_BYTES}"
        raise errors.CodedError(errorcodes.FRAME_OVERSIZED, text)
    return length


def unpack(payload: bytes) -> tuple[int, messages.Message]:
    """Decodes the payload of a frame into its stream and message.

    Raises:
        errors.CodedError: The payload is malformed.
    """
    try:
        return messages.decode(payload)
    except Exception as error:
        # pycapnp raises several types, depending on what is malformed.
        raise errors.CodedError(
            errorcodes.FRAME_MALFORMED, str(error)
        ) from error


async def read(
    source: buffered.BufferedByteReceiveStream,
) -> tuple[int, messages.Message] | None:
    """Reads one frame; returns None if the stream ends between frames.

    Raises:
        errors.CodedError: The bytes are not a frame, or end inside one.
    """
    try:
        start = await source.receive_exactly(1)
    except (anyio.IncompleteRead, anyio.EndOfStream):
        return None
    try:
        head = start + await source.receive_exactly(HEAD.size - 1)
        payload = await source.receive_exactly(payload_length(head))
    except (anyio.IncompleteRead, anyio.EndOfStream) as error:
        text = "the connection ended inside a frame"
        raise errors.CodedError(errorcodes.FRAME_TRUNCATED, text) from error
    number, message = unpack(payload)
    metrics.observe_received(message, HEAD.size + len(payload))
    return number, message


class Splitter:
    """Splits the bytes of a connection into frames."""

    def __init__(self) -> None:
        """Creates a splitter of a new connection."""
        self._buffer = bytearray()

    @property
    def is_inside(self) -> bool:
        """Whether a frame has begun and is not whole."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[tuple[int, messages.Message]]:
        """Takes bytes and yields the whole frames.

        Raises:
            errors.CodedError: The bytes are not a frame.
        """
        self._buffer += data
        while len(self._buffer) >= HEAD.size:
            length = payload_length(bytes(self._buffer[: HEAD.size]))
            end = HEAD.size + length
            if len(self._buffer) < end:
                return
            payload = bytes(self._buffer[HEAD.size : end])
            del self._buffer[:end]
            number, message = unpack(payload)
            metrics.observe_received(message, end)
            yield number, message
