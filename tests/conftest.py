"""Fixtures of all tests, and the list of tests that are known to fail."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Returns the tests that KNOWN-RED.txt names, as ``FILE::TEST``."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.split()[1] for line in lines if line.startswith("test: ")]


def pytest_collection_modifyitems(config, items):
    """Passes over exactly the tests that KNOWN-RED.txt names."""
    names = set(known_red())
    red = [item for item in items if item.nodeid.split("[")[0] in names]
    config.known_red = sorted(names)
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]


def pytest_terminal_summary(terminalreporter, config):
    """Prints the tests that were passed over."""
    for name in getattr(config, "known_red", ()):
        terminalreporter.write_line(f"known red, not run: {name}")


@pytest.fixture
def anyio_backend():
    return "asyncio"
