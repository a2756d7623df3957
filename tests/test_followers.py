"""Daemons that follow the configuration through those that watch the store."""

import anyio
import pytest

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.sidecar import configsync
from rattangauge.sidecar import watchers
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
NEW = meshes.path("/new/", "skladby")
COUNT = watchers.MAX_DAEMONS_WITHOUT_FOLLOWERS + 4

# The bound on a change, from its acknowledgement, on each machine with a path
# to the store, in seconds (config-apply-s).
APPLY_S = 2.5


@pytest.fixture
def anyio_backend():
    """Runs the daemons on the loop that they have on the platform."""
    return "asyncio", {"use_uvloop": True}


def roles(mesh):
    """Returns the names of the watchers and of the followers."""
    followers = {
        name
        for name, place in mesh.places.items()
        if place.node is not None and watchers.sources(place.node._peers)
    }
    return mesh.places.keys() - followers, followers


async def start(mesh):
    mesh.publish([TRACK])
    for number in range(COUNT):
        await mesh.add(f"n{number}")
    await mesh.wait_ready()
    await mesh.heartbeats()

    async def only_watchers_call():
        before = len(mesh.store.calls)
        await anyio.sleep(1.0)
        watches = [c for c in mesh.store.calls[before:] if "watch=" in c]
        return len(watches) <= watchers.MIN_WATCHERS

    await mesh.wait(only_watchers_call, 15.0)


async def wait_version(mesh, names, version):
    async def have_version():
        nodes = [mesh.places[name].node for name in names]
        return all(node._config_sync.version == version for node in nodes)

    await mesh.wait(have_version, APPLY_S)


async def test_a_change_is_read_from_the_store_by_the_watchers_alone():
    """Guards against whole configurations over all links of a large zone."""
    async with meshes.running() as mesh:
        await start(mesh)
        watching, followers = roles(mesh)
        assert len(watching) == watchers.MIN_WATCHERS
        before = len(mesh.store.calls)
        mesh.publish([TRACK, NEW])
        await wait_version(mesh, mesh.places, 2)
        await mesh.heartbeats()
        calls = [c for c in mesh.store.calls[before:] if "/config" in c]
        assert len(calls) <= 2 * watchers.MIN_WATCHERS
        for name in followers:
            assert (await mesh.call(name, "/new/1"))[0] == 200
        mesh.publish([NEW])
        await wait_version(mesh, mesh.places, 3)
        for name in followers:
            assert (await mesh.call(name, "/track/1"))[0] == 404


async def test_followers_whose_watchers_are_lost_read_the_store():
    """Guards against followers that wait for watchers which are gone."""
    async with meshes.running() as mesh:
        await start(mesh)
        watching, followers = roles(mesh)
        for name in watching:
            mesh.places[name].kill()
        mesh.publish([TRACK, NEW])
        await wait_version(mesh, followers, 2)


async def test_followers_whose_watchers_are_refused_read_the_store(monkeypatch):
    """Guards against a store that refuses the watchers and serves others."""

    async def refuse(*_arguments):
        code = errorcodes.STORE_UNAVAILABLE
        raise errors.CodedError(code, "the store answered 503")

    async with meshes.running() as mesh:
        await start(mesh)
        watching, followers = roles(mesh)
        for name in watching:
            store = mesh.places[name].node._config_sync._store
            monkeypatch.setattr(store, "read_configuration", refuse)
            monkeypatch.setattr(store, "watch_configuration", refuse)
        # Watches that have begun still tell of changes.
        await anyio.sleep(configsync.WATCH_S)
        mesh.publish([TRACK, NEW])
        await wait_version(mesh, followers, 2)
