"""Tests of the frame parser and of mesh connections with invalid bytes."""

import subprocess
import sys

import anyio
from anyio.streams import buffered
import hypothesis
from hypothesis import strategies
import pytest

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import connection_monitor
from rattangauge.net import connections
from rattangauge.net import frames
from rattangauge.net import packing
from tests import peers

FRAME_CODES = {
    errorcodes.FRAME_MAGIC,
    errorcodes.FRAME_VERSION,
    errorcodes.FRAME_OVERSIZED,
    errorcodes.FRAME_TRUNCATED,
    errorcodes.FRAME_MALFORMED,
}
COMPLETE_FRAME = frames.pack(7, messages.CallData(b"body", True))
OTHER_VERSION = frames.HEAD.pack(b"RG", 1, 0)
OVERSIZED = frames.HEAD.pack(b"RG", 2, frames.MAX_FRAME_BYTES + 1)


class ChunkedSource:
    """A byte stream that returns data in chunks and then ends."""

    def __init__(self, data, size):
        """Creates a stream with chunks of at most ``size`` bytes."""
        self._data = data
        self._size = size

    async def receive(self, max_bytes=65536):
        """Returns the next chunk."""
        if not self._data:
            raise anyio.EndOfStream
        size = min(self._size, max_bytes)
        chunk, self._data = self._data[:size], self._data[size:]
        return chunk


def read_all(data, size=3):
    """Returns the frames in the bytes, and the error code or None."""

    async def read():
        source = buffered.BufferedByteReceiveStream(ChunkedSource(data, size))
        received = []
        try:
            while (frame := await frames.read(source)) is not None:
                received.append(frame)
        except errors.CodedError as error:
            return received, error.code
        return received, None

    return anyio.run(read)


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2**32 - 1), strategies.binary(max_size=40)
        ),
        max_size=4,
    ),
    strategies.integers(1, 50),
)
def test_frames_round_trip(expected, size):
    """Guards against parsing that depends on the sizes of the chunks."""
    sent = [(n, messages.CallData(body, False)) for n, body in expected]
    data = b"".join(frames.pack(*frame) for frame in sent)
    assert read_all(data, size) == (sent, None)


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=80),
        strategies.binary(max_size=80).map(
            lambda data: frames.HEAD.pack(b"RG", 2, len(data)) + data
        ),
    )
)
def test_garbage_has_a_code(data):
    """Guards against invalid bytes that raise an error without a code."""
    _, code = read_all(data)
    assert code is None or code in FRAME_CODES


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(strategies.integers(1, len(COMPLETE_FRAME) - 1))
def test_truncated_frame(length):
    """Guards against a truncated frame that counts as a regular end."""
    assert (
        read_all(COMPLETE_FRAME + COMPLETE_FRAME[:length])[1]
        == errorcodes.FRAME_TRUNCATED
    )


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", errorcodes.FRAME_MAGIC),
        (OTHER_VERSION, errorcodes.FRAME_VERSION),
        (OVERSIZED, errorcodes.FRAME_OVERSIZED),
        (frames.HEAD.pack(b"RG", 2, 8) + b"\xff" * 8, "frame.malformed"),
    ],
)
async def test_bad_peer_is_told_and_others_go_on(data, code):
    """Guards against invalid frames that stop the daemon.

    The sender gets the error code, and other connections still work.
    """

    async def handle(stream, _message):
        await stream.send(messages.ProbeAck(reached=True))

    async with peers.serving(handle) as port:
        async with await anyio.connect_tcp("127.0.0.1", port) as bad:
            peer = peers.Peer(bad)
            await peer.send_bytes(data)
            with anyio.fail_after(30):
                number, notice = await peer.receive()
                assert await peer.receive() == (None, None)
        assert number == 0 and notice.code == code
        async with await anyio.connect_tcp("127.0.0.1", port) as good:
            peer = peers.Peer(good)
            await peer.send(1, messages.Probe())
            with anyio.fail_after(30):
                assert (await peer.receive())[1].reached


def test_idle_pings_of_many_connections_are_bounded():
    """Guards against pings that grow with the square of the mesh size."""
    monitor = connection_monitor.ConnectionMonitor(1.0)
    assert monitor.idle_period_s == 1.0
    for _ in range(200):
        monitor.add(connections.Connection(monitor))
    pings_per_s = 200 / monitor.idle_period_s
    assert pings_per_s <= connection_monitor.IDLE_PINGS_PER_S


# Frames whose bytes end before a segment that their message announces: a
# message of 34 bytes, and the parts of a long one.
CUT_OFF = bytes.fromhex(
    "010e500101110108500104000011 0d0a110d12110d1a110c0300330178037979 0002"
)
LONG = messages.encode(
    1, messages.EditionPart(3, "d" * 64, False, bytes(range(256)) * 99, True)
)
READ_FRAMES = """
import sys
from rattangauge import errors
from rattangauge.net import frames
for line in sys.stdin:
    try:
        frames.unpack(bytes.fromhex(line))
    except errors.CodedError:
        continue
    print("read", line)
"""


@pytest.mark.parametrize(
    "payloads",
    [
        [CUT_OFF],
        [LONG[: len(LONG) - 1]],
        [LONG[:length] for length in range(0, len(LONG), 97)],
    ],
    ids=["short", "last-byte", "any-length"],
)
def test_a_message_that_is_cut_off_ends_no_process(payloads):
    """Guards against a frame that aborts the process without a trace."""
    lines = "\n".join(payload.hex() for payload in payloads)
    done = subprocess.run(
        [sys.executable, "-c", READ_FRAMES],
        input=lines,
        capture_output=True,
        text=True,
        check=False,
    )
    assert (done.returncode, done.stdout) == (0, "")


@hypothesis.given(
    strategies.binary(max_size=30_000),
    strategies.integers(1, 200),
    strategies.integers(1, 1000),
)
def test_a_whole_message_is_read_whatever_its_segments_are(
    body, repetitions, cut
):
    """Guards against messages that count as cut off and are not."""
    body = (body * repetitions)[: frames.MAX_FRAME_BYTES // 4]
    message = messages.EditionPart(3, "d" * 64, False, body, True)
    packed = messages.encode(1, message)
    assert frames.unpack(packed) == (1, message)
    if packed[0] & 0x0F:
        assert not packing.is_whole(packed[: max(1, len(packed) - cut)])


def test_a_run_beyond_a_segment_is_malformed():
    """Guards against a message that aborts the process when it is read."""
    packed = bytes.fromhex("01011109005002000101010311050a3105c25d00ff0077")
    assert not packing.is_whole(packed)
    with pytest.raises(errors.CodedError):
        frames.unpack(packed)
