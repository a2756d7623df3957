"""Frames that must not end a daemon that runs as a real process (FAULT)."""

import anyio
import pytest

from rattangauge.generated import messages
from rattangauge.net import frames
from standins import configurations
from tests import test_frames
from tests import test_log
from tools import platformfleet

PATHS = [configurations.path("/track/", "skladby")]
CALL = frames.pack(
    1,
    messages.CallOpen(
        call_id="c",
        service="skladby",
        method="POST",
        target="/track/1",
        deadline_ms=5000,
        body_bytes=100_000,
        last=False,
    ),
)


def frame(payload):
    """Returns a frame with a payload."""
    head = frames.HEAD.pack(frames.MAGIC, frames.PROTOCOL_VERSION, len(payload))
    return head + payload


@pytest.mark.parametrize(
    "sent",
    [
        [frame(test_frames.CUT_OFF)],
        [CALL, frame(bytes.fromhex(test_log.MALFORMED))],
    ],
    ids=["cut-off", "malformed-beside-a-call"],
)
async def test_a_frame_that_cannot_be_read_ends_no_daemon(sent):
    """Guards against a few bytes at the mesh port that end a daemon."""
    async with platformfleet.running() as fleet:
        fleet.publish(PATHS, ("skladby",))
        machine = await fleet.add("a", "skladby")
        fleet.start("a")
        await fleet.wait_ready("a")
        await fleet.wait_served("a", "/track/1")
        host, _, port = machine.settings["listen"]["mesh"].rpartition(":")
        for _ in range(3):
            peer = await anyio.connect_tcp(host, int(port))
            for data in sent:
                await peer.send(data)
                await anyio.sleep(0.1)
            await peer.aclose()
        await anyio.sleep(0.5)
        assert machine.is_running, machine.log_text()
        assert await fleet.request("a", "/track/1") == 200
        assert await machine.stop() == 0
