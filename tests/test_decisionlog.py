"""Tests of the decision log."""

import json
import os

from rattangauge import decisionlog
from rattangauge.generated import logevents

ENDED = logevents.CallEnded("q1", 3, "r", 200, 1.0, 1)
FAILED = logevents.CallFailed("q2", 3, "r", 503, "c", "why", 1.0, 1, 0.1)


class Pipe:
    """A non-blocking pipe with limited room."""

    def __init__(self, room):
        """Creates a pipe with room for a number of bytes."""
        self.room = room
        self.data = b""

    def write(self, data):
        """Accepts what fits; raises BlockingIOError if the pipe is full."""
        if not self.room:
            raise BlockingIOError
        taken = data[: self.room]
        self.room -= len(taken)
        self.data += taken
        return len(taken)

    def lines(self):
        """Returns all lines that were written."""
        return [json.loads(line) for line in self.data.splitlines()]


def test_a_line_names_the_event_and_the_instance():
    """Guards against a line that cannot be assigned to an instance."""
    pipe = Pipe(10_000)
    log = decisionlog.DecisionLog("a", "zone-1", pipe.write)
    log.record(ENDED)
    log.flush()
    (line,) = pipe.lines()
    assert line["event"] == "call_ended"
    assert (line["instance"], line["zone"]) == ("a", "zone-1")
    assert line["request"] == "q1"


def test_ordinary_outcomes_leave_room_for_failures():
    """Guards against a failure that is lost among ordinary lines."""
    pipe = Pipe(10_000_000)
    log = decisionlog.DecisionLog("a", "z", pipe.write, lambda: 5.0)
    for _ in range(1000):
        log.record(ENDED)
    log.record(FAILED)
    log.flush()
    lines = pipe.lines()
    bound = decisionlog.SAMPLED_LINES_PER_S * decisionlog.BURST_S
    assert sum(ln["event"] == "call_ended" for ln in lines) <= bound
    assert sum(ln["event"] == "call_failed" for ln in lines) == 1
    (dropped,) = [ln for ln in lines if ln["event"] == "lines_dropped"]
    assert dropped["dropped"] == f"call_ended={1000 - int(bound)}"


def test_the_rate_limit_recovers_with_time():
    """Guards against a log that stays silent after a burst."""
    now = [5.0]
    pipe = Pipe(10_000_000)
    log = decisionlog.DecisionLog("a", "z", pipe.write, lambda: now[0])
    for _ in range(1000):
        log.record(ENDED)
    log.flush()
    now[0] += 1.0
    log.record(ENDED)
    log.flush()
    assert pipe.lines()[-1]["event"] == "call_ended"


def test_a_stopped_reader_loses_lines_without_blocking():
    """Guards against requests that wait for a full pipe."""
    now = [0.0]
    pipe = Pipe(0)
    log = decisionlog.DecisionLog("a", "z", pipe.write, lambda: now[0])
    for _ in range(5000):
        now[0] += 0.01
        log.record(FAILED)
        log.flush()
    assert log.pending_bytes <= decisionlog.MAX_PENDING_BYTES
    pipe.room = 10_000_000
    log.flush()
    log.flush()
    lines = pipe.lines()
    written = sum(ln["event"] == "call_failed" for ln in lines)
    dropped = [ln["dropped"] for ln in lines if ln["event"] == "lines_dropped"]
    counted = sum(int(text.rpartition("=")[2]) for text in dropped)
    assert written + counted == 5000


def test_a_partial_write_continues_where_it_ended():
    """Guards against lines that are cut when the pipe is nearly full."""
    pipe = Pipe(37)
    log = decisionlog.DecisionLog("a", "z", pipe.write)
    log.record(ENDED)
    log.flush()
    pipe.room = 10_000
    log.flush()
    assert pipe.lines()[0]["event"] == "call_ended"


def test_a_failed_output_is_named_when_it_takes_lines_again():
    """Guards against an end, or silence, because an output has failed."""
    pipe = Pipe(10_000)
    failing = [True]

    def write(data):
        if failing:
            raise OSError(28, "No space left on device")
        return pipe.write(data)

    log = decisionlog.DecisionLog("a", "z", write)
    log.record(FAILED)
    for _ in range(3):
        log.flush()
    failing.clear()
    log.flush()
    log.flush()
    first, second = pipe.lines()
    assert first["event"] == "call_failed"
    assert second["event"] == "log_write_failed"
    assert "No space left" in second["reason"]
    assert second["attempts"] == 3


def test_a_real_pipe_that_nobody_reads_does_not_block():
    """Guards against a daemon that blocks on a full pipe."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    now = [0.0]
    log = decisionlog.DecisionLog(
        "a", "z", lambda data: os.write(writer, data), lambda: now[0]
    )
    for _ in range(3000):
        now[0] += 0.1
        log.record(FAILED)
        log.flush()
    os.close(reader)
    os.close(writer)
    assert log.pending_bytes <= decisionlog.MAX_PENDING_BYTES
