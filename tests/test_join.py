"""Joining the mesh: the floor that neighbours remember for an address."""

import pytest

from rattangauge import events as events_module
from rattangauge.config import versions
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.net import config_distribution
from rattangauge.net import join
from tests import builders
from tests import peers

pytestmark = pytest.mark.anyio


class Gossip:
    """Takes the members that a joining daemon is told."""

    def __init__(self, table):
        """Merges into a table."""
        self.merge = table.merge


def _daemon(links, contact=""):
    settings = peers.settings(contacts=(contact,) if contact else ())
    own = builders.member("a", mesh="127.0.1.9:1")
    table = members.MemberTable(own)
    events = events_module.Events()
    spread = config_distribution.Spread(
        settings, table, links, events, lambda _edition: None
    )
    joining = join.Joining(settings, table, links, Gossip(table), spread)
    return joining, spread, table


def _offered(version):
    edition = builders.edition(version)
    return versions.Offered(version, edition.digest, edition.data)


async def test_floor_of_a_neighbour_is_kept():
    """Guards against an older head that a restarted daemon would take.

    The neighbour has no edition to offer, so only the floor protects.
    """

    async def script(peer):
        number, _ = await peer.receive(messages.JoinRequest)
        await peer.send(number, messages.JoinReply(floor=5))
        await peer.receive()

    async with peers.scripted(script) as address, peers.pool() as links:
        joining, spread, _ = _daemon(links, address)
        assert await joining._join_once()
        assert spread.holder.floor == 5
        taken = spread.apply_edition(_offered(4), "")
        assert taken.code == errorcodes.EDITION_BELOW_FLOOR
        assert spread.apply_edition(_offered(5), "").code == ""


async def test_neighbour_tells_the_version_before_a_restart():
    """Guards against a floor that is lost with the process that had it."""
    sent = []

    class Stream:
        async def send(self, message):
            sent.append(message)

    async with peers.pool() as links:
        joining, _, table = _daemon(links)
        before = builders.member("b", mesh="127.0.1.2:1", version=7)
        table.merge([before])
        after = before._replace(incarnation=2, version=0)
        await joining.answer(Stream(), messages.JoinRequest(after))
    assert sent[0].floor == 7
