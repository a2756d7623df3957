"""Scenario modules of the benchmarks, found by name."""

from collections.abc import Callable
import functools
import importlib.util
import json
import pathlib
import subprocess
import sys
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
MODULES = (
    "bench_capacity",
    "bench_calls",
    "bench_decisions",
    "bench_distribution",
)
TIMEOUT_S = 1800.0

# Arguments that make a scenario short.
QUICK_ARGUMENTS = {
    "bench_capacity": ("--quick",),
    "bench_calls": ("--scenario", "hop", "--scenario", "slowed"),
    "bench_decisions": (),
    "bench_distribution": ("--sizes", "6", "--changes", "5"),
}

# Runs a scenario with a seed and returns its report.
Scenario = Callable[[int, bool, pathlib.Path], Any]


def _run(name: str, seed: int, quick: bool, folder: pathlib.Path) -> Any:
    """Runs the command line of a module.

    Raises:
        subprocess.SubprocessError: It failed or took too long.
    """
    path = folder / f"{name}.json"
    command = [sys.executable, "-m", f"benchmarks.{name}"]
    command += ["--seed", str(seed), "--json", str(path)]
    command += QUICK_ARGUMENTS[name] if quick else ()
    subprocess.run(command, check=True, cwd=ROOT, timeout=TIMEOUT_S)
    return json.loads(path.read_text())


def scenarios() -> dict[str, Scenario]:
    """Returns the scenarios whose modules exist."""
    return {
        name: functools.partial(_run, name)
        for name in MODULES
        if importlib.util.find_spec(f"benchmarks.{name}") is not None
    }
