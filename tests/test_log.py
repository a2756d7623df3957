"""Tests of the logs of the process."""

import json
import logging
import subprocess
import sys

import loguru
import pytest

from rattangauge import decisionlog
from rattangauge import log
from rattangauge.generated import settings as generated
from tests import meshes

# A message of a peer with a pointer of the wrong kind.
MALFORMED = (
    "10215001011101134004510c0607115c0311650a1165070005111962111d12112012111d0a"
    "111d0a111d12111d0aff3132372e302e302e0007313a31017a0172000101730004500102"
)
LOG_ERROR = """
import sys
from rattangauge import decisionlog, errors, log
from rattangauge.net import frames
from tests import meshes
settings = meshes.daemon_settings("a", "s", "z", "127.0.0.1:1")
if sys.argv[1] == "decisions":
    log.write_to(decisionlog.DecisionLog("a", "z", len), settings)
else:
    is_json = sys.argv[1] == "json"
    log.configure(settings._replace(log=settings.log._replace(json=is_json)))
try:
    frames.unpack(bytes.fromhex(sys.argv[2]))
except errors.CodedError:
    log.logger.exception("a stream failed")
"""


class Local:
    """Value of a local variable that counts how often it is formatted."""

    formatted = 0

    def __repr__(self):
        """Counts the call."""
        self.formatted += 1
        return "a local value"


@pytest.fixture
def restored():
    """Restores the logger of the tests."""
    yield
    loguru.logger.remove()
    loguru.logger.add(sys.stderr)


def settings_of(is_json):
    """Returns settings whose log is JSON lines or text."""
    settings = meshes.daemon_settings("a", "s", "z", "127.0.0.1:1")
    return settings._replace(log=generated.Log(json=is_json))


@pytest.mark.parametrize("sink", ["decisions", "json", "text"])
def test_an_error_of_a_malformed_message_can_be_logged(sink):
    """Guards against a log line that aborts the process."""
    done = subprocess.run(
        [sys.executable, "-c", LOG_ERROR, sink, MALFORMED],
        capture_output=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr[-500:]


@pytest.mark.usefixtures("restored")
@pytest.mark.parametrize("sink", ["decisions", "json", "text"])
def test_no_local_value_is_formatted_for_the_log(sink):
    """Guards against log lines that cost, tell or break what values hold."""
    local = Local()
    settings = settings_of(sink == "json")
    if sink == "decisions":
        log.write_to(decisionlog.DecisionLog("a", "z", len), settings)
    else:
        log.configure(settings)
    try:
        raise RuntimeError("for the test" if local else "")
    except RuntimeError:
        log.logger.exception("a stream failed")
    assert not local.formatted


@pytest.mark.usefixtures("restored")
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
    decisions.flush()
    (line,) = [json.loads(line) for line in written.splitlines()]
    assert line["text"] == "asyncio: task failed: q {x}"
    assert line["level"] == "ERROR"
