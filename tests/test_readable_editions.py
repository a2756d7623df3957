"""What one daemon has in force, each other daemon can read (CONFIG)."""

import json
import zlib

import anyio
import hypothesis
from hypothesis import strategies
import pytest
from rattangauge_platform import configuration

from rattangauge import errors
from rattangauge.calls import traffic_split
from rattangauge.config import delta
from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.config import routes
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.sidecar import configpull
from rattangauge.sidecar import editionhistory
from tests import largezones
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
NAMES = (
    "share_transfer",
    "Share.Transfer",
    "-",
    "a" * 200,
    "pr\u00edstup \U0001d11e",
    'quote" and \\ and \n',
    " ",
    "",
)
# A text that the store can hold: any characters but halves of surrogate pairs.
TEXTS = strategies.text(
    strategies.characters(exclude_categories=("Cs",)), max_size=80
)
WEIGHTS = strategies.integers(1, 10**12) | strategies.floats(0.001, 1e6)


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


def short_id(value):
    """Returns a short id of a parameter that may have many digits."""
    return str(value)[:30]


def convert(spec):
    """Returns the edition that a watcher of the store makes."""
    version, objects = configuration.Converter().convert(spec)
    return edition_module.Edition(version, "", objects, b"")


def pulled_whole(edition):
    """Returns the edition that a daemon reads which pulls all of it."""
    data = edition_module.encode(edition.objects)
    digest = edition_module.digest_of(data)
    return edition_module.decode_received(edition.version, digest, data)


def assert_readable(base, target):
    """Checks that a peer reads the target as the sender has it."""
    assert pulled_whole(target).objects == target.objects
    changes = delta.encode_delta_by_version(base, target)
    pulled = delta.apply_delta_by_version(base, target.version, changes)
    assert pulled.objects == target.objects
    assert pulled.version == target.version


@pytest.mark.parametrize("name", NAMES)
def test_any_name_of_the_store_can_be_passed_on(name):
    """Guards against peers that reject a name which the store took."""
    base = convert(meshes.configuration(1, [TRACK], ["skladby"]))
    path = meshes.path("/new/", name, name=name)
    target = convert(meshes.configuration(2, [TRACK, path], ["skladby", name]))
    assert target.objects["route"][name].prefix == "/new/"
    assert_readable(base, target)
    assert_readable(target, base._replace(version=3))


@pytest.mark.parametrize(
    "fields",
    [
        {"timeout-s": 1e9},
        {"target-latency-s": 1e9},
        {"max-attempts": 10**30},
        {"priority": -5},
        {"weighted-split": [{"service": "skladby", "weight": 10**9}]},
        {"weighted-split": [{"service": "skladby", "weight": 0.5}]},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_any_number_of_the_store_can_be_passed_on(fields):
    """Guards against peers that reject a number which the store took."""
    base = convert(meshes.configuration(1, [TRACK], ["skladby"]))
    path = meshes.path("/new/", "skladby", **fields)
    spec = meshes.configuration(2, [TRACK, path], ["skladby"])
    spec["limits"]["max-header-bytes"] = 8
    spec["limits"]["max-body-bytes"] = 10**15
    spec["services"][0]["max-connections"] = 10**9
    assert_readable(base, convert(spec))


@hypothesis.settings(deadline=None, max_examples=60)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(TEXTS, TEXTS, strategies.lists(WEIGHTS, max_size=3)),
        max_size=5,
    )
)
def test_whatever_is_in_force_can_be_passed_on(entries):
    """Guards against any difference between a sender and its peers."""
    paths, services = [], ["skladby"]
    for name, service, weights in entries:
        parts = [{"service": service, "weight": value} for value in weights]
        path = meshes.path(f"/{name}/", service, name=name)
        paths.append({**path, "weighted-split": parts})
        services.append(service)
    base = convert(meshes.configuration(1, [TRACK], ["skladby"]))
    spec = meshes.configuration(2, paths, services)
    target = convert(json.loads(json.dumps(spec)))
    assert_readable(base, target)
    table = routes.compile_routes(target)
    distinct = {path["path-prefix"] for path in paths}
    assert len(table.by_prefix) == len(distinct)


def test_routes_of_two_hosts_may_have_one_name():
    """Guards against a route that another host's route of that name hides."""
    spec = meshes.configuration(1, [TRACK], ["skladby"])
    other = {"host": "other.example", "paths": [TRACK]}
    spec["virtual-hosts"].append(other)
    table = routes.compile_routes(convert(spec))
    for host in (meshes.HOST, "other.example"):
        assert routes.match(table, "GET", "/track/1", host) is not None


def test_fractions_of_weights_keep_their_proportion():
    """Guards against a split of which a part gets nothing."""
    parts = [
        {"service": "skladby", "weight": 0.75},
        {"service": "objednavky", "weight": 0.25},
    ]
    path = meshes.path("/new/", "skladby", **{"weighted-split": parts})
    spec = meshes.configuration(1, [path], ["skladby", "objednavky"])
    first, second = convert(spec).objects["route"]["r-new"].weights
    assert first == 3 * second > 0


@pytest.mark.parametrize(
    "path",
    [
        meshes.path("/new/", "skladby", name=5),
        meshes.path("/new/", "skladby", name=None),
        meshes.path("/new/", ["skladby"]),
        meshes.path("/new/", "named-nowhere"),
        {**meshes.path("/new/", "skladby"), "path-prefix": 1},
        meshes.path(
            "/new/",
            "skladby",
            **{"weighted-split": [{"service": "skladby", "weight": -1}]},
        ),
    ],
)
def test_what_peers_could_not_read_is_not_put_in_force(path):
    """Guards against a daemon that runs what it cannot pass on."""
    with pytest.raises(errors.CodedError) as caught:
        convert(meshes.configuration(2, [TRACK, path], ["skladby"]))
    assert caught.value.code == errorcodes.STORE_PROTOCOL


@pytest.mark.parametrize("weight", [10**400, 10**13, 1e308], ids=short_id)
def test_a_number_without_bound_of_the_store_can_be_used(weight):
    """Guards against a version in force with which no request is served."""
    parts = [
        {"service": "skladby", "weight": weight},
        {"service": "objednavky", "weight": 1},
    ]
    path = meshes.path("/new/", "skladby", **{"weighted-split": parts})
    services = ["skladby", "objednavky"]
    spec = meshes.configuration(2, [TRACK, path], services)
    for field in spec["limits"]:
        spec["limits"][field] = 10**400
    base = convert(meshes.configuration(1, [TRACK], services))
    edition = convert(json.loads(json.dumps(spec)))
    assert_readable(base, edition)
    table = routes.compile_routes(edition)
    host = edition.objects["route"]["r-new"].host
    target = routes.match(table, "GET", "/new/x", host)
    split = traffic_split.TrafficSplit()
    chosen = [split.choose("r", target.shares) for _ in range(3)]
    assert chosen == ["skladby"] * 3


@pytest.mark.parametrize(
    ("kind", "fields"),
    [
        ("route", {"weights": [1]}),
        ("route", {"weights": [1, 2, 3]}),
        ("route", {"weights": [0, 0]}),
        ("route", {"weights": [10**400, 1]}),
        ("limits", {"header_timeout_ms": 10**400}),
        ("limits", {"idle_timeout_ms": -(10**400)}),
    ],
    ids=short_id,
)
def test_a_version_of_a_peer_that_cannot_be_used_has_findings(kind, fields):
    """Guards against a daemon that ends when it applies such a version."""
    parts = [
        {"service": "skladby", "weight": 1},
        {"service": "objednavky", "weight": 2},
    ]
    path = meshes.path("/new/", "skladby", **{"weighted-split": parts})
    spec = meshes.configuration(1, [path], ["skladby", "objednavky"])
    base = convert(spec)
    tables = objects_module.to_tables(base.objects)
    tables = json.loads(json.dumps(tables))
    tables[kind][0].update(fields)
    data = zlib.compress(json.dumps(tables).encode())
    digest = edition_module.digest_of(data)
    with pytest.raises(errors.FindingsError):
        edition_module.decode_received(2, digest, data)
    table = {"base": "1", "changed": tables, "removed": {}}
    data = zlib.compress(json.dumps(table).encode())
    with pytest.raises(errors.FindingsError):
        delta.apply_delta_by_version(base, 2, data)


async def test_changes_too_large_for_one_message_are_sent_as_a_whole():
    """Guards against changes that no connection carries."""
    history = editionhistory.EditionHistory()
    history.add(convert(meshes.configuration(1, [TRACK], ["skladby"])))
    paths = [
        meshes.path(f"/{number}/", "skladby", name=incompressible(number))
        for number in range(1600)
    ]
    history.add(convert(meshes.configuration(2, paths, ["skladby"])))
    parts = await sent_parts(history, 1)
    assert len(parts) > 1
    assert not any(part.delta for part in parts)


class RecordingStream:
    """A stream that keeps the messages that are sent on it."""

    def __init__(self):
        """Creates a stream without messages."""
        self.sent = []

    async def send(self, message):
        """Keeps a message."""
        self.sent.append(message)


def incompressible(number):
    """Returns a long name that does not compress well."""
    return "".join(
        edition_module.digest_of(f"{number} {part}".encode())
        for part in range(24)
    )


async def sent_parts(history, have_version):
    """Returns the messages that a peer with a version gets."""
    stream = RecordingStream()
    await history.serve(stream, messages.EditionRequest(have_version))
    return stream.sent


async def test_followers_take_each_name_that_the_store_took():
    """Guards against followers that stay on an old version (review case 3)."""
    async with meshes.running() as mesh:
        _watching, followers = await largezones.start(mesh)
        assert followers
        paths = [meshes.path("/new/", "skladby", name="share_transfer")]
        mesh.publish([*paths, TRACK])
        await largezones.wait_version(mesh, mesh.instances, 2)
        for name in followers:
            assert (await mesh.call(name, "/new/1"))[0] == 200


async def test_followers_that_cannot_read_a_version_ask_the_store(monkeypatch):
    """Guards against followers that ask the same peers for ever."""

    def reject(_base, version, _data):
        text = "the object has an unknown field"
        code = errorcodes.OBJECT_UNKNOWN_FIELD
        finding = errors.Finding(f"version {version}", "", text, code)
        raise errors.FindingsError([finding])

    async with meshes.running() as mesh:
        _watching, followers = await largezones.start(mesh)
        monkeypatch.setattr(configpull.delta, "apply_delta_by_version", reject)
        mesh.publish([TRACK, meshes.path("/new/", "skladby")])
        await largezones.wait_version(mesh, mesh.instances, 2)
        for name in followers:
            events = mesh.instances[name].events()
            used = [e for e in events if e["event"] == "config_used"][-1]
            assert used["source"] == "store"
        # With the version in force they follow the watchers again.
        await anyio.sleep(largezones.TIMES.watch_s + 0.2)
        assert largezones.roles(mesh)[1] == followers
        for name in followers:
            assert not mesh.instances[name].node._config_sync._must_watch()
