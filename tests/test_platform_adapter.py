"""Adapter of the platform: configuration, store, heartbeats and settings."""

import json
import pathlib
import re

import anyio
import httpx
import hypothesis
from hypothesis import strategies
import pytest
from rattangauge_platform import announcements
from rattangauge_platform import configuration
from rattangauge_platform import program
from rattangauge_platform import store as store_module

from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge.config import check
from rattangauge.generated import errorcodes
from rattangauge.generated import objects as generated
from rattangauge.http import messages
from rattangauge.membership import heartbeats
from rattangauge.sidecar import stores
from standins import objectstore
from tests import meshes

ROOT = pathlib.Path(__file__).parent.parent
# Names of the platform's protocol, which only its adapter may use.
PROTOCOL_NAMES = re.compile(
    "server-seal|target-instance|not-executed|virtual-hosts|path-prefix"
    "|weighted-split|cold-left-s|heartbeat-addr|store-revision|local-node"
    "|app-addr|deregister|RATTANGAUGE_SETTINGS|store-era",
    re.IGNORECASE,
)


def test_protocol_names_of_the_platform_stay_in_its_adapter():
    """Guards against names of one platform's protocol in the product."""
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in (ROOT / "rattangauge").rglob("*.py")
        for match in PROTOCOL_NAMES.finditer(path.read_text("utf-8"))
    ]
    assert not found


def read_configuration(**fields):
    """Converts a configuration with two paths; fields replace its parts."""
    paths = [
        meshes.path("/track/", "skladby"),
        meshes.path(
            "/order/",
            "objednavky",
            kind="unsafe",
            priority=0,
            **{"timeout-s": 0.6, "max-attempts": 3},
        ),
    ]
    spec = meshes.configuration(12, paths, ("skladby", "objednavky"))
    return configuration.Converter().convert({**spec, **fields})


def test_a_configuration_becomes_objects_without_findings():
    """Guards against conversion errors and objects that are not valid."""
    version, objects = read_configuration()
    assert version == 12
    assert not check.check_objects(objects)
    order = objects["route"]["r-order"]
    assert (order.host, order.prefix) == (meshes.HOST, "/order/")
    assert order.idempotent == "no"
    policy = objects["policy"][order.policy]
    assert (policy.timeout_ms, policy.retries, policy.priority) == (600, 2, 9)
    assert policy.target_latency_ms == 500
    limits = objects["limits"]["callers"]
    assert limits == generated.Limits("callers", 16384, 1_000_000, 3000, 15000)
    assert objects["pool"]["skladby"].health_path == "/health"


def test_a_weighted_split_is_converted():
    """Guards against a weighted split that is lost."""
    parts = [
        {"service": "skladby", "weight": 90},
        {"service": "objednavky", "weight": 10},
    ]
    path = meshes.path("/track/", None, **{"weighted-split": parts})
    del path["service"]
    spec = meshes.configuration(1, [path], ("skladby", "objednavky"))
    _version, objects = configuration.Converter().convert(spec)
    route = objects["route"]["r-track"]
    assert route.service == "skladby"
    assert route.weights == (90, 10)
    assert not check.check_objects(objects)


LONG_TIMEOUT = meshes.path("/a/", "b", **{"timeout-s": float("inf")})


@pytest.mark.parametrize(
    "fields",
    [
        {"version": "12"},
        {"version": 12},
        {"services": [{}]},
        {"virtual-hosts": [{"host": "a", "paths": [{}]}]},
        {"limits": {}},
        {"virtual-hosts": None},
        {"version": "r" + "9" * 30},
        {"version": "r\u0663"},
        {"version": "r1_2"},
        {"virtual-hosts": [{"host": 1, "paths": [meshes.path("/a/", "b")]}]},
        {"virtual-hosts": [{"host": "a", "paths": [LONG_TIMEOUT]}]},
    ],
)
def test_a_configuration_of_another_shape_is_an_error(fields):
    """Guards against a malformed configuration that ends the daemon."""
    with pytest.raises(errors.CodedError) as caught:
        read_configuration(**fields)
    assert caught.value.code == errorcodes.STORE_PROTOCOL


BODY = {
    "address": "10.0.0.9:8080",
    "born": 1786000000000,
    "info": {"service": "s", "version": "v1", "zone": "z", "slots": 9},
    "status": {"state": "ready", "seq": 3, "cold-left-s": 1.5},
}


def parse_announcement(body, path="/instances/i-7/heartbeat", method="POST"):
    """Parses a request of the upstream."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return announcements.parse(messages.Request(method, path, (), data))


def test_a_heartbeat_is_read():
    """Guards against fields that are taken from the wrong place."""
    heartbeat = parse_announcement(BODY)
    assert heartbeat.instance == "i-7"
    assert (heartbeat.sequence, heartbeat.started_ms) == (3, 1786000000000)
    assert (heartbeat.service, heartbeat.slots, heartbeat.is_draining) == (
        "s",
        9,
        False,
    )
    assert heartbeat.cold_left_s == 1.5


def test_a_departure_is_read():
    """Guards against a departure notice that is rejected or misread."""
    path = "/instances/i-7/deregister"
    assert parse_announcement(b"", path) == heartbeats.Departure("i-7", 0)
    assert parse_announcement({"born": 5}, path) == heartbeats.Departure(
        "i-7", 5
    )


@pytest.mark.parametrize(
    "changed",
    [
        {"info": None},
        {"info": {**BODY["info"], "slots": 0}},
        {"info": {**BODY["info"], "slots": True}},
        {"info": {**BODY["info"], "slots": 10**9}},
        {"info": {**BODY["info"], "service": 3}},
        {"info": {**BODY["info"], "service": "s\ud800"}},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:\u0663\u0664"},
        {"status": {**BODY["status"], "state": "asleep"}},
        {"status": {**BODY["status"], "seq": "3"}},
        {"status": {**BODY["status"], "cold-left-s": "long"}},
        {"status": {**BODY["status"], "cold-left-s": 10**400}},
        {"status": {**BODY["status"], "cold-left-s": float("nan")}},
        {"status": {**BODY["status"], "cold-left-s": float("inf")}},
        {"status": {**BODY["status"], "cold-left-s": -1}},
        {"status": {**BODY["status"], "cold-left-s": True}},
        {"status": {**BODY["status"], "seq": 10**400}},
        {"born": 10**400},
        {"address": "10.0.0.9:99999"},
        {"address": "example.com:80"},
        {"address": None},
        {"born": 1.5},
    ],
)
def test_a_malformed_heartbeat_is_rejected_with_its_path(changed):
    """Guards against heartbeats with wrong types and errors without path."""
    with pytest.raises(errors.FindingsError) as caught:
        parse_announcement({**BODY, **changed})
    assert "/instances/i-7/heartbeat" in str(caught.value)


@hypothesis.settings(deadline=None)
@hypothesis.given(
    strategies.binary(max_size=60)
    | strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(),
        lambda inner: strategies.dictionaries(
            strategies.sampled_from(
                ["address", "info", "status", "born", "seq", "slots", "state"]
            ),
            inner,
        ),
    ).map(lambda value: json.dumps(value).encode())
)
def test_any_body_is_read_or_refused(data):
    """Guards against a heartbeat that ends the daemon."""
    try:
        parse_announcement(data)
    except errors.FindingsError as error:
        assert error.findings


async def with_store(check_store, timeout_s=0.3):
    """Runs a check with a stand-in store and a client of it."""
    store = objectstore.ObjectStore()
    async with anyio.create_task_group() as tasks:
        await store.start(tasks)
        url = f"http://{store.address}"
        async with httpx.AsyncClient(base_url=url, timeout=timeout_s) as http:
            await check_store(store, store_module.ObjectStore(http))
        tasks.cancel_scope.cancel()


async def test_the_configuration_is_read_and_watched():
    """Guards against changes that are missed, and other objects of the kind."""

    async def check_store(store, client):
        found = await client.read_configuration()
        assert (found.version, found.objects) == (0, None)
        spec = meshes.configuration(4, [], ())
        store.put("config", "main", spec)
        changed = await client.watch_configuration(found.revision, 1.0)
        assert changed.version == 4
        store.put("config", "other", {"version": "r9"})
        again = await client.watch_configuration(changed.revision, 0.1)
        assert again.objects is None

    await with_store(check_store)


async def test_a_compacted_store_is_reported():
    """Guards against a compacted store that looks like one without changes."""

    async def check_store(store, client):
        store.put("config", "main", meshes.configuration(4, [], ()))
        store.compact()
        with pytest.raises(errors.CodedError) as caught:
            await client.watch_configuration(1, 0.1)
        assert caught.value.code == errorcodes.STORE_COMPACTED

    await with_store(check_store)


@pytest.mark.parametrize("status", [503, 429, 500])
async def test_a_store_that_refuses_is_unavailable(status):
    """Guards against refusals of the store that pass as answers."""

    async def check_store(store, client):
        store.refuse_with = status
        with pytest.raises(errors.CodedError) as caught:
            await client.read_configuration()
        assert caught.value.code == errorcodes.STORE_UNAVAILABLE

    await with_store(check_store)


async def test_a_silent_store_is_given_up():
    """Guards against a watch that never ends."""

    async def check_store(store, client):
        store.is_silent = True
        with anyio.fail_after(2), pytest.raises(errors.CodedError):
            await client.watch_configuration(1, 0.1)

    await with_store(check_store)


async def test_a_daemon_whose_first_answer_was_lost_is_added_once():
    """Guards against a second entry when the first answer was lost."""

    async def check_store(store, client):
        entry = stores.DirectoryEntry("10.0.0.1:80", "z", "r")
        store.loses_answers = True
        with pytest.raises(errors.CodedError):
            await client.add_daemon(entry)
        store.loses_answers = False
        await client.add_daemon(entry)
        assert await client.list_daemons(False) == [entry]
        await client.remove_daemon(entry.mesh)
        assert await client.list_daemons(True) == []
        assert any("stale-ok=1" in call for call in store.calls)

    await with_store(check_store)


def filled_template():
    """Returns the template with its placeholders replaced."""
    text = (ROOT / "platform" / "settings.toml").read_text("utf-8")
    values = {
        "node-name|json": '"a"',
        "zone|json": '"zone-1"',
        "region|json": '"r"',
        "service": "s",
        "ip": "10.0.0.1",
        "port-range.0": "7600",
        "#limits.link-mbps": "",
        "limits.link-mbps": "3.5",
        "/limits.link-mbps": "",
        "#bounds.drain-s": "",
        "bounds.drain-s": "3",
        "/bounds.drain-s": "",
        "#limits.memory-mb": "",
        "limits.memory-mb": "300",
        "/limits.memory-mb": "",
        "#bounds.grace-s": "",
        "bounds.grace-s": "10",
        "/bounds.grace-s": "",
        "#bounds.stable-window-s": "",
        "bounds.stable-window-s": "4",
        "/bounds.stable-window-s": "",
        "#bounds.retry-budget-slack": "",
        "bounds.retry-budget-slack": "60",
        "/bounds.retry-budget-slack": "",
        "#bounds.expose-share": "",
        "bounds.expose-share": "0.1",
        "/bounds.expose-share": "",
        "#bounds.expose-slack": "",
        "bounds.expose-slack": "50",
        "/bounds.expose-slack": "",
        "#bounds.rollback-s": "",
        "bounds.rollback-s": "5",
        "/bounds.rollback-s": "",
    }
    return re.sub(
        r"\{\{([^}]*)\}\}",
        lambda match: values.get(match.group(1), "10.0.0.1:80"),
        text,
    )


def test_the_template_makes_valid_settings():
    """Guards against a template that the daemon rejects."""
    settings = settings_module.parse(filled_template(), "node.toml")
    assert settings.instance.zone == "zone-1"
    assert settings.listen.operators == "10.0.0.1:7600"
    assert settings.instance.link_mbps == 3.5
    assert settings.instance.memory_mb == 300
    assert settings.instance.drain_s == 3
    assert settings.shutdown.limit_s == 10.0
    assert settings.platform.stable_s == 4.0
    assert settings.calls.retry_slack == 60.0
    assert settings.platform.url == "http://10.0.0.1:80"


async def test_changed_settings_are_read_again(tmp_path):
    """Guards against a store address that stays the old one until a restart."""
    path = tmp_path / "node.toml"
    path.write_text(filled_template())
    settings = settings_module.load(path)
    async with httpx.AsyncClient(base_url=settings.platform.url) as client:
        reload = program._SettingsReloader(path, settings, client)
        reload()
        assert client.base_url.host == "10.0.0.1"
        path.write_text(filled_template().replace("10.0.0.1:80", "10.0.0.2:80"))
        reload()
        assert client.base_url.host == "10.0.0.2"
        path.write_text("nonsense = ")
        reload()
        assert client.base_url.host == "10.0.0.2"


async def test_a_change_to_tls_needs_a_restart(tmp_path):
    """Guards against https to a store without certificate checks."""
    path = tmp_path / "node.toml"
    path.write_text(filled_template())
    settings = settings_module.load(path)
    async with program._store_client(settings) as client:
        reload = program._SettingsReloader(path, settings, client)
        secure = filled_template().replace(
            "http://10.0.0.1:80", "https://10.0.0.2:443"
        )
        path.write_text(secure)
        reload()
        assert (client.base_url.scheme, client.base_url.host) == (
            "http",
            "10.0.0.1",
        )


def test_a_converter_that_reuses_paths_returns_what_a_new_one_returns():
    """Guards against a reused route of an earlier version."""
    converter = configuration.Converter()
    first = meshes.path("/a/", "skladby")
    second = meshes.path("/b/", "skladby")
    for paths in (
        [first, second],
        [{**first, "service": "objednavky"}, second],
        [{**first, "timeout-s": 0.25}],
        [second, first],
    ):
        spec = meshes.configuration(3, paths, ["skladby", "objednavky"])
        reused = converter.convert(spec)
        assert reused == configuration.Converter().convert(spec)


UNEXPECTED_ANSWERS = [
    {},
    {"store-revision": None, "items": [], "events": []},
    {"store-revision": "7", "items": [], "events": []},
    {"store-revision": 7, "items": {}, "events": 1},
    {"store-revision": 7, "items": None, "events": None},
    {"store-revision": 7, "items": [1], "events": [1], "more": True},
    {"store-revision": 7, "items": [{"metadata": 1}], "more": True},
]


@pytest.mark.parametrize("answer", UNEXPECTED_ANSWERS)
async def test_an_answer_that_the_store_does_not_specify_has_a_code(answer):
    """Guards against a daemon that ends at an answer with other fields."""
    transport = httpx.MockTransport(
        lambda _request: httpx.Response(200, json=answer)
    )
    calls = (
        lambda store: store.read_configuration(),
        lambda store: store.watch_configuration(5, 0.1),
        lambda store: store.list_daemons(False),
    )
    async with httpx.AsyncClient(
        base_url="http://store", transport=transport
    ) as client:
        store = store_module.ObjectStore(client)
        for call in calls:
            try:
                result = await call(store)
            except errors.CodedError as error:
                assert error.code == errorcodes.STORE_PROTOCOL
            else:
                assert result in ([], (7, 0, None, 0))
