"""Tests of the logs of the process."""

import json
import logging
import sys

from rattangauge import decisionlog
from rattangauge import log
from tests import meshes


def test_lines_of_libraries_reach_the_decision_log():
    """Guards against lines on standard error, where a write can block."""
    written = bytearray()

    def write(data):
        written.extend(data)
        return len(data)

    decisions = decisionlog.DecisionLog("a", "z", write)
    settings = meshes.daemon_settings("a", "skladby", "z", "127.0.0.1:1")
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    try:
        log.write_to(decisions, settings)
        logging.getLogger("asyncio").error("task failed: %s {x}", "q")
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
        log.logger.remove()
        log.logger.add(sys.stderr)
    decisions.flush()
    (line,) = [json.loads(line) for line in written.splitlines()]
    assert line["text"] == "asyncio: task failed: q {x}"
    assert line["level"] == "ERROR"
