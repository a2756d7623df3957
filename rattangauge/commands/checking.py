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
    """Objects read from files.

    Attributes:
        objects: All objects by kind and name.
        places: File of each object by kind and name.
        findings: Findings of single files and duplicate objects.
    """

    objects: objects_module.ObjectSet
    places: dict[tuple[str, str], str]
    findings: list[errors.Finding]


def read(paths: Iterable[pathlib.Path]) -> Files:
    """Reads object files; references between objects are not checked."""
    loaded = objects_module.load(paths)
    objects, collected = objects_module.build_set(loaded.objects)
    places = {
        (item.kind, item.object.name): item.place for item in loaded.objects
    }
    return Files(objects, places, loaded.findings + collected.findings)


def check_files(paths: Iterable[pathlib.Path]) -> list[errors.Finding]:
    """Checks files as a whole set, by the same rules as a publish."""
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
    """Checks files, prints all findings and returns the exit code."""
    findings = check_files(paths)
    if as_json:
        tables = [finding._asdict() for finding in findings]
        output.print_json({"findings": tables})
    else:
        for finding in findings:
            print(finding)
    return output.EXIT_FINDINGS if findings else output.EXIT_OK
