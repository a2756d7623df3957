"""Serving, adopting and rejecting editions on one daemon."""

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
    """Stream that records sent messages; sending waits for ``open``."""

    def __init__(self, is_open=True):
        """Creates the stream; if not open, sending waits."""
        self.sent = []
        self.open = anyio.Event()
        if is_open:
            self.open.set()

    async def send(self, message):
        """Records a message once the stream is open."""
        await self.open.wait()
        self.sent.append(message)


def _create_distribution(adopted):
    settings = settings_module.parse(SETTINGS, "test")
    table = members.MemberTable(builders.member("a"))
    events = events_module.Events()
    distribution = config_distribution.ConfigDistribution(
        settings, table, None, events, adopted.append
    )
    return distribution, events


def _offer_of(edition):
    return versions.OfferedEdition(
        edition.version, edition.digest, edition.data
    )


def _edition_of(version):
    return builders.edition(version, builders.object_set(timeout_ms=version))


async def test_whole_editions_at_a_time_are_bounded():
    """Guards against a daemon overloaded by full transfers.

    These come when all daemons of a zone restart at once.
    """
    distribution, _ = _create_distribution([])
    distribution.apply_edition(_offer_of(_edition_of(1)), "")
    slow, refused, later = (RecordingStream(i > 0) for i in range(3))
    request = messages.EditionRequest()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(distribution.serve, slow, request)
        await anyio.wait_all_tasks_blocked()
        await distribution.serve(refused, request)
        slow.open.set()
    await distribution.serve(later, request)
    assert refused.sent[0].code == errorcodes.EDITION_BUSY
    assert refused.sent[0].retry_after_ms > 0
    assert slow.sent[0].last
    assert later.sent == slow.sent


async def test_delta_is_served_from_a_kept_edition():
    """Guards against full transfers to members with the previous version."""
    distribution, _ = _create_distribution([])
    old, new = (_edition_of(version) for version in (1, 2))
    distribution.apply_edition(_offer_of(old), "")
    distribution.apply_edition(_offer_of(new), "")
    stream = RecordingStream()
    await distribution.serve(stream, messages.EditionRequest(1, old.digest))
    assert stream.sent[0].delta
    result = delta.apply_delta(old, 2, new.digest, stream.sent[0].data)
    assert result == new
    unknown = RecordingStream()
    await distribution.serve(unknown, messages.EditionRequest(1, "other"))
    assert not unknown.sent[0].delta


async def test_rejection_is_recorded_once_and_not_wanted_again():
    """Guards against repeated pulls of an edition that is always rejected."""
    adopted = []
    distribution, events = _create_distribution(adopted)
    distribution.apply_edition(_offer_of(_edition_of(1)), "")
    objects = builders.object_set()
    objects["route"]["bad"] = generated.Route("bad", "missing", "/bad")
    bad = versions.OfferedEdition(2, *builders.encoded(objects))
    distribution.apply_edition(bad, "127.0.1.9:1")
    distribution.apply_edition(bad, "127.0.1.8:1")
    assert distribution.rejected == (2, errorcodes.OBJECT_REFERENCE)
    actions = [event.action for event in events.with_subject("version 2")]
    assert actions == ["rejected"]
    assert not distribution.holder.wants(2, bad.digest)
    assert [edition.version for edition in adopted] == [1]


async def test_fork_is_shown_and_cleared_by_a_newer_version():
    """Guards against a fork that is not reported, or is reported forever."""
    distribution, _ = _create_distribution([])
    distribution.apply_edition(_offer_of(_edition_of(1)), "")
    distribution.record_peer_version(1, "other", "127.0.1.9:1")
    assert distribution.rejected == (1, errorcodes.EDITION_FORK)
    distribution.apply_edition(_offer_of(_edition_of(2)), "")
    assert distribution.rejected == (0, "")


def test_updates_out_of_order_never_go_back():
    """Guards against a delayed older edition that replaces a newer one."""
    holder = versions.ActiveEdition()
    order = list(range(1, 9)) * 2
    random.Random(4).shuffle(order)
    highest = 0
    for version in order:
        holder.take(_offer_of(_edition_of(version)))
        highest = max(highest, version)
        assert holder.version == highest
