"""Encodes and parses the frames of a mesh connection.

A frame is a header and a payload. The header holds the magic bytes, the
protocol version and the length of the payload; the payload holds the stream
number and one message.
"""

from collections.abc import Iterator
import struct

import anyio
from anyio.streams import buffered

from rattangauge import errors
from rattangauge import metrics
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import packing

MAGIC = b"RG"
PROTOCOL_VERSION = 2
# Limit of the payload; the header is not counted.
MAX_FRAME_BYTES = 1_048_576
HEAD = struct.Struct("<2sHI")


def pack(stream: int, message: messages.Message) -> bytes:
    """Encodes a message as a frame.

    Raises:
        errors.CodedError: The payload is larger than ``MAX_FRAME_BYTES``.
    """
    payload = messages.encode(stream, message)
    if len(payload) > MAX_FRAME_BYTES:
        text = f"the frame has {len(payload)} bytes of {MAX_FRAME_BYTES}"
        raise errors.CodedError(errorcodes.FRAME_OVERSIZED, text)
    return HEAD.pack(MAGIC, PROTOCOL_VERSION, len(payload)) + payload


def payload_length(head: bytes) -> int:
    """Checks the header of a frame and returns the payload length in bytes.

    Raises:
        errors.CodedError: The magic bytes or the protocol version are wrong, or
            the payload is larger than ``MAX_FRAME_BYTES``.
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
    """Decodes a payload into its stream number and message.

    Raises:
        errors.CodedError: The payload is malformed.
    """
    if not packing.is_whole(payload):
        text = "the message ends before its last segment"
        raise errors.CodedError(errorcodes.FRAME_MALFORMED, text)
    try:
        return messages.decode(payload)
    except Exception as error:
        # pycapnp raises exceptions of several types for malformed data.
        raise errors.CodedError(
            errorcodes.FRAME_MALFORMED, str(error)
        ) from error


async def read(
    byte_stream: buffered.BufferedByteReceiveStream,
) -> tuple[int, messages.Message] | None:
    """Reads one frame; returns None if the byte stream ends between frames.

    Raises:
        errors.CodedError: The bytes are not a frame or end inside one.
    """
    try:
        start = await byte_stream.receive_exactly(1)
    except (anyio.IncompleteRead, anyio.EndOfStream):
        return None
    try:
        head = start + await byte_stream.receive_exactly(HEAD.size - 1)
        payload = await byte_stream.receive_exactly(payload_length(head))
    except (anyio.IncompleteRead, anyio.EndOfStream) as error:
        text = "the connection ended inside a frame"
        raise errors.CodedError(errorcodes.FRAME_TRUNCATED, text) from error
    number, message = unpack(payload)
    metrics.observe_received(message, HEAD.size + len(payload))
    return number, message


class FrameParser:
    """Parses the received bytes of a connection into frames.

    Attributes:
        frame_bytes: Size of the last frame that was yielded.
    """

    def __init__(self) -> None:
        """Creates a parser with an empty buffer."""
        self._buffer = bytearray()
        self.frame_bytes = 0

    @property
    def has_partial_frame(self) -> bool:
        """Whether the buffer holds an incomplete frame."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[tuple[int, messages.Message]]:
        """Adds received bytes and yields the frames that are complete.

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
            self.frame_bytes = end
            yield number, message
