"""Tests of the settings of the daemon."""

import httpx
import hypothesis
from hypothesis import strategies
import pytest
from rattangauge_platform import program

from rattangauge import errors
from rattangauge import settings as settings_module
from tools import fleet

VALID = {
    "instance": {"name": "a", "zone": "zone-1", "region": "sk-west"},
    "listen": {
        "callers": "127.0.0.1:1",
        "mesh": "127.0.0.1:2",
        "operators": "[::1]:3",
    },
    "platform": {"url": "http://127.0.0.1:4"},
}


def findings(section, **values):
    """Returns the findings after some values of a section are changed."""
    changed = {**VALID, section: {**VALID.get(section, {}), **values}}
    with pytest.raises(errors.FindingsError) as caught:
        settings_module.parse(fleet.format_settings(changed), "f")
    return [str(finding) for finding in caught.value.findings]


def test_defaults_are_filled_in():
    """Guards against a missing default."""
    text = fleet.format_settings(VALID)
    parsed = settings_module.parse(text, "f")
    assert parsed.mesh.ping_period_s == 1.0
    assert parsed.listen.operators == "[::1]:3"


@pytest.mark.parametrize(
    ("section", "key", "value", "expected"),
    [
        ("log", "colour", True, "the field does not exist [settings.unkno"),
        ("log", "level", "LOUD", "'LOUD' is not one of DEBUG, INFO, WARN"),
        ("calls", "queue", 1.5, "1.5 is not of type int [settings.type]"),
        ("calls", "queue", -1, "-1 is below the minimum 0 [settings.range"),
        ("calls", "short_share", float("nan"), "nan is below the minimum"),
        ("mesh", "contacts", ["localhost:1"], "'localhost' does not appear"),
        ("listen", "mesh", "127.0.0.1", "'127.0.0.1' is not IP:PORT [set"),
    ],
)
def test_finding_names_the_key_and_the_value(section, key, value, expected):
    """Guards against a daemon that starts with wrong settings."""
    (finding,) = findings(section, **{key: value})
    assert finding.startswith(f"f: {section}.{key}: {expected}")


@pytest.mark.parametrize(
    ("section", "key", "value"),
    [
        ("platform", "stable_s", 0.0),
        ("platform", "stable_s", 0.25),
        ("platform", "stable_s", 600),
        ("instance", "link_mbps", 1e7),
    ],
)
def test_a_bound_of_the_platform_ends_no_start(section, key, value):
    """Guards against a start that fails for a short bound or a fast link."""
    changed = {**VALID, section: {**VALID[section], key: value}}
    parsed = settings_module.parse(fleet.format_settings(changed), "f")
    assert getattr(getattr(parsed, section), key) == value


def test_all_findings_are_reported_together():
    """Guards against a daemon that reports one finding per start."""
    assert findings("extra", a=1) == [
        "f: extra: the section does not exist [settings.unknown_key]"
    ]
    assert len(findings("calls", queue=-1, retries=11)) == 2


@hypothesis.given(strategies.text())
def test_any_text_gives_findings_only(text):
    """Guards against a settings file that ends in a traceback."""
    for value in (text, f"a = {'[' * 5000}"):
        with pytest.raises(errors.FindingsError):
            settings_module.parse(value, "f")


def test_default_written_out_is_accepted():
    """Guards against a file that states a default and is then refused."""
    listen = {**VALID["listen"], "advertise": ""}
    text = fleet.format_settings({**VALID, "listen": listen})
    assert settings_module.parse(text, "f").listen.advertise == ""


@pytest.mark.parametrize(
    "url",
    [
        "",
        "x",
        "//host",
        "http:",
        "http://",
        "ftp://host",
        "http://[::1",
        "http://host:x/",
        "http://host:99999999/",
        "http://a\u2028b/",
        "http://" + "a" * 70_000,
    ],
    ids=lambda url: repr(url[:30]),
)
def test_a_url_that_cannot_be_called_is_a_finding(url):
    """Guards against a reload that ends the daemon or the use of its store."""
    (finding,) = findings("platform", url=url)
    assert finding.startswith("f: platform.url: ")


def test_a_reload_of_a_url_that_cannot_be_called_keeps_the_old_one(tmp_path):
    """Guards against a settings file that ends the daemon."""
    path = tmp_path / "settings.toml"
    tables = {**VALID, "platform": dict(VALID["platform"])}
    path.write_text(fleet.format_settings(tables), encoding="utf-8")
    old = settings_module.load(path)
    client = httpx.AsyncClient(base_url=old.platform.url)
    reload = program._SettingsReloader(path, old, client)
    for url in ("http://[::1", "http://new:81"):
        tables["platform"]["url"] = url
        path.write_text(fleet.format_settings(tables), encoding="utf-8")
        reload()
        expected = old.platform.url if "[" in url else url
        assert str(client.base_url).rstrip("/") == expected.rstrip("/")
