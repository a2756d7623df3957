"""Reports between the daemons of a mesh."""

import time

import anyio
import pytest

from rattangauge.generated import messages
from rattangauge.generated import settings as generated
from rattangauge.sidecar import peerexchange
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
# Longer than the tests: only first reports and changes are sent.
PERIOD_S = 30.0
NAMES = ("a", "b", "c", "d")


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


async def start(mesh):
    """Starts daemons that report rarely, and waits until all are known."""
    mesh.publish([TRACK])
    for name in NAMES:
        instance = await mesh.prepare(name)
        rare = generated.Mesh(
            connect_timeout_s=0.2, silence_s=0.4, news_period_s=PERIOD_S
        )
        instance.settings = instance.settings._replace(mesh=rare)
        mesh.start(name)
        await anyio.sleep(0.3)
    await mesh.wait_ready()


def known(mesh, name):
    """Returns the instances whose record a daemon has."""
    peers = mesh.instances[name].node._peers
    return {peer.member.instance for peer in peers if peer.has_reported}


async def test_two_daemons_open_one_connection_to_know_each_other():
    """Guards against connections both ways at the start of each daemon."""
    async with meshes.running() as mesh:
        await start(mesh)
        for name in NAMES:
            assert known(mesh, name) == set(NAMES)
        opened = [
            len(instance.node._links._connections)
            for instance in mesh.instances.values()
        ]
        # Each daemon calls those that were there before it.
        assert sum(opened) == len(NAMES) * (len(NAMES) - 1) // 2


async def test_a_change_reaches_the_peers_that_were_not_called_yet():
    """Guards against a change that waits for the next report."""
    async with meshes.running() as mesh:
        await start(mesh)
        await mesh.instances["a"].send_heartbeat()
        own = mesh.instances["a"].settings.listen.mesh

        async def all_know():
            return all(
                mesh.instances[name].node._peers.get(own).is_serving
                for name in NAMES
            )

        await mesh.wait(all_know, 1.0)


async def test_a_lost_reply_is_given_again_whole():
    """Guards against a daemon whose record a peer never got."""
    async with meshes.running() as mesh:
        await start(mesh)
        exchange = mesh.instances["a"].node._peer_exchange
        sent = []

        class Stream:
            """Keeps what is sent."""

            async def send(self, message):
                """Keeps a message."""
                sent.append(message)

        member = messages.Member(
            instance="e", zone="zone-1", mesh="127.0.0.1:1", incarnation=5
        )
        report = messages.PeerNews(member, messages.Load())
        await exchange.handle_report(Stream(), report)
        await exchange.handle_report(Stream(), report)
        peer = mesh.instances["a"].node._peers.get("127.0.0.1:1")
        peer.known_since = time.monotonic() - peerexchange.FULL_REPLY_S
        await exchange.handle_report(Stream(), report)
        whole = [isinstance(message, messages.PeerNews) for message in sent]
        assert whole == [True, True, False]
