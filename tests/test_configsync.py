"""Configuration of one daemon: calls of the store, choice of a peer."""

import time

import anyio
import pytest

from rattangauge import decisionlog
from rattangauge.membership import peers as peers_module
from rattangauge.sidecar import configsync
from rattangauge.sidecar import stores
from rattangauge.sidecar import watchers
from tests import builders
from tests import meshes

# Longest time from the acknowledgement of a change by the store until it is in
# force on an instance, in seconds (config-apply-s).
MAX_APPLY_S = 2.5
# Time that one version takes on the link between store and daemon.
TRANSFER_S = 0.2
CHANGES = 40
CHANGE_PERIOD_S = 0.1


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


class SlowStore:
    """A store whose link to the daemon takes a time for each version.

    Attributes:
        version: Newest version; also the revision of the store.
    """

    def __init__(self):
        """Creates a store with a first version."""
        self.version = 1
        self._changed = anyio.Event()

    def change(self):
        """Writes a new version."""
        self.version += 1
        self._changed.set()
        self._changed = anyio.Event()

    async def read_configuration(self):
        """Returns the newest version."""
        return await self._send(self.version, 1)

    async def watch_configuration(self, revision, wait_s):
        """Returns all versions since a revision, as soon as there is one."""
        with anyio.move_on_after(wait_s):
            while self.version == revision:
                await self._changed.wait()
        if self.version == revision:
            return stores.ConfigurationResult(revision, 0, None, 0)
        return await self._send(self.version, self.version - revision)

    async def _send(self, version, count):
        await anyio.sleep(count * TRANSFER_S)
        return stores.ConfigurationResult(
            version, version, builders.object_set(), count
        )


def config_sync(store, peers, apply=lambda edition: None):
    """Returns the configuration of a daemon that has no connections."""
    log = decisionlog.DecisionLog("own", "zone-1", len)
    settings = meshes.daemon_settings("own", "skladby", "zone-1", "127.0.0.1:1")
    return configsync.ConfigSync(settings, store, peers, None, apply, log)


def own_table(*versions):
    """Returns the peer table of a daemon, with peers that have versions."""
    table = peers_module.PeerTable(builders.member("own", mesh="127.0.1.9:1"))
    for number, version in enumerate(versions, 1):
        address = f"127.0.1.{number}:7000"
        table.add(builders.member("p", mesh=address, version=version))
    return table


async def test_changes_that_come_faster_than_the_link_carries_them():
    """Guards against watches that return more versions with each call."""
    store = SlowStore()
    applied_at = {}

    def apply(edition):
        applied_at[edition.version] = time.monotonic()

    sync = config_sync(store, own_table(), apply)
    changed_at = {}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sync.run)
        await anyio.sleep(1.0)
        for _ in range(CHANGES):
            store.change()
            changed_at[store.version] = time.monotonic()
            await anyio.sleep(CHANGE_PERIOD_S)
        await anyio.sleep(MAX_APPLY_S)
        tasks.cancel_scope.cancel()
    assert sync.version == store.version
    for version, at in changed_at.items():
        newer_at = min(
            applied_at[other] for other in applied_at if other >= version
        )
        assert newer_at - at <= MAX_APPLY_S


class EmptyStore(SlowStore):
    """A store that has no configuration yet.

    Attributes:
        calls: Kinds of the calls that it got.
    """

    def __init__(self):
        """Creates a store without a version; its revision is above 0."""
        super().__init__()
        self.calls = []
        self._is_empty = True

    def change(self):
        """Writes the first version."""
        self._is_empty = False
        super().change()

    async def read_configuration(self):
        """Returns the newest version, if there is one."""
        self.calls.append("read")
        if self._is_empty:
            return stores.ConfigurationResult(self.version, 0, None, 0)
        return await super().read_configuration()

    async def watch_configuration(self, revision, wait_s):
        """Returns all versions since a revision, as soon as there is one."""
        self.calls.append("watch")
        return await super().watch_configuration(revision, wait_s)


async def test_daemons_that_begin_before_the_configuration_wait_for_it():
    """Guards against reads of an empty store by all daemons of a fleet."""
    store = EmptyStore()
    sync = config_sync(store, own_table())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sync.run)
        await anyio.sleep(0.6)
        assert store.calls == ["read", "watch"]
        store.change()
        await anyio.sleep(2 * TRANSFER_S)
        assert sync.version == store.version
        tasks.cancel_scope.cancel()


def test_the_peer_of_the_last_pull_is_asked_again():
    """Guards against peers without the version in force, which send all."""
    sync = config_sync(SlowStore(), own_table(5, 7, 6))
    assert sync._choose_source().member.version == 7
    sync._last_source = "127.0.1.1:7000"
    assert sync._choose_source().member.version == 5
    sync._failed_source = "127.0.1.1:7000"
    assert sync._choose_source().member.version == 7


def test_polled_watchers_are_asked_before_others():
    """Guards against pulls over connections that must be opened first."""
    count = 2 * watchers.MAX_DAEMONS_WITHOUT_FOLLOWERS
    table = own_table(*[5] * (count - 1), 6)
    sources = watchers.sources(table)
    if not sources:
        pytest.fail("the daemon of the test is no follower")
    chosen = config_sync(SlowStore(), table)._choose_source()
    assert chosen in sources


def test_no_peer_is_asked_for_a_version_that_is_not_newer():
    """Guards against pulls that bring nothing."""
    assert config_sync(SlowStore(), own_table(0, 0))._choose_source() is None
