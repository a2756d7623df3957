"""A store that comes back from an older copy, with revisions of before."""

import anyio
import pytest
from rattangauge_platform import eras
from rattangauge_platform import store as store_module

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.sidecar import directory
from rattangauge.sidecar import stores
from tests import meshes
from tests import test_platform_adapter

PATHS = [meshes.path("/track/", "skladby"), meshes.path("/new/", "skladby")]


def put_version(store, version):
    """Writes a version of the configuration."""
    spec = meshes.configuration(version, PATHS, ("skladby",))
    store.put("config", "main", spec)


def put_others(store, count):
    """Writes objects that only raise the revision."""
    for number in range(count):
        store.put("other", f"o{number}", {})


async def check_outdated(client, revision):
    """Checks that a watch from a revision is refused."""
    with pytest.raises(errors.CodedError) as caught:
        await client.watch_configuration(revision, 0.05)
    assert caught.value.code == errorcodes.STORE_COMPACTED


@pytest.mark.parametrize("later_writes", [0, 3, 8])
async def test_a_revision_that_is_given_out_again_hides_no_change(
    later_writes,
):
    """Guards against a watch from a revision of the era before."""

    async def check_store(store, client):
        put_version(store, 4)
        copy = store.copy()
        put_others(store, 4)
        found = await client.read_configuration()
        store.restore(copy)
        put_version(store, 5)
        put_others(store, later_writes)
        await check_outdated(client, found.revision)
        found = await client.read_configuration()
        assert found.version == 5
        put_version(store, 6)
        found = await client.watch_configuration(found.revision, 1.0)
        assert found.version == 6

    await test_platform_adapter.with_store(check_store)


async def test_no_watch_is_sent_after_another_call_showed_a_new_era():
    """Guards against a change that waits for the end of such a watch."""

    async def check_store(store, client):
        put_version(store, 4)
        found = await client.read_configuration()
        store.restore(store.copy())
        await client.list_daemons(True)
        calls = len(store.calls)
        await check_outdated(client, found.revision)
        assert len(store.calls) == calls

    await test_platform_adapter.with_store(check_store)


async def test_an_answer_of_an_older_era_gives_no_revision_and_no_entries():
    """Guards against a late answer that is taken for the newest state."""
    entry = stores.DirectoryEntry("10.0.0.1:80", "z", "r")

    async def check_store(store, client):
        put_version(store, 4)
        store.era = 2
        await client.read_configuration()
        store.era = 1
        found = await client.read_configuration()
        assert found.version == 4
        await check_outdated(client, found.revision)
        await client.add_daemon(entry)
        assert await client.list_daemons(True) == [entry]
        assert store.calls[-1].endswith(store_module.DIRECTORY_KIND)

    await test_platform_adapter.with_store(check_store)


def test_a_store_without_eras_stays_in_one():
    """Guards against reads without end of a store that sends no eras."""
    known = eras.Eras()
    for value in ("", "x", "-1", "\u00b2", "9" * 100):
        assert known.record(value) == 0
    known.record_list("/a", 0)
    known.check_watch("/a", 0)
    assert known.record("7") == 7
    assert known.record("") == 7


async def test_daemons_keep_their_version_and_heal_the_directory(monkeypatch):
    """Guards against an older configuration, and against lost entries."""
    monkeypatch.setattr(directory, "PERIOD_S", 0.4)
    kind = store_module.DIRECTORY_KIND
    names = ("a", "b", "c")
    async with meshes.running() as mesh:
        copy = mesh.store.copy()
        await mesh.start_instances(PATHS, *names)
        for _ in range(3):
            mesh.publish(PATHS)
        nodes = [mesh.instances[name].node for name in names]

        async def have_newest():
            return all(n._config_sync.version == mesh.version for n in nodes)

        async def are_listed():
            return len(mesh.store.names(kind)) == len(names)

        await mesh.wait(have_newest)
        mesh.store.refuse_with = 503
        await anyio.sleep(0.5)
        mesh.store.restore(copy)
        put_version(mesh.store, mesh.version - 2)
        mesh.store.refuse_with = 0
        calls = len(mesh.store.calls)
        await mesh.wait(are_listed)
        mesh.publish(PATHS)
        await mesh.wait(have_newest)
        writes = [c for c in mesh.store.calls[calls:] if c.startswith("POST")]
        assert len(writes) == len(names)
        assert all(len(node._peers) == len(names) for node in nodes)
        for instance in mesh.instances.values():
            used = [
                event["version"]
                for event in instance.events()
                if event["event"] == "config_used"
            ]
            assert used == sorted(set(used))
