"""Daemons of a large zone that get the configuration from its watchers."""

import anyio
import pytest

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.sidecar import peerexchange
from rattangauge.sidecar import watchers
from tests import largezones
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
NEW = meshes.path("/new/", "skladby")


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


async def test_a_change_is_read_from_the_store_by_the_watchers_alone():
    """Guards against whole configurations over all links of a large zone."""
    async with meshes.running() as mesh:
        await largezones.start(mesh)
        watching, followers = largezones.roles(mesh)
        assert len(watching) == watchers.MIN_WATCHERS
        before = len(mesh.store.calls)
        mesh.publish([TRACK, NEW])
        await largezones.wait_version(mesh, mesh.instances, 2)
        await mesh.send_heartbeats()
        calls = [c for c in mesh.store.calls[before:] if "/config" in c]
        assert len(calls) <= 2 * watchers.MIN_WATCHERS
        for name in followers:
            assert (await mesh.call(name, "/new/1"))[0] == 200
        mesh.publish([NEW])
        await largezones.wait_version(mesh, mesh.instances, 3)
        for name in followers:
            assert (await mesh.call(name, "/track/1"))[0] == 404


async def test_followers_whose_watchers_are_lost_read_the_store():
    """Guards against followers that wait for watchers which have ended."""
    async with meshes.running() as mesh:
        await largezones.start(mesh)
        watching, followers = largezones.roles(mesh)
        for name in watching:
            mesh.instances[name].kill()
        mesh.publish([TRACK, NEW])
        await largezones.wait_version(mesh, followers, 2)


async def test_followers_whose_watchers_are_refused_read_the_store(monkeypatch):
    """Guards against a store that refuses the watchers and serves others."""

    async def refuse(*_arguments):
        code = errorcodes.STORE_UNAVAILABLE
        raise errors.CodedError(code, "the store answered 503")

    async with meshes.running() as mesh:
        await largezones.start(mesh)
        watching, followers = largezones.roles(mesh)
        for name in watching:
            store = mesh.instances[name].node._config_sync._store
            monkeypatch.setattr(store, "read_configuration", refuse)
            monkeypatch.setattr(store, "watch_configuration", refuse)
        # Watches that began before the refusal still deliver changes.
        await anyio.sleep(largezones.TIMES.watch_s)
        mesh.publish([TRACK, NEW])
        await largezones.wait_version(mesh, followers, 2)


async def test_followers_of_a_lost_watcher_poll_another_one_at_once(
    monkeypatch,
):
    """Guards against followers that read the store when a watcher changes."""
    # As in a fleet so large that each peer gets a report in ten seconds.
    monkeypatch.setattr(
        peerexchange, "MAX_EXCHANGES_PER_S", largezones.DAEMON_COUNT / 10.0
    )
    async with meshes.running() as mesh:
        await largezones.start(mesh)
        watching, followers = largezones.roles(mesh)
        lost = sorted(watching)[: watchers.SOURCE_COUNT - 1]
        for name in lost:
            mesh.instances.pop(name).kill()
        # Longer than a confirmation counts.
        await anyio.sleep(2 * largezones.TIMES.confirmation_ttl_s)
        promoted = largezones.roles(mesh)[0] - watching
        began = {
            name
            for name in followers
            for event in mesh.instances[name].events()
            if event["event"] == "config_role_changed" and event["watches"]
        }
        assert began <= promoted
