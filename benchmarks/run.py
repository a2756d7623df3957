"""Runs all benchmarks, judges them by their bounds and draws them.

Reports, the table and plots go to ``bench-out``. The exit code is 1 if a bound
is exceeded, a figure is missing or a scenario fails.
"""

import argparse
import json
import pathlib
import subprocess
import sys
from typing import Any

import matplotlib

from benchmarks import bounds as bounds_module
from benchmarks import registry

matplotlib.use("Agg")

from matplotlib import pyplot
import rich.console
import rich.table

OUT = registry.ROOT / "bench-out"
BOUNDS = pathlib.Path(__file__).with_name("bounds.toml")
FAILED_VERDICTS = (bounds_module.EXCEEDED, bounds_module.MISSING)

console = rich.console.Console(highlight=False)


def run_scenarios(
    seed: int, quick: bool, chosen: list[str]
) -> tuple[dict[str, Any], list[str]]:
    """Runs scenarios; returns reports by name and names that failed."""
    reports: dict[str, Any] = {}
    failed = []
    for name, scenario in registry.scenarios().items():
        if chosen and name not in chosen:
            continue
        console.print(f"running {name} with seed {seed}")
        try:
            reports[name] = scenario(seed, quick, OUT)
        except (subprocess.SubprocessError, OSError, ValueError) as error:
            console.print(f"{name} failed: {error}", markup=False)
            failed.append(name)
    return reports, failed


def judge_all(
    reports: dict[str, Any], quick: bool
) -> list[bounds_module.Verdict]:
    """Judges all bounds by the reports."""
    verdicts = []
    for bound in bounds_module.load(BOUNDS):
        if bound.scenario not in reports or (quick and not bound.quick):
            verdict = bounds_module.Verdict(
                bound, None, None, None, bounds_module.NOT_RUN
            )
        else:
            figures = bounds_module.flatten(reports[bound.scenario])
            verdict = bounds_module.judge(bound, figures)
        verdicts.append(verdict)
    return verdicts


def _number(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"


def _limit(bound: bounds_module.Bound) -> str:
    kind = "ratio" if bound.naive else ""
    if bound.at_most is not None:
        return f"{kind} <= {bound.at_most:g}".strip()
    return f"{kind} >= {bound.at_least:g}".strip()


def print_table(verdicts: list[bounds_module.Verdict]) -> None:
    """Prints figures, bounds and verdicts."""
    table = rich.table.Table(
        "figure", "rattangauge", "naive", "ratio", "bound", "verdict"
    )
    for verdict in verdicts:
        table.add_row(
            verdict.bound.name,
            _number(verdict.ours),
            _number(verdict.naive),
            _number(verdict.ratio),
            _limit(verdict.bound),
            verdict.verdict,
        )
    console.print(table)


def _draw_capacity(report: dict[str, Any]) -> None:
    for group, sizes in report.items():
        points = {int(k): v for k, v in sizes.items() if k.isdigit()}
        names = list(next(iter(points.values())))
        figure, axes = pyplot.subplots(
            1, len(names), figsize=(4 * len(names), 3)
        )
        for axis, name in zip(axes, names, strict=True):
            axis.plot(list(points), [v[name] for v in points.values()], "o-")
            axis.set_xlabel(group)
            axis.set_title(name)
        figure.tight_layout()
        figure.savefig(OUT / f"capacity_{group}.png")
        pyplot.close(figure)


def _draw_bounds(verdicts: list[bounds_module.Verdict]) -> None:
    """Draws each figure as a share of its bound."""
    shares = {}
    for verdict in verdicts:
        limit = verdict.bound.at_most or verdict.bound.at_least
        value = verdict.ours if verdict.ratio is None else verdict.ratio
        if value is not None and limit:
            shares[verdict.bound.name] = value / limit
    if not shares:
        return
    figure, axis = pyplot.subplots(figsize=(9, 1 + 0.4 * len(shares)))
    axis.barh(list(shares), list(shares.values()))
    axis.axvline(1.0, color="black")
    axis.set_xlabel("figure as a share of its bound")
    figure.tight_layout()
    figure.savefig(OUT / "bounds.png")
    pyplot.close(figure)


def _write(
    seed: int, reports: dict[str, Any], verdicts: list[bounds_module.Verdict]
) -> None:
    rows = [
        {**verdict._asdict(), "bound": verdict.bound._asdict()}
        for verdict in verdicts
    ]
    report = {"seed": seed, "reports": reports, "verdicts": rows}
    (OUT / "bench.json").write_text(json.dumps(report, indent=1))
    _draw_bounds(verdicts)
    if "bench_capacity" in reports:
        _draw_capacity(reports["bench_capacity"])


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument(
        "--scenario", action="append", choices=registry.MODULES, default=[]
    )
    return parser.parse_args(arguments)


def main() -> None:
    """Runs the command line."""
    options = parse_arguments()
    OUT.mkdir(exist_ok=True)
    reports, failed = run_scenarios(
        options.seed, options.quick, options.scenario
    )
    verdicts = judge_all(reports, options.quick)
    print_table(verdicts)
    _write(options.seed, reports, verdicts)
    bad = [v.bound.name for v in verdicts if v.verdict in FAILED_VERDICTS]
    console.print(f"scenarios that failed: {', '.join(failed) or 'none'}")
    console.print(f"bounds that do not hold: {', '.join(bad) or 'none'}")
    sys.exit(1 if bad or failed else 0)


if __name__ == "__main__":
    main()
