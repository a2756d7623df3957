"""Tests of publishing against a store."""

import contextlib
import itertools
import json
import random

import anyio
import anyio.lowlevel
import hypothesis
from hypothesis import strategies
import pytest

from rattangauge import edition_store
from rattangauge import errors
from rattangauge import publisher
from rattangauge.config import check
from rattangauge.config import edition as edition_module
from rattangauge.config import head as head_module
from rattangauge.config import objects as objects_module
from rattangauge.config import retention
from rattangauge.generated import objects as generated
from tests import builders
from tests import stores

pytestmark = pytest.mark.anyio

_operations = itertools.count()


async def no_sleep(_seconds):
    await anyio.lowlevel.checkpoint()


def request(objects, operation="", **fields):
    operation = operation or f"op-{next(_operations)}"
    return publisher.Request(objects, "anna", operation, **fields)


def policy(name, **fields):
    objects = objects_module.empty_set()
    objects["policy"][name] = generated.Policy(name, **fields)
    return objects


async def apply(store, objects, operation="", **fields):
    wanted = request(objects, operation, **fields)
    return await publisher.apply(store, wanted, no_sleep)


async def refused(store, objects, operation="", **fields):
    with pytest.raises(errors.CodedError) as caught:
        await apply(store, objects, operation, **fields)
    return caught.value


async def head_of(store):
    return (await edition_store.read_head(store))[1]


def put_status(store, zone, **fields):
    store.values[f"status/{zone}"] = (10**6, json.dumps(fields).encode())


def run_before_first_write(store, action, prefix=head_module.PATH):
    """Runs an action once, before the first write below a prefix."""
    pending = [action]

    async def before_put(path):
        if path.startswith(prefix) and pending:
            await pending.pop()()

    store.before_put = before_put


async def test_race_on_different_objects_keeps_both():
    """Guards against a lost update when two operators publish at once."""
    store = stores.MemoryStore()
    await apply(store, builders.object_set())
    run_before_first_write(
        store, lambda: apply(store, policy("b", retries=1), "other")
    )
    result = await apply(store, policy("a", retries=1))
    current = await edition_store.read(store)
    assert (result.version, result.changed) == (3, ("policy/a",))
    assert {"a", "b", "default"} == current.objects["policy"].keys()
    assert [entry.version for entry in current.head.log] == [1, 2, 3]


async def test_race_on_same_object_names_the_other_operation():
    """Guards against overwriting what another operator just published."""
    store = stores.MemoryStore()
    await apply(store, builders.object_set())
    run_before_first_write(
        store, lambda: apply(store, policy("default", retries=9), "other")
    )
    error = await refused(store, policy("default", retries=1))
    current = await edition_store.read(store)
    assert error.code == "publish.conflict"
    assert "operation other of anna changed policy/default" in str(error)
    assert current.objects["policy"]["default"].retries == 9


async def test_rebase_that_breaks_a_reference_is_refused():
    """Guards against two valid publishes that are invalid together."""
    store = stores.MemoryStore()
    await apply(store, {**builders.object_set(), **policy("p")})
    await apply(store, policy("q"))
    service = objects_module.empty_set()
    service["service"]["new"] = generated.Service("new", ("skladby",), "q")
    delete = (("policy", "q"),)
    run_before_first_write(
        store, lambda: apply(store, objects_module.empty_set(), deleted=delete)
    )
    with pytest.raises(errors.FindingsError) as caught:
        await apply(store, service)
    assert caught.value.findings[0].code == "object.reference"


@pytest.mark.parametrize("path", ["head", "parts/"])
@pytest.mark.parametrize("fault", ["lose_replies", "late_writes"])
async def test_lost_reply_publishes_once(path, fault):
    """Guards against a second version after a write without a reply."""
    store = stores.MemoryStore()
    store.lose_path = path
    setattr(store, fault, 1)
    result = await apply(store, builders.object_set(), "op")
    head = await head_of(store)
    assert result.version == head.version == 1
    assert [entry.operation for entry in head.log] == ["op"]


@pytest.mark.parametrize("code", ["store.outcome_unknown", "store.unavailable"])
async def test_unconfirmed_publish_is_finished_with_its_operation_id(code):
    """Guards against publishing twice when an operator runs it again."""
    store = stores.MemoryStore()
    store.lose_code = code
    store.lose_replies = 1

    async def store_goes_down(_seconds):
        store.fail = 1

    wanted = request(builders.object_set(), "op")
    with pytest.raises(errors.CodedError) as caught:
        await publisher.apply(store, wanted, store_goes_down)
    assert caught.value.code == "publish.unfinished"
    assert "--operation op --base 0" in str(caught.value)
    store.fail = 0
    again = await apply(store, builders.object_set(), "op", base=0)
    assert (again.version, again.published) == (1, False)
    assert len((await head_of(store)).log) == 1


@pytest.mark.parametrize("prefix", ["head", "parts/"])
async def test_publisher_frozen_before_its_write_fails_its_condition(prefix):
    """Guards against a paused publisher that undoes later versions."""
    store = stores.MemoryStore()
    await apply(store, builders.object_set())
    released = anyio.Event()
    paused = anyio.Event()

    async def pause():
        paused.set()
        await released.wait()

    run_before_first_write(store, pause, prefix)
    caught = []

    async def slow():
        caught.append(await refused(store, policy("default", retries=1)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(slow)
        await paused.wait()
        for retries in (7, 8):
            await apply(store, policy("default", retries=retries))
        released.set()
    current = await edition_store.read(store)
    assert caught[0].code == "publish.conflict"
    assert current.objects["policy"]["default"].retries == 8
    assert current.version == 3


async def test_store_down_is_bounded_and_coded():
    """Guards against endless retries while the store is down."""
    store = stores.MemoryStore()
    store.fail = 10_000
    error = await refused(store, builders.object_set())
    assert error.code == "store.unavailable"
    assert store.calls.total() == publisher.MAX_ATTEMPTS


async def test_store_that_is_slow_and_fails_now_and_then():
    """Guards against giving up on a transient failure."""
    store = stores.MemoryStore()
    store.delay_s = 0.01
    store.fail = 5
    result = await apply(store, builders.object_set())
    assert result.version == 1


async def test_set_with_findings_writes_nothing():
    """Guards against parts or a head of a set that is not valid."""
    store = stores.MemoryStore()
    objects = builders.object_set()
    del objects["pool"]["skladby"]
    with pytest.raises(errors.FindingsError):
        await apply(store, objects)
    assert store.values == {}


async def test_set_of_several_parts_is_read_back():
    """Guards against values that are larger than the store takes."""
    store = stores.MemoryStore()
    for name in ("a", "b"):
        text = random.Random(name).randbytes(450_000).hex()
        await apply(store, policy(name, tenants=(text,)))
    current = await edition_store.read(store)
    assert len(current.head.parts) == 2
    assert current.objects["policy"].keys() == {"a", "b"}


async def test_unchanged_objects_make_no_version():
    """Guards against versions without a change."""
    store = stores.MemoryStore()
    await apply(store, builders.object_set())
    result = await apply(store, builders.object_set())
    assert (result.version, result.published) == (1, False)


async def test_files_based_on_an_old_version_keep_later_changes():
    """Guards against a whole folder that reverts what others changed."""
    store = stores.MemoryStore()
    await apply(store, builders.object_set())
    await apply(store, policy("default", retries=9))
    files = builders.object_set()
    files["policy"]["new"] = generated.Policy("new")
    await apply(store, files, base=1)
    current = await edition_store.read(store)
    assert current.objects["policy"]["default"].retries == 9
    assert "new" in current.objects["policy"]


async def test_old_content_becomes_a_new_version():
    """Guards against a rollback that lowers the version or keeps objects."""
    store = stores.MemoryStore()
    await apply(store, builders.object_set())
    await apply(store, policy("extra"))
    empty = objects_module.empty_set()
    result = await apply(store, empty, from_version=1)
    head = await head_of(store)
    assert result.version == 3
    assert head.digest == head.log[0].digest
    error = await refused(store, empty, from_version=9)
    assert error.code == "publish.not_kept"


async def test_rollback_conflicts_with_any_concurrent_publish():
    """Guards against a rollback that overwrites a concurrent change."""
    store = stores.MemoryStore()
    await apply(store, builders.object_set())
    await apply(store, policy("extra"))
    run_before_first_write(store, lambda: apply(store, policy("more"), "other"))
    error = await refused(store, objects_module.empty_set(), from_version=1)
    assert error.code == "publish.conflict"
    assert "operation other" in str(error)


async def test_zone_above_the_head_needs_the_flag():
    """Guards against versions that zones ignore after a restored backup."""
    store = stores.MemoryStore()
    await apply(store, builders.object_set())
    put_status(store, "zone-1", lowest_version=7, highest_version=9)
    error = await refused(store, policy("a"))
    assert error.code == "publish.above_head"
    assert "zone-1" in str(error)
    result = await apply(store, policy("a"), above_zones=True)
    assert result.version == 10


async def publish_many(store, count):
    for number in range(count):
        await apply(store, policy("p", timeout_ms=number + 1))


@pytest.mark.parametrize(
    ("lowest", "kept"), [(40, 20), (15, 26), (None, 40), (0, 40)]
)
async def test_collection_keeps_what_zones_and_operators_need(lowest, kept):
    """Guards against deleting parts that a zone or a rollback needs."""
    store = stores.MemoryStore()
    await publish_many(store, 40)
    put_status(store, "zone-1", lowest_version=40)
    put_status(store, "zone-2", lowest_version=lowest)
    await edition_store.collect_unused_parts(store)
    parts = await store.list("parts/")
    head = await head_of(store)
    assert len(parts) == kept
    for entry in head.log[-kept:]:
        assert {head_module.part_path(d) for d in entry.parts} <= {*parts}


async def test_zone_without_status_keeps_all_parts():
    """Guards against collecting while a zone of a pool is silent."""
    store = stores.MemoryStore()
    objects = objects_module.empty_set()
    objects["pool"]["a"] = generated.Pool("a", "a", ("zone-9",))
    await apply(store, objects)
    await publish_many(store, 40)
    put_status(store, "zone-1", lowest_version=41)
    assert await edition_store.collect_unused_parts(store) == 0


async def test_paused_collector_does_not_delete_a_part_in_use():
    """Guards against a head whose part a concurrent collector deletes."""
    store = stores.MemoryStore()
    await publish_many(store, 40)
    put_status(store, "zone-1", lowest_version=40)
    delete = store.delete
    pending = [None]

    async def delete_late(path, expected):
        if pending:
            pending.pop()
            await apply(store, policy("p", timeout_ms=1))
        await delete(path, expected)

    store.delete = delete_late
    await edition_store.collect_unused_parts(store)
    current = await edition_store.read(store)
    assert current.version == 41
    assert current.objects["policy"]["p"].timeout_ms == 1


async def test_publisher_between_upload_and_head_survives_a_collection():
    """Guards against collecting parts that a publisher just uploaded."""
    store = stores.MemoryStore()
    await publish_many(store, 40)
    put_status(store, "zone-1", lowest_version=40)
    run_before_first_write(
        store, lambda: edition_store.collect_unused_parts(store)
    )
    await apply(store, policy("p", timeout_ms=1))
    current = await edition_store.read(store)
    assert current.objects["policy"]["p"].timeout_ms == 1


@hypothesis.settings(max_examples=20, deadline=None)
@hypothesis.given(strategies.randoms(use_true_random=False))
def test_parts_of_the_head_survive_concurrent_collections(seeded_random):
    """Guards against a head that names a part which was collected."""

    async def run():
        store = stores.MemoryStore()
        begin = store._begin

        async def begin_late(method, path):
            steps = 60 if method == "delete" else 4
            for _ in range(seeded_random.randrange(steps)):
                await anyio.lowlevel.checkpoint()
            await begin(method, path)
            if head_module.PATH in store.values:
                head = head_module.parse(store.values[head_module.PATH][1])
                paths = {head_module.part_path(d) for d in head.parts}
                assert paths <= store.values.keys()
                put_status(store, "zone-1", lowest_version=head.version)

        store._begin = begin_late

        async def publish(name):
            for _ in range(20):
                fields = {"retries": seeded_random.randrange(3)}
                with contextlib.suppress(errors.CodedError):
                    await apply(store, policy(name, **fields))

        async def collect():
            for _ in range(20):
                with contextlib.suppress(errors.CodedError):
                    await edition_store.collect_unused_parts(store, 1)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(publish, "a")
            tasks.start_soon(publish, "a")
            tasks.start_soon(collect)
            tasks.start_soon(collect)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(retention, "MIN_KEPT_VERSIONS", 1)
        anyio.run(run)


NAMES = ("a", "b", "c")
OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(NAMES), strategies.integers(0, 3)
    ),
    min_size=1,
    max_size=6,
)


def objects_of_change(name, value):
    """Returns a policy, and for values from 2 a route.

    Routes of two operators with the same value match the same requests.
    """
    objects = policy(name, retries=value)
    if value >= 2:
        objects["pool"]["x"] = generated.Pool("x", "x")
        objects["service"][name] = generated.Service(name, ("x",), name)
        route = generated.Route(name, name, f"/{value}")
        objects["route"][name] = route
    return objects


def publish_serially(objects, wanted):
    """Reference publisher without concurrency; returns the new objects."""
    merged = {
        kind: {**named, **wanted[kind]} for kind, named in objects.items()
    }
    return objects if check.check_objects(merged) else merged


async def publish_concurrently(store, changes):
    """Publishes changes concurrently; returns outcomes by operation."""
    outcomes = {}

    async def run(number, name, value):
        await anyio.lowlevel.checkpoint()
        try:
            wanted = request(objects_of_change(name, value), f"op{number}")
            await publisher.apply(store, wanted, no_sleep)
            outcomes[f"op{number}"] = "done"
        except errors.CodedError as error:
            outcomes[f"op{number}"] = error.code
        except errors.FindingsError:
            outcomes[f"op{number}"] = "findings"

    async with anyio.create_task_group() as tasks:
        for number, (name, value) in enumerate(changes):
            tasks.start_soon(run, number, name, value)
    return outcomes


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(OPERATIONS, strategies.integers(0, 2))
def test_concurrent_publishes_equal_a_serial_publisher(changes, lost_replies):
    """Guards against a final set that no serial order explains."""

    async def run():
        store = stores.MemoryStore()
        store.lose_replies = lost_replies
        outcomes = await publish_concurrently(store, changes)
        current = await edition_store.read(store)
        objects = objects_module.empty_set()
        log = current.head.log if current.head else ()
        for entry in log:
            name, value = changes[int(entry.operation[2:])]
            objects = publish_serially(objects, objects_of_change(name, value))
            data = edition_module.encode(objects)
            assert edition_module.digest_of(data) == entry.digest
            old = await edition_store.objects_of(store, current, entry.version)
            assert check.check_objects(old) == []
        assert current.objects == objects
        versions = [entry.version for entry in log]
        assert versions == list(range(1, len(log) + 1))
        if len({name for name, _ in changes}) == len(changes):
            # Without a shared object, only findings may stop a publish.
            shared = any(value >= 2 for _, value in changes)
            allowed = {"done"} if not shared else {"done", "findings"}
            conflicts = {"publish.conflict"} if shared else set()
            assert {*outcomes.values()} <= allowed | conflicts

    anyio.run(run)


async def test_old_content_replaces_a_damaged_edition():
    """Guards against a damaged edition that blocks every further publish."""
    store = stores.MemoryStore()
    await apply(store, builders.object_set())
    bad = {**builders.object_set(), "service": {}}
    digest, data = builders.encoded(bad)
    store.values[head_module.part_path(digest)] = (10**6, data)
    entry = head_module.Entry(2, digest, "bad", "anna", 0, ())
    head = head_module.append(await head_of(store), entry, (digest,))
    store.values["head"] = (10**6, head_module.format_head(head))
    error = await refused(store, policy("a", retries=1))
    assert error.code == "store.protocol"
    result = await apply(store, objects_module.empty_set(), from_version=1)
    current = await edition_store.read(store)
    assert (result.version, current.version) == (3, 3)
    assert current.objects == builders.object_set()
