"""Reads bounds and judges the figures of reports by them."""

from collections.abc import Mapping
import pathlib
import tomllib
from typing import Any
from typing import NamedTuple

# Fields that name the entries of a list in a report.
_LABELS = ("kind", "proxies")

HELD = "held"
EXCEEDED = "exceeded"
# The scenario ran but its report lacks the figure.
MISSING = "missing"
# The scenario was not run, or not in the quick run.
NOT_RUN = "not run"


class Bound(NamedTuple):
    """A limit on a figure or on its ratio to the naive version.

    Attributes:
        name: What is bounded.
        scenario: Module that measures it.
        ours: Path of the figure, with ``/`` between its parts.
        reason: Target of the design page that the bound comes from.
        naive: Path of the naive version's figure; empty for none.
        at_most: Highest permitted value, of the ratio if ``naive`` is given.
        at_least: Lowest permitted value, likewise.
        quick: Whether the quick run measures it too.
    """

    name: str
    scenario: str
    ours: str
    reason: str
    naive: str = ""
    at_most: float | None = None
    at_least: float | None = None
    quick: bool = False


class Verdict(NamedTuple):
    """A bound with the figures that were measured."""

    bound: Bound
    ours: float | None
    naive: float | None
    ratio: float | None
    verdict: str


def load(path: pathlib.Path) -> list[Bound]:
    """Reads the bounds file.

    Raises:
        ValueError: A bound has no reason or not exactly one limit.
    """
    tables = tomllib.loads(path.read_text())["bound"]
    bounds = [Bound(**table) for table in tables]
    for bound in bounds:
        if not bound.reason.strip():
            raise ValueError(f"the bound {bound.name!r} has no reason")
        if (bound.at_most is None) == (bound.at_least is None):
            raise ValueError(f"the bound {bound.name!r} needs one limit")
    return bounds


def _entries(report: Any) -> list[tuple[str, Any]]:
    if isinstance(report, Mapping):
        return [(str(key), value) for key, value in report.items()]
    if not isinstance(report, list):
        return []
    entries = []
    for number, value in enumerate(report):
        table = value if isinstance(value, Mapping) else {}
        labels = [str(table[key]) for key in _LABELS if key in table]
        entries.append(("-".join(labels) or str(number), value))
    return entries


def flatten(report: Any, prefix: str = "") -> dict[str, float]:
    """Returns all numbers of a report by their path.

    >>> flatten({"a": {"b": 1}, "c": [{"kind": "naive", "d": 2}]})
    {'a/b': 1.0, 'c/naive/d': 2.0}
    """
    figures: dict[str, float] = {}
    for key, value in _entries(report):
        path = f"{prefix}/{key}" if prefix else key
        if isinstance(value, int | float):
            figures[path] = float(value)
        else:
            figures.update(flatten(value, path))
    return figures


def _ratio(ours: float, naive: float) -> float:
    if naive:
        return ours / naive
    return float("inf") if ours else 1.0


def judge(bound: Bound, figures: Mapping[str, float]) -> Verdict:
    """Judges one bound by the figures of its scenario."""
    ours = figures.get(bound.ours)
    naive = figures.get(bound.naive) if bound.naive else None
    if ours is None or (bound.naive and naive is None):
        return Verdict(bound, ours, naive, None, MISSING)
    ratio = None if naive is None else _ratio(ours, naive)
    value = ours if ratio is None else ratio
    held = (bound.at_most is None or value <= bound.at_most) and (
        bound.at_least is None or value >= bound.at_least
    )
    return Verdict(bound, ours, naive, ratio, HELD if held else EXCEEDED)
