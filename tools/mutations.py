"""Checks that the tests of the invariants fail without their mechanisms.

``tools/mutations.toml`` names edits that each take one mechanism out. The tree
is copied to a temporary folder; one edit at a time is applied there and its
test is run, which must fail. All named tests must first pass without an edit.
"""

import argparse
from collections.abc import Iterator
import contextlib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
TABLE = ROOT / "tools" / "mutations.toml"
FOLDERS = (
    "examples",
    "platform",
    "rattangauge",
    "schema",
    "standins",
    "tests",
    "tools",
)
# Package of the adapter, whose folder has another name.
ADAPTER = "rattangauge_platform"
FILES = ("KNOWN-RED.txt", "pyproject.toml")

# The longest test of a whole mesh takes less than a minute.
LIMIT_S = 180.0
BASELINE_LIMIT_S = 900.0
# Exit code of pytest when tests ran and some of them failed. Other codes say
# that nothing was tested, for example because a module has a syntax error.
PYTEST_FAILED = 1
SHOWN_CHARACTERS = 2000


class Mutation(NamedTuple):
    """An edit that takes one mechanism out.

    Attributes:
        name: Name of the edit.
        proves: Properties and failures of docs/design.md that need it.
        file: File to edit, from the root of the tree.
        old: Text to replace; it occurs once in the file.
        new: Replacement.
        test: Test that must fail, as ``file::name``.
    """

    name: str
    proves: tuple[str, ...]
    file: str
    old: str
    new: str
    test: str


class Outcome(NamedTuple):
    """What a test did with an edit; ``verdict`` is caught if it failed."""

    verdict: str
    seconds: float
    output: str


def read(path: pathlib.Path = TABLE) -> list[Mutation]:
    """Reads the table of edits."""
    tables = tomllib.loads(path.read_text())["mutation"]
    mutations = []
    for table in tables:
        fields = {**table, "proves": tuple(table["proves"])}
        mutations.append(Mutation(**fields))
    return mutations


def applies(mutation: Mutation, root: pathlib.Path) -> bool:
    """Tells whether the text of an edit occurs exactly once."""
    path = root / mutation.file
    return path.exists() and path.read_text().count(mutation.old) == 1


@contextlib.contextmanager
def applied(mutation: Mutation, root: pathlib.Path) -> Iterator[None]:
    """Applies an edit while the block lasts."""
    path = root / mutation.file
    text = path.read_text()
    path.write_text(text.replace(mutation.old, mutation.new))
    try:
        yield
    finally:
        path.write_text(text)


def copy_tree(target: pathlib.Path) -> None:
    """Copies what the tests need, without compiled files."""
    ignored = shutil.ignore_patterns("__pycache__")
    for name in FOLDERS:
        shutil.copytree(ROOT / name, target / name, ignore=ignored)
    for name in FILES:
        shutil.copy2(ROOT / name, target / name)
    (target / ADAPTER).symlink_to(target / "platform")


def _run_tests(
    root: pathlib.Path, tests: list[str], limit_s: float
) -> tuple[int | None, str]:
    """Runs tests; returns pytest's exit code, or None after the limit."""
    # A compiled file could outlive an edit of the same size and second.
    environment = {
        **os.environ,
        "PYTHONPATH": str(root),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    command = [sys.executable, "-m", "pytest", "-x", *tests]
    # The daemons that a test starts belong to the group of its session.
    process = subprocess.Popen(
        command,
        cwd=root,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=limit_s)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        output, _ = process.communicate()
        return None, output
    return process.returncode, output


def try_one(mutation: Mutation, root: pathlib.Path) -> Outcome:
    """Applies an edit to a copy of the tree and runs its test."""
    if not applies(mutation, root):
        return Outcome("does not apply", 0.0, "")
    began = time.monotonic()
    with applied(mutation, root):
        code, output = _run_tests(root, [mutation.test], LIMIT_S)
    seconds = time.monotonic() - began
    verdict = {PYTEST_FAILED: "caught", None: "caught", 0: "survived"}.get(
        code, f"pytest exited with {code}"
    )
    return Outcome(verdict, seconds, output)


def _baseline(root: pathlib.Path, mutations: list[Mutation]) -> bool:
    tests = sorted({mutation.test for mutation in mutations})
    code, output = _run_tests(root, tests, BASELINE_LIMIT_S)
    if code != 0:
        print(output[-SHOWN_CHARACTERS:])
        print("the tests do not pass without an edit")
    return code == 0


def run(mutations: list[Mutation]) -> int:
    """Tries edits and returns the exit code."""
    missed = []
    with tempfile.TemporaryDirectory(prefix="rattangauge-") as folder:
        root = pathlib.Path(folder)
        copy_tree(root)
        if not _baseline(root, mutations):
            return 1
        for mutation in mutations:
            outcome = try_one(mutation, root)
            proves = ",".join(mutation.proves)
            print(
                f"{outcome.verdict:10} {mutation.name:26} {proves:9} "
                f"{outcome.seconds:5.1f} s  {mutation.test}",
                flush=True,
            )
            if outcome.verdict != "caught":
                missed.append(mutation.name)
    print(f"{len(mutations) - len(missed)} of {len(mutations)} edits caught")
    return 1 if missed else 0


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*", help="edits to try; all if none")
    options = parser.parse_args()
    mutations = read()
    unknown = set(options.names) - {mutation.name for mutation in mutations}
    if unknown:
        parser.error(f"no such edit: {', '.join(sorted(unknown))}")
    chosen = [
        m for m in mutations if not options.names or m.name in options.names
    ]
    sys.exit(run(chosen))


if __name__ == "__main__":
    main()
