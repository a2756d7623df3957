"""The command ``check``: checks object files without the store."""

from collections.abc import Iterable
import pathlib
from typing import NamedTuple

from rattangauge import errors
from rattangauge.commands import output
from rattangauge.config import check as check_module
from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module


class Files(NamedTuple):
    """Objects of files, with the file of each and all findings."""

    objects: objects_module.ObjectSet
    places: dict[tuple[str, str], str]
    findings: list[errors.Finding]


def read(paths: Iterable[pathlib.Path]) -> Files:
    """Reads object files; references are not checked."""
    loaded = objects_module.load(paths)
    objects, collected = objects_module.build_set(loaded.objects)
    places = {
        (item.kind, item.object.name): item.place for item in loaded.objects
    }
    return Files(objects, places, loaded.findings + collected.findings)


def findings_of(paths: Iterable[pathlib.Path]) -> list[errors.Finding]:
    """Checks files as a whole set, as before a publish."""
    files = read(paths)
    found = files.findings + check_module.check_objects(
        files.objects, files.places
    )
    if found:
        return found
    data = edition_module.encode(files.objects)
    try:
        edition_module.decode(1, edition_module.digest_of(data), data)
    except errors.FindingsError as error:
        return error.findings
    return []


def run(paths: list[pathlib.Path], as_json: bool) -> int:
    """Checks files and prints every finding."""
    findings = findings_of(paths)
    if as_json:
        tables = [finding._asdict() for finding in findings]
        output.print_json({"findings": tables})
    else:
        for finding in findings:
            print(finding)
    return output.EXIT_FINDINGS if findings else output.EXIT_OK
