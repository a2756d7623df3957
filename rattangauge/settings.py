"""Reads and checks the daemon's settings file."""

import pathlib
import tomllib
from typing import Any
import urllib.parse

from rattangauge import errors
from rattangauge import fields
from rattangauge.generated import errorcodes
from rattangauge.generated import settings as generated

Settings = generated.Settings

# Characters of a URL.
MAX_URL = 2000

_CODES = fields.Codes(
    unknown=errorcodes.SETTINGS_UNKNOWN_KEY,
    missing=errorcodes.SETTINGS_MISSING,
    type=errorcodes.SETTINGS_TYPE,
    range=errorcodes.SETTINGS_RANGE,
    address=errorcodes.SETTINGS_ADDRESS,
)


def _check_section(
    place: str, name: str, table: Any, findings: list[errors.Finding]
) -> dict[str, Any]:
    def report(key: str, message: str, code: str) -> None:
        field = f"{name}.{key}"
        findings.append(errors.Finding(place, field, message, code))

    if not isinstance(table, dict):
        message = f"{fields.show(table)} is not a table"
        finding = errors.Finding(place, name, message, errorcodes.SETTINGS_TYPE)
        findings.append(finding)
        return {}
    return fields.check(generated.SPECS[name], table, _CODES, report)


def _url_error(url: str) -> str:
    """Returns why a text is no URL that can be called; empty if it is one."""
    try:
        parts = urllib.parse.urlsplit(url)
        _ = parts.port
    except ValueError as error:
        return f"{fields.show(url)}: {error}"
    is_web = parts.scheme in ("http", "https") and bool(parts.hostname)
    if not is_web or not url.isprintable() or len(url) > MAX_URL:
        return f"{fields.show(url)} is not an http or https URL"
    return ""


def parse(text: str, place: str) -> Settings:
    """Parses the text of a settings file.

    Args:
        text: TOML.
        place: Name of the file, named in findings.

    Raises:
        errors.FindingsError: The text is not valid; has all findings.
    """
    findings: list[errors.Finding] = []
    try:
        tables = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # tomllib raises ValueError also for integers with too many digits, and
        # RecursionError for deep nesting.
        finding = errors.Finding(
            place, "", str(error), errorcodes.SETTINGS_SYNTAX
        )
        raise errors.FindingsError([finding]) from error
    for name in sorted(tables.keys() - generated.SECTIONS.keys()):
        finding = errors.Finding(
            place,
            fields.label(name),
            "the section does not exist",
            errorcodes.SETTINGS_UNKNOWN_KEY,
        )
        findings.append(finding)
    values = {
        name: _check_section(place, name, tables.get(name, {}), findings)
        for name in generated.SECTIONS
    }
    url = values["platform"].get("url")
    if url is not None and (message := _url_error(url)):
        code = errorcodes.SETTINGS_ADDRESS
        findings.append(errors.Finding(place, "platform.url", message, code))
    if findings:
        raise errors.FindingsError(findings)
    sections = {
        name: section(**values[name])
        for name, section in generated.SECTIONS.items()
    }
    return Settings(**sections)


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        errors.FindingsError: The file cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = errors.Finding(
            str(path), "", str(error), errorcodes.SETTINGS_UNREADABLE
        )
        raise errors.FindingsError([finding]) from error
    return parse(text, str(path))
