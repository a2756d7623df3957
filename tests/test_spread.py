"""Serving, taking and rejecting editions at one daemon."""

import random

import anyio
import pytest

from rattangauge import events as events_module
from rattangauge import settings as settings_module
from rattangauge.config import delta
from rattangauge.config import versions
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.generated import objects as generated
from rattangauge.membership import members
from rattangauge.net import config_distribution
from tests import builders

pytestmark = pytest.mark.anyio

SETTINGS = """
[instance]
name = "a"
zone = "zone-1"
region = "sk-west"
[listen]
callers = "127.0.1.1:7001"
mesh = "127.0.1.1:7000"
operators = "127.0.1.1:7002"
[mesh]
whole_editions = 1
[platform]
url = "http://127.0.0.1:9"
"""


class RecordingStream:
    """Keeps the messages that are sent; sending waits for ``open``."""

    def __init__(self, is_open=True):
        """Creates a stream that takes messages now or later."""
        self.sent = []
        self.open = anyio.Event()
        if is_open:
            self.open.set()

    async def send(self, message):
        """Takes a message."""
        await self.open.wait()
        self.sent.append(message)


def _spread(used):
    settings = settings_module.parse(SETTINGS, "test")
    table = members.MemberTable(builders.member("a"))
    events = events_module.Events()
    made = config_distribution.Spread(
        settings, table, None, events, used.append
    )
    return made, events


def _offered(edition):
    return versions.Offered(edition.version, edition.digest, edition.data)


def _changed(version):
    return builders.edition(version, builders.object_set(timeout_ms=version))


async def test_whole_editions_at_a_time_are_bounded():
    """Guards against a daemon that is overrun when a whole zone returns."""
    spread, _ = _spread([])
    spread.take(_offered(_changed(1)), "")
    slow, refused, later = (RecordingStream(i > 0) for i in range(3))
    request = messages.EditionRequest()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(spread.serve, slow, request)
        await anyio.wait_all_tasks_blocked()
        await spread.serve(refused, request)
        slow.open.set()
    await spread.serve(later, request)
    assert refused.sent[0].code == errorcodes.EDITION_BUSY
    assert refused.sent[0].retry_after_ms > 0
    assert slow.sent[0].last
    assert later.sent == slow.sent


async def test_delta_is_served_from_a_kept_edition():
    """Guards against whole transfers to members that are one change behind."""
    spread, _ = _spread([])
    old, new = (_changed(version) for version in (1, 2))
    spread.take(_offered(old), "")
    spread.take(_offered(new), "")
    stream = RecordingStream()
    await spread.serve(stream, messages.EditionRequest(1, old.digest))
    assert stream.sent[0].delta
    result = delta.apply(old, 2, new.digest, stream.sent[0].data)
    assert result == new
    unknown = RecordingStream()
    await spread.serve(unknown, messages.EditionRequest(1, "other"))
    assert not unknown.sent[0].delta


async def test_rejection_is_recorded_once_and_not_wanted_again():
    """Guards against a tight loop over an edition that can never be taken."""
    used = []
    spread, events = _spread(used)
    spread.take(_offered(_changed(1)), "")
    objects = builders.object_set()
    objects["route"]["bad"] = generated.Route("bad", "missing", "/bad")
    bad = versions.Offered(2, *builders.encoded(objects))
    spread.take(bad, "127.0.1.9:1")
    spread.take(bad, "127.0.1.8:1")
    assert spread.rejected == (2, errorcodes.OBJECT_REFERENCE)
    actions = [event.action for event in events.with_subject("version 2")]
    assert actions == ["rejected"]
    assert not spread.holder.wants(2, bad.digest)
    assert [edition.version for edition in used] == [1]


async def test_fork_is_shown_and_cleared_by_a_newer_version():
    """Guards against a fork that nobody notices, or that sticks for good."""
    spread, _ = _spread([])
    spread.take(_offered(_changed(1)), "")
    spread.offer(1, "other", "127.0.1.9:1")
    assert spread.rejected == (1, errorcodes.EDITION_FORK)
    spread.take(_offered(_changed(2)), "")
    assert spread.rejected == (0, "")


def test_updates_out_of_order_never_go_back():
    """Guards against a late older edition that replaces a newer one."""
    holder = versions.Holder()
    order = list(range(1, 9)) * 2
    random.Random(4).shuffle(order)
    highest = 0
    for version in order:
        holder.take(_offered(_changed(version)))
        highest = max(highest, version)
        assert holder.version == highest
