"""Tests of the operators' command-line tool against simulated servers."""

import asyncio
import json
import pathlib
import threading
import time

import httpx
import hypercorn.asyncio
import hypercorn.config
import pytest

from rattangauge import cmdline
from rattangauge.net import operator_api
from standins import platform as platform_standin
from tools import fleet

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


@pytest.fixture
def serve():
    """Serves applications in threads until the test ends."""
    stop = threading.Event()
    threads = []

    async def stopped():
        while not stop.is_set():
            await asyncio.sleep(0.02)

    def start(app):
        config = hypercorn.config.Config()
        config.bind = [fleet.free_address("127.0.0.1")]
        config.loglevel = "CRITICAL"
        served = hypercorn.asyncio.serve(app, config, shutdown_trigger=stopped)
        threads.append(threading.Thread(target=asyncio.run, args=(served,)))
        threads[-1].start()
        wait_for(config.bind[0])
        return config.bind[0]

    yield start
    stop.set()
    for thread in threads:
        thread.join()


def wait_for(address):
    for _ in range(100):
        try:
            return httpx.get(f"http://{address}/counters", timeout=1.0)
        except httpx.HTTPError:
            time.sleep(0.02)
    raise TimeoutError(address)


@pytest.fixture
def store(monkeypatch, serve):
    url = f"http://{serve(platform_standin.Platform().app)}"
    monkeypatch.setenv("RATTANGAUGE_STORE", url)
    return url


@pytest.fixture
def rattangauge(capsys):
    """Runs a command; returns exit code, output and errors."""

    def run(*tokens):
        code = cmdline.run([str(token) for token in tokens])
        captured = capsys.readouterr()
        assert "Traceback" not in captured.err
        return code, captured.out, captured.err

    return run


def put_status(store, zone, **fields):
    url = f"{store}/objects/status/{zone}"
    headers = {"if-none-match": "*"}
    httpx.put(url, content=json.dumps(fields), headers=headers)


def write(folder, text):
    path = folder / "objects.toml"
    path.write_text(text)
    return path


POLICY = '[[policy]]\nname = "a"\nretries = {}\n'


def test_check_prints_findings_with_place(rattangauge, tmp_path):
    """Guards against a check that passes or does not name the file."""
    path = write(tmp_path, POLICY.format("11\nretry = 1"))
    code, out, _ = rattangauge("check", path)
    assert code == 1
    assert out.splitlines() == [
        f"{path}: policy a: retry: the field does not exist "
        "[object.unknown_field]",
        f"{path}: policy a: retries: 11 is above the maximum 10 [object.range]",
    ]
    code, out, _ = rattangauge("check", path, "--json")
    assert json.loads(out)["findings"][1]["code"] == "object.range"
    assert rattangauge("check", EXAMPLES / "choirs") == (0, "", "")


def test_publish_and_read_back(rattangauge, store, tmp_path):
    """Guards against objects that change between files and the store."""
    assert rattangauge("apply", EXAMPLES / "choirs")[0] == 0
    path = write(tmp_path, POLICY.format(5))
    assert "+ policy/a" in rattangauge("diff", path)[1]
    assert rattangauge("apply", path, "--author", "eva")[0] == 0
    write(tmp_path, POLICY.format(6))
    out = rattangauge("diff", path)[1]
    assert out == "~ policy/a\n    retries: 5 -> 6\n"
    out = rattangauge("get", "policy/a")[1]
    assert out.startswith('# version 2\n[[policy]]\nname = "a"\n')
    code, out, _ = rattangauge("apply", "--delete", "policy/a", "--json")
    assert json.loads(out)["changed"] == ["policy/a"]
    code, _, err = rattangauge("get", "policy/a")
    assert code == 3
    assert err == "policy/a: the object does not exist [publish.no_object]\n"
    assert rattangauge("apply", "--from-version", 2)[0] == 0
    assert rattangauge("diff", "--version", 3)[1] == "+ policy/a\n"
    out = rattangauge("history", "--json")[1]
    log = json.loads(out)["log"]
    assert [entry["version"] for entry in log] == [4, 3, 2, 1]
    assert log[2]["author"] == "eva"
    assert "policy/a" in rattangauge("history")[1]


def test_conflict_and_findings_have_exit_codes(rattangauge, store, tmp_path):
    """Guards against scripts that take a refusal for a success."""
    path = write(tmp_path, POLICY.format(1))
    assert rattangauge("apply", path)[0] == 0
    write(tmp_path, POLICY.format(2))
    assert rattangauge("apply", path)[0] == 0
    write(tmp_path, POLICY.format(3))
    code, out, err = rattangauge("apply", path, "--base", 1)
    assert (code, out) == (3, "")
    assert "changed policy/a in version 2 [publish.conflict]" in err
    write(tmp_path, '[[service]]\nname = "s"\npools = ["none"]\n')
    code, _, err = rattangauge("apply", path)
    assert code == 1
    assert err.startswith(f"{path}: service s: pools: the pool 'none'")


def test_lost_reply_and_store_down(rattangauge, store, tmp_path):
    """Guards against a duplicate or a traceback when the store fails."""
    path = write(tmp_path, POLICY.format(1))
    httpx.post(f"{store}/control", json={"lose_replies": 2})
    code, _, err = rattangauge("apply", path)
    assert (code, err.count("trying again in")) == (0, 2)
    log = json.loads(rattangauge("history", "--json")[1])["log"]
    assert [entry["version"] for entry in log] == [1]
    httpx.post(f"{store}/control", json={"down": True})
    code, _, err = rattangauge("history")
    assert code == 4
    assert err == "head: the store answered 503 [store.unavailable]\n"


def test_status_from_the_store_and_wait(rattangauge, store, tmp_path):
    """Guards against reporting a version in force that a zone lacks."""
    path = write(tmp_path, POLICY.format(1))
    assert rattangauge("apply", path)[0] == 0
    proxies = [{"instance": "a", "version": 1}, {"instance": "b"}]
    put_status(store, "zone-1", lowest_version=1)
    assert rattangauge("apply", path, "--wait")[0] == 0
    put_status(store, "zone-2", lowest_version=0, proxies=proxies)
    code, _, err = rattangauge("apply", path, "--wait", "--wait-s", "0.2")
    assert code == 6
    assert "zone-2 (1 of 2 proxies are behind)" in err
    report = json.loads(rattangauge("status", "--json")[1])
    assert [zone["behind"] for zone in report["zones"]] == [False, True]
    assert report["proxies"][1]["reason"].startswith("it reports no config")
    assert "zone-2" in rattangauge("status")[1]


def test_status_shows_what_zones_run_when_the_edition_is_damaged(
    rattangauge, store, tmp_path
):
    """Guards against a status command that fails on a damaged edition."""
    assert rattangauge("apply", write(tmp_path, POLICY.format(1)))[0] == 0
    proxies = [
        {"instance": "a", "version": 0, "rejected_version": 1, "age_ms": 40},
        {"instance": "b", "version": 1, "state": "dead"},
    ]
    put_status(store, "zone-1", lowest_version=0, proxies=proxies)
    url = f"{store}/objects/head"
    stored = httpx.get(url)
    damaged = json.dumps({**stored.json(), "parts": ["0" * 64]})
    condition = {"if-match": stored.headers["etag"]}
    httpx.put(url, content=damaged, headers=condition).raise_for_status()
    code, out, err = rattangauge("status", "--json")
    report = json.loads(out)
    assert (code, report["zones"][0]["gone"]) == (0, 1)
    assert "a part of the edition is missing" in err
    assert [proxy["instance"] for proxy in report["proxies"]] == ["a"]
    assert report["proxies"][0]["seen_ms"] == 40
    assert "rejected version 1" in report["proxies"][0]["reason"]
    condition = {"if-match": httpx.get(url).headers["etag"]}
    httpx.put(url, content="{}", headers=condition).raise_for_status()
    code, out, err = rattangauge("status")
    assert (code, "zone-1" in out, "[store.protocol]" in err) == (0, True, True)


def test_status_of_a_daemon_shows_rejected_versions(rattangauge, serve):
    """Guards against "current" for a proxy that refuses the newest version."""
    member = {"instance": "a", "zone": "z", "version": 1, "state": "alive"}
    refused = {"rejected_version": 2, "rejected_code": "object.reference"}

    async def answer(_query, _body):
        members = [{**member, **refused}]
        return operator_api.json_reply({"version": 1, "members": members})

    app = operator_api.application({("GET", "/status"): answer})
    out = rattangauge("status", "--daemon", serve(app), "--json")[1]
    report = json.loads(out)
    assert (report["version"], report["zones"][0]["behind"]) == (2, True)
    assert "[object.reference]" in report["proxies"][0]["reason"]


def daemon_app(requests):
    members = [
        {"instance": "a", "zone": "z", "version": 2, "state": "alive"},
        {"instance": "b", "zone": "z", "version": 1, "state": "suspect"},
    ]
    event = {
        "time_ms": 0,
        "subject": "version 2",
        "action": "put in force",
        "reason": "it is newer",
        "code": "",
    }

    def endpoint(value):
        async def answer(query, _body):
            requests.append(query)
            return operator_api.json_reply(value)

        return answer

    return operator_api.application(
        {
            ("GET", "/status"): endpoint({"version": 2, "members": members}),
            ("GET", "/explain"): endpoint({"events": [event]}),
            ("POST", "/drain"): endpoint({"draining": True}),
        }
    )


def test_commands_that_ask_a_daemon(rattangauge, serve):
    """Guards against requests to the daemon with a wrong path or method."""
    requests = []
    address = serve(daemon_app(requests))
    out = rattangauge("status", "--daemon", address, "--json")[1]
    behind = [proxy["behind"] for proxy in json.loads(out)["proxies"]]
    assert behind == [False, True]
    out = rattangauge("explain", "version 2", "--daemon", address)[1]
    assert "version 2: put in force: it is newer" in out
    assert requests[-1] == {"subject": "version 2"}
    code, out, _ = rattangauge("drain", "--daemon", address)
    expected = f"{address} drains and exits when its calls have finished\n"
    assert (code, out) == (0, expected)


@pytest.mark.parametrize(
    ("tokens", "code", "expected"),
    [
        (["bogus"], 2, "Unknown command"),
        (["check"], 2, "operators.request"),
        (["explain", "x", "--daemon", "here"], 2, "'here' is not IP:PORT"),
        (["apply", "--delete", "nothing"], 2, "is not KIND/NAME"),
        (["get", "--store", "nowhere"], 2, "is not an HTTP URL"),
        (["apply", "--from-version", "1", "x"], 2, "takes neither files"),
        (["history", "--limit", "0"], 2, "Must be >= 1"),
        (["history", "--timeout-s", "nan"], 2, "Must be > 0"),
        (["apply", "/none.toml"], 1, "[object.unreadable]"),
        (["history", "--store", "http://127.0.0.1:1"], 4, "store.unavail"),
        (["drain", "--daemon", "127.0.0.1:1"], 4, "operators.unreachable"),
    ],
)
def test_expected_errors_have_code_and_exit_code(
    rattangauge, tokens, code, expected
):
    """Guards against tracebacks and a success code for expected errors."""
    found, out, err = rattangauge(*tokens)
    assert (found, out) == (code, "")
    assert expected in err
