"""The command ``check``: checks object files without the store."""

from collections.abc import Iterable
import pathlib
from typing import NamedTuple

from rattangauge import errors
from rattangauge.commands import output
from rattangauge.config import check as check_module
from rattangauge.config import difference
from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.config import review


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


class Report(NamedTuple):
    """What a check found.

    Attributes:
        findings: Errors, for which a publish would be refused.
        notes: Entries that do nothing or contradict each other.
        changes: Differences from the version in force.
    """

    findings: list[errors.Finding]
    notes: list[errors.Finding]
    changes: list[difference.Change]


def print_report(report: Report, as_json: bool) -> int:
    """Prints a report and returns the exit code."""
    if as_json:
        tables = {
            field: [item._asdict() for item in items]
            for field, items in report._asdict().items()
        }
        output.print_json(tables)
    else:
        for finding in report.findings:
            print(finding)
        for note in report.notes:
            print(f"note: {note}")
        for change in report.changes:
            print(change)
    return output.EXIT_FINDINGS if report.findings else output.EXIT_OK


def run(
    paths: list[pathlib.Path], against: list[pathlib.Path], as_json: bool
) -> int:
    """Checks files, prints the report and returns the exit code.

    Args:
        paths: Files with the objects to check.
        against: Files with the objects in force; none if they are not known.
        as_json: Whether the report is printed as one JSON document.
    """
    findings = check_files(paths)
    notes: list[errors.Finding] = []
    changes: list[difference.Change] = []
    if not findings:
        objects = read(paths).objects
        notes = review.review(objects)
    if against and not findings:
        in_force = read(against)
        findings = in_force.findings
        changes = difference.difference(in_force.objects, objects)
    return print_report(Report(findings, notes, changes), as_json)
