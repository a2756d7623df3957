"""The frame reader and connections under arbitrary bytes."""

import anyio
from anyio.streams import buffered
import hypothesis
from hypothesis import strategies
import pytest

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import connections
from rattangauge.net import frames
from tests import peers

FRAME_CODES = {
    errorcodes.FRAME_MAGIC,
    errorcodes.FRAME_VERSION,
    errorcodes.FRAME_OVERSIZED,
    errorcodes.FRAME_TRUNCATED,
    errorcodes.FRAME_MALFORMED,
}
WHOLE = frames.pack(7, messages.CallData(b"body", True))
OTHER_VERSION = frames.HEAD.pack(b"RG", 1, 0)
OVERSIZED = frames.HEAD.pack(b"RG", 2, frames.MAX_FRAME_BYTES + 1)


class Pieces:
    """A byte source that returns given pieces and then ends."""

    def __init__(self, data, size):
        """Creates a source of pieces of at most ``size`` bytes."""
        self._data = data
        self._size = size

    async def receive(self, max_bytes=65536):
        """Returns the next piece."""
        if not self._data:
            raise anyio.EndOfStream
        size = min(self._size, max_bytes)
        piece, self._data = self._data[:size], self._data[size:]
        return piece


def read_all(data, size=3):
    """Returns all frames of the bytes and the code that ended them."""

    async def read():
        source = buffered.BufferedByteReceiveStream(Pieces(data, size))
        found = []
        try:
            while (frame := await frames.read(source)) is not None:
                found.append(frame)
        except errors.CodedError as error:
            return found, error.code
        return found, None

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
def test_frames_round_trip(wanted, size):
    """Guards against frames that depend on how the bytes arrive."""
    sent = [(n, messages.CallData(body, False)) for n, body in wanted]
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
    """Guards against bytes that crash the reader."""
    _, code = read_all(data)
    assert code is None or code in FRAME_CODES


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(strategies.integers(1, len(WHOLE) - 1))
def test_truncated_frame(length):
    """Guards against half a frame that counts as the end."""
    assert read_all(WHOLE + WHOLE[:length])[1] == errorcodes.FRAME_TRUNCATED


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
    """Guards against a daemon that a bad peer can stop."""

    async def handle(stream, _message):
        await stream.send(messages.ProbeAck(reached=True))

    async with peers.serving(handle) as port:
        async with await anyio.connect_tcp("127.0.0.1", port) as bad:
            peer = peers.Peer(bad)
            await peer.send_bytes(data)
            with anyio.fail_after(30):
                number, told = await peer.receive()
                assert await peer.receive() == (None, None)
        assert number == 0 and told.code == code
        async with await anyio.connect_tcp("127.0.0.1", port) as good:
            peer = peers.Peer(good)
            await peer.send(1, messages.Probe())
            with anyio.fail_after(30):
                assert (await peer.receive())[1].reached


def test_idle_pings_of_many_connections_are_bounded():
    """Guards against pings that grow with the square of the fleet."""
    owner = connections.Connections(1.0)
    assert owner.idle_period_s == 1.0
    for _ in range(200):
        owner.add(connections.Connection(owner))
    pings_per_s = 200 / owner.idle_period_s
    assert pings_per_s <= connections.IDLE_PINGS_PER_S
