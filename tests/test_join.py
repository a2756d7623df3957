"""Joining the mesh: the lowest version that a restarted daemon may adopt.

The neighbours of a daemon remember the version that it had.
"""

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
    """Replacement for the gossip that merges received members."""

    def __init__(self, table):
        """Creates it for a member table."""
        self.merge = table.merge


def _create_daemon(links, contact=""):
    settings = peers.settings(contacts=(contact,) if contact else ())
    own = builders.member("a", mesh="127.0.1.9:1")
    table = members.MemberTable(own)
    events = events_module.Events()
    distribution = config_distribution.ConfigDistribution(
        settings, table, links, events, lambda _edition: None
    )
    joining = join.Joiner(settings, table, links, Gossip(table), distribution)
    return joining, distribution, table


def _offered(version):
    edition = builders.edition(version)
    return versions.OfferedEdition(version, edition.digest, edition.data)


async def test_floor_of_a_neighbour_is_kept():
    """Guards against a restarted daemon that adopts an older version.

    The neighbour has no edition to send, so only the floor prevents it.
    """

    async def script(peer):
        number, _ = await peer.receive(messages.JoinRequest)
        await peer.send(number, messages.JoinReply(floor=5))
        await peer.receive()

    async with peers.scripted(script) as address, peers.pool() as links:
        joining, distribution, _ = _create_daemon(links, address)
        assert await joining._join_once()
        assert distribution.holder.floor == 5
        result = distribution.apply_edition(_offered(4), "")
        assert result.code == errorcodes.EDITION_BELOW_FLOOR
        assert distribution.apply_edition(_offered(5), "").code == ""


async def test_neighbour_tells_the_version_before_a_restart():
    """Guards against a floor that is lost when the daemon restarts."""
    sent = []

    class Stream:
        async def send(self, message):
            sent.append(message)

    async with peers.pool() as links:
        joining, _, table = _create_daemon(links)
        before = builders.member("b", mesh="127.0.1.2:1", version=7)
        table.merge([before])
        after = before._replace(incarnation=2, version=0)
        await joining.answer(Stream(), messages.JoinRequest(after))
    assert sent[0].floor == 7
