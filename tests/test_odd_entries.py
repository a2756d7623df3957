"""Objects of other writers among those that the daemons read (LOST)."""

import json

import anyio
import httpx
import hypothesis
from hypothesis import strategies
import loguru
import pytest
from rattangauge_platform import jsonlists
from rattangauge_platform import store as store_module

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.net import connection_pool
from rattangauge.sidecar import stores
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
DEEP = "[" * 50_000 + "]" * 50_000
LONG_NUMBER = "9" * 5_000
GOOD = [
    stores.DirectoryEntry(f"10.0.0.{number}:8000", "zone-1", "sk-west")
    for number in (1, 2)
]
# Specs of entries that name no daemon, as JSON.
ODD_SPECS = {
    "deep": DEEP,
    "deep-object": '{"a": ' * 50_000 + "1" + "}" * 50_000,
    "long-number": f'{{"mesh": {LONG_NUMBER}, "zone": "z", "region": "r"}}',
    "port": '{"mesh": "10.0.0.9:99999", "zone": "z", "region": "r"}',
    "port-0": '{"mesh": "10.0.0.9:0", "zone": "z", "region": "r"}',
    "host": '{"mesh": "somewhere:80", "zone": "z", "region": "r"}',
    "no-zone": '{"mesh": "10.0.0.9:80", "zone": "", "region": "r"}',
    "types": '{"mesh": 1, "zone": [], "region": {}}',
    "null": "null",
    "port-digits": '{"mesh": "10.0.0.9:\u0663", "zone": "z", "region": "r"}',
    "half-pair": '{"mesh": "10.0.0.9:80", "zone": "\\ud800", "region": "r"}',
    "interface": '{"mesh": "[fe80::1%eth0]:80", "zone": "z", "region": "r"}',
    "interface-unreadable": (
        '{"mesh": "[fe80::1%eth\ufffd]:80", "zone": "z", "region": "r"}'
    ),
    "interface-long": json.dumps(
        {"mesh": "[fe80::1%" + "\u00fc" * 80 + "]:80", "zone": "z"}
        | {"region": "r"}
    ),
    "brackets": '"]}]}{[\\"]}"',
}


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


@pytest.fixture
def warnings():
    """Warnings that are logged during the test."""
    texts = []
    number = loguru.logger.add(texts.append, level="WARNING")
    yield texts
    loguru.logger.remove(number)


def item(name, spec):
    """Returns an object of the store as JSON; the spec is JSON."""
    metadata = json.dumps({"name": name, "revision": 1})
    return f'{{"metadata": {metadata}, "spec": {spec}, "status": null}}'


def page(field, items, **fields):
    """Returns an answer of the store as JSON."""
    rest = json.dumps({"store-revision": 7, **fields})
    return f'{{"{field}": [{", ".join(items)}], {rest[1:]}'


def good_items():
    """Returns the entries of two daemons as JSON."""
    return [
        item(entry.mesh.replace(":", "-"), json.dumps(entry._asdict()))
        for entry in GOOD
    ]


def store_that_answers(*texts):
    """Returns a store that gives one answer after the other."""
    answers = list(texts)

    def answer(_request):
        text = answers.pop(0) if len(answers) > 1 else answers[0]
        return httpx.Response(200, text=text)

    client = httpx.AsyncClient(
        base_url="http://store", transport=httpx.MockTransport(answer)
    )
    return store_module.ObjectStore(client)


@pytest.mark.parametrize("odd", ODD_SPECS)
@pytest.mark.parametrize("index", [0, 1, 2])
async def test_one_odd_entry_does_not_hide_the_others(odd, index, warnings):
    """Guards against a list of daemons that nobody can read any more."""
    items = good_items()
    items.insert(index, item("foreign", ODD_SPECS[odd]))
    store = store_that_answers(page("items", items, more=False))
    for _ in range(3):
        assert await store.list_daemons(False) == GOOD
    about_it = [text for text in warnings if "foreign" in text]
    assert len(about_it) == 1


@pytest.mark.parametrize("odd", ["deep", "long-number"])
async def test_a_page_that_ends_with_an_odd_entry_is_continued(odd):
    """Guards against daemons on the next page that nobody finds."""
    first, second = good_items()
    pages = [
        page("items", [first, item("10.x", ODD_SPECS[odd])], more=True),
        page("items", [second], more=False),
    ]
    store = store_that_answers(*pages)
    assert await store.list_daemons(False) == GOOD


@pytest.mark.parametrize("spec", ['"text"', DEEP])
async def test_a_page_that_ends_with_a_long_name_is_continued(spec):
    """Guards against an entry whose name no URL can hold."""
    first, second = good_items()
    name = "10.0.0.1" + "\U0001f600" * 100_000
    pages = [
        page("items", [first, item(name, spec)], more=True),
        page("items", [second], more=False),
    ]
    store = store_that_answers(*pages)
    assert await store.list_daemons(False) == GOOD


@pytest.mark.parametrize("status", [301, 302, 303, 307, 308])
@pytest.mark.parametrize(
    "location",
    ["mailto:x", "http://xn--/", "http://[::1", "http://h:x/", "//[", "\ufffd"],
)
async def test_a_redirect_of_the_store_has_a_code(status, location):
    """Guards against a daemon that ends, as no redirect is followed."""
    headers = {"location": location.encode()}

    def answer(_request):
        return httpx.Response(status, headers=headers)

    client = httpx.AsyncClient(
        base_url="http://store", transport=httpx.MockTransport(answer)
    )
    with pytest.raises(errors.CodedError):
        await store_module.ObjectStore(client).read_configuration()


@pytest.mark.parametrize("odd", ["deep", "long-number"])
async def test_an_odd_object_beside_the_configuration_is_passed_over(odd):
    """Guards against a configuration that an object beside it hides."""
    spec = json.dumps(meshes.configuration(3, [TRACK], ["skladby"]))
    items = [item("other", ODD_SPECS[odd]), item("main", spec)]
    store = store_that_answers(page("items", items))
    assert (await store.read_configuration()).version == 3
    events = [f'{{"object": {text}, "deleted": false}}' for text in items]
    store = store_that_answers(page("events", events))
    assert (await store.watch_configuration(1, 0.1)).version == 3


@pytest.mark.parametrize("odd", ["deep", "long-number"])
async def test_an_unreadable_configuration_has_a_code(odd):
    """Guards against a daemon that ends, or takes it for none."""
    items = [item("main", ODD_SPECS[odd])]
    store = store_that_answers(page("items", items))
    with pytest.raises(errors.CodedError) as caught:
        await store.read_configuration()
    assert caught.value.code == errorcodes.STORE_PROTOCOL


async def test_daemons_find_each_other_beside_odd_entries():
    """Guards against a daemon that stops to follow the directory."""
    async with meshes.running() as mesh:
        mesh.publish([TRACK])
        for name in ("port", "types", "null", "interface-unreadable"):
            spec = json.loads(ODD_SPECS[name])
            mesh.store.put(store_module.DIRECTORY_KIND, name, spec)
        nested = []
        for _ in range(400):
            nested = [nested]
        mesh.store.put(store_module.DIRECTORY_KIND, "nested", nested)
        await mesh.add("a")
        await mesh.add("b")
        with anyio.fail_after(5.0):
            await mesh.wait_ready()


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda children: (
        strategies.lists(children)
        | strategies.dictionaries(strategies.text(), children)
    ),
)


@hypothesis.given(
    strategies.lists(strategies.dictionaries(strategies.text(), JSON)),
    strategies.dictionaries(strategies.text(), JSON),
    strategies.booleans(),
)
def test_a_list_splits_as_it_parses(items, rest, is_first):
    """Guards against brackets and quotes in texts that shift the split."""
    rest.pop("items", None)
    tables = [{"items": items}, rest] if is_first else [rest, {"items": items}]
    whole = {**tables[0], **tables[1]}
    entries, remainder = jsonlists._split(json.dumps(whole), "items")
    assert [json.loads(entry) for entry in entries] == items
    assert json.loads(remainder) == {**whole, "items": []}


@hypothesis.given(strategies.text(alphabet='{}[]",:items0\\ ', max_size=40))
def test_any_text_is_read_or_refused(text):
    """Guards against an answer that raises another error."""
    try:
        jsonlists.parse(text, "items")
    except ValueError:
        return


@pytest.mark.parametrize(
    "address",
    ["[fe80::1%eth\ufffd]:80", "somewhere:80", "10.0.0.9:0", "", "\ud800:1"],
)
async def test_a_daemon_that_tells_no_address_is_not_reached(address):
    """Guards against a daemon that ends when it calls such a peer."""
    settings = meshes.daemon_settings("a", "skladby", "zone-1", "127.0.0.1:1")
    async with anyio.create_task_group() as tasks:
        links = connection_pool.Links(settings, tasks)
        with pytest.raises(errors.CodedError) as caught:
            async with links.stream(address, connection_pool.SMALL_BODIES):
                pass
        tasks.cancel_scope.cancel()
    assert caught.value.code == errorcodes.LINK_CONNECT
