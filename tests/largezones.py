"""A zone so large that most of its daemons follow watchers of the store."""

import anyio

from rattangauge.sidecar import watchers
from rattangauge.sidecar import watchtimes
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
DAEMON_COUNT = watchers.MAX_DAEMONS_WITHOUT_FOLLOWERS + 4

# Longest time from the acknowledgement of a change by the store until it is in
# force on each instance that can reach the store, in seconds (config-apply-s).
MAX_APPLY_S = 2.5
TIMES = watchtimes.from_settings(
    meshes.daemon_settings("a", "skladby", "zone-1", "127.0.0.1:1").platform
)


def roles(mesh):
    """Returns the names of the watchers and of the followers."""
    followers = {
        name
        for name, instance in mesh.instances.items()
        if instance.node is not None and watchers.sources(instance.node._peers)
    }
    return mesh.instances.keys() - followers, followers


async def start(mesh):
    """Starts a zone with a route /track/ in which only watchers call the store.

    Returns:
        The names of the watchers and of the followers.
    """
    mesh.publish([TRACK])
    for number in range(DAEMON_COUNT):
        await mesh.add(f"n{number}")
    await mesh.wait_ready()
    await mesh.send_heartbeats()

    async def only_watchers_call():
        # Each daemon that watches calls the store at least once in this time,
        # and at most twice.
        before = len(mesh.store.calls)
        await anyio.sleep(TIMES.watch_s + 0.2)
        watches = [c for c in mesh.store.calls[before:] if "watch=" in c]
        return len(watches) <= 2 * watchers.MIN_WATCHERS

    await mesh.wait(only_watchers_call, 15.0)
    return roles(mesh)


async def wait_version(mesh, names, version):
    """Waits until daemons have a version; fails after ``MAX_APPLY_S``."""

    async def have_version():
        nodes = [mesh.instances[name].node for name in names]
        return all(node._config_sync.version == version for node in nodes)

    await mesh.wait(have_version, MAX_APPLY_S)
