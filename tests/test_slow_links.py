"""Instances whose network link is slow and full of bodies of calls."""

import random
import time

import anyio
import pytest

from rattangauge.net import connection_pool
from rattangauge.sidecar import watchers
from standins import slowlink
from tests import meshes

# Longest time from the acknowledgement of a change by the store until it is in
# force on each instance that can reach the store, in seconds (config-apply-s).
MAX_APPLY_S = 2.5

LINK_MBPS = 3.5
BYTES_PER_S = LINK_MBPS * 125_000
BODY = random.Random(1).randbytes(60_000)
UPLOAD = meshes.path(
    "/upload/",
    "nahravky",
    kind="upload",
    **{"timeout-s": 6.0, "target-latency-s": 2.0},
)
IDLE_PATHS = [
    meshes.path(f"/idle-{number}/", "skladby", name=f"r-idle-{number}")
    for number in range(1000)
]
# Daemons of the zone that send the bodies.
SENDER_COUNT = watchers.MAX_DAEMONS_WITHOUT_FOLLOWERS + 4
# Callers of each of them that send one body after the other. Together they
# offer more than the link carries.
CALLERS_PER_SENDER = 2
# Share of the bodies which the link can carry that must be served.
MIN_USED_SHARE = 0.5
CHANGES = 5
CHANGE_PERIOD_S = 0.75


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


def use_platform_limits(instance):
    """Sets the time limits of the platform's settings."""
    settings = instance.settings
    instance.settings = settings._replace(
        mesh=settings.mesh._replace(connect_timeout_s=0.25, silence_s=1.0),
        platform=settings.platform._replace(timeout_s=1.0),
    )


async def add_sender(mesh, name):
    """Adds an instance with a fast link."""
    use_platform_limits(await mesh.prepare(name))
    mesh.start(name)


async def add_behind_slow_link(mesh, name, monkeypatch):
    """Adds an instance whose connections all share a slow link."""
    instance = await mesh.prepare(name, "nahravky", work_s=0.1)
    use_platform_limits(instance)
    settings = instance.settings
    host = settings.listen.mesh.rpartition(":")[0]
    link = slowlink.SlowLink(mesh.tasks, BYTES_PER_S, host)
    advertise = await link.to_instance(settings.listen.mesh)
    store = await link.from_instance(mesh.store.address)
    instance.settings = settings._replace(
        instance=settings.instance._replace(link_mbps=LINK_MBPS),
        listen=settings.listen._replace(advertise=advertise),
        platform=settings.platform._replace(url=f"http://{store}"),
    )
    establish = connection_pool.Links._establish

    async def establish_over_link(links, address):
        if links._settings is instance.settings:
            address = await link.from_instance(address)
        return await establish(links, address)

    monkeypatch.setattr(
        connection_pool.Links, "_establish", establish_over_link
    )
    mesh.start(name)
    return instance


def publish(mesh, paths):
    """Writes a configuration with further paths to the store."""
    mesh.publish([UPLOAD, *paths, *IDLE_PATHS], ("skladby", "nahravky"))


async def upload_repeatedly(mesh, name, statuses):
    """Sends one body after the other and stores the statuses."""
    while True:
        caller = await mesh.connect(name)
        with anyio.move_on_after(6.0):
            await caller.send("/upload/1", "POST", BODY, deadline_ms=6000)
            statuses.append((await caller.receive())[0])
        await caller.close()
        await anyio.sleep(0.05)


async def test_uploads_that_fill_a_link_do_not_keep_changes_out(monkeypatch):
    """Guards against an old configuration on an instance with a full link."""
    async with meshes.running() as mesh:
        publish(mesh, [])
        instance = await add_behind_slow_link(mesh, "slow", monkeypatch)
        for number in range(SENDER_COUNT):
            await add_sender(mesh, f"n{number}")
        await mesh.wait_ready()
        await mesh.send_heartbeats(slots=9)
        statuses = []
        started_at = time.monotonic()
        for number in range(SENDER_COUNT * CALLERS_PER_SENDER):
            name = f"n{number % SENDER_COUNT}"
            mesh.tasks.start_soon(upload_repeatedly, mesh, name, statuses)
        await anyio.sleep(3.0)
        published = {}
        late = {}
        config_sync = instance.node._config_sync
        next_change_at = time.monotonic()
        while mesh.version < CHANGES + 1 or published:
            now = time.monotonic()
            if now >= next_change_at and mesh.version < CHANGES + 1:
                next_change_at = now + CHANGE_PERIOD_S
                publish(mesh, [meshes.path(f"/v{mesh.version}/", "skladby")])
                published[mesh.version] = now
            for version, at in list(published.items()):
                if config_sync.version >= version:
                    del published[version]
                elif now - at > MAX_APPLY_S:
                    late[version] = round(now - at, 2)
                    del published[version]
            await anyio.sleep(0.02)
        assert not late
        assert 502 not in statuses
        elapsed_s = time.monotonic() - started_at
        carried = elapsed_s * BYTES_PER_S / len(BODY)
        assert statuses.count(200) >= MIN_USED_SHARE * carried
        events = [event["event"] for event in instance.events()]
        assert "dependency_lost" not in events
