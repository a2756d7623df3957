"""Structured log of decisions on standard output.

Writes never block and the memory is bounded. Events of ordinary outcomes and
all others have separate rate limits, so that many ordinary outcomes do not
displace failures. If the reader is slow or the output fails, lines that exceed
the buffer are dropped and counted by event.
"""

import collections
from collections.abc import Callable
import datetime
import json
import time
from typing import Any

import anyio

from rattangauge import metrics
from rattangauge import outputs
from rattangauge.generated import logevents

# Rate limits, in lines a second: events of ordinary outcomes, and all others.
SAMPLED_LINES_PER_S = 40.0
OTHER_LINES_PER_S = 100.0
# Lines that may come at once, as seconds of their rate limit.
BURST_S = 2.0
# Size of the buffer for a slow reader.
MAX_PENDING_BYTES = 262_144
FLUSH_PERIOD_S = 0.25
STDOUT = 1


class _TokenBucket:
    """Token bucket that limits the rate of lines."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s * BURST_S
        self._updated_s = 0.0

    def take(self, now: float) -> bool:
        """Takes a token; returns whether there was one.

        Args:
            now: Time on the clock of the log, in seconds.
        """
        added = max(0.0, now - self._updated_s) * self._rate_per_s
        self._updated_s = now
        self._tokens = min(self._rate_per_s * BURST_S, self._tokens + added)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class DecisionLog:
    """Buffer of lines to write, with counts of dropped lines by event."""

    def __init__(
        self,
        instance: str,
        zone: str,
        write: outputs.Write,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates an empty log.

        Args:
            instance: Name of the instance; each line has it.
            zone: Its availability zone; each line has it.
            write: Writes without blocking.
            clock: Returns the time in seconds.
        """
        self._origin = {"instance": instance, "zone": zone}
        self._write = write
        self._clock = clock
        self._sampled_bucket = _TokenBucket(SAMPLED_LINES_PER_S)
        self._other_bucket = _TokenBucket(OTHER_LINES_PER_S)
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped: collections.Counter[str] = collections.Counter()
        # Failed writes since the last one that succeeded, and the last reason.
        self._failed_writes = 0
        self._failure = ""

    @property
    def pending_bytes(self) -> int:
        """Bytes that wait to be written."""
        return self._pending_bytes

    def record(self, event: logevents.Event) -> None:
        """Appends an event, or counts it as dropped above the rate limit."""
        name, level = logevents.EVENTS[type(event)]
        is_sampled = level == logevents.SAMPLED
        bucket = self._sampled_bucket if is_sampled else self._other_bucket
        if not bucket.take(self._clock()):
            self._dropped[name] += 1
            return
        line_level = "INFO" if is_sampled else level
        self._append(name, line_level, event._asdict())

    def message(self, level: str, text: str) -> None:
        """Appends a text of no defined event, at a log level."""
        if self._other_bucket.take(self._clock()):
            self._append("message", level, {"text": text})
        else:
            self._dropped["message"] += 1

    def _append(self, name: str, level: str, fields: dict[str, Any]) -> None:
        now = datetime.datetime.now(datetime.UTC)
        head = {"time": now.isoformat(), "level": level, "event": name}
        line = json.dumps({**head, **self._origin, **fields}).encode() + b"\n"
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self._dropped[name] += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)

    def flush(self) -> None:
        """Writes as much as the reader accepts without blocking.

        An output that fails ends nothing: its lines wait like those of a slow
        reader, and the reason is written as soon as it takes lines again.
        """
        if self._dropped:
            counts = " ".join(f"{k}={v}" for k, v in self._dropped.items())
            dropped = logevents.LinesDropped(counts)
            before, self._dropped = self._dropped, collections.Counter()
            self._append("lines_dropped", "WARNING", dropped._asdict())
            if self._dropped:  # the buffer is full: keep the counts
                self._dropped = before
        data = b"".join(self._pending)
        if not data:
            return
        try:
            written = self._write(data)
        except BlockingIOError:
            return
        except OSError as error:
            self._failed_writes += 1
            self._failure = str(error)
            metrics.LOG_WRITE_FAILURES.inc()
            return
        self._pending.clear()
        rest = data[written:]
        if rest:
            self._pending.append(rest)
        self._pending_bytes = len(rest)
        self._record_recovery()

    def _record_recovery(self) -> None:
        """Appends why lines could not be written, if they can be again."""
        if not self._failed_writes:
            return
        attempts, self._failed_writes = self._failed_writes, 0
        self.record(logevents.LogWriteFailed(self._failure, attempts))

    async def run(self) -> None:
        """Flushes every ``FLUSH_PERIOD_S`` seconds until cancelled."""
        while True:
            await anyio.sleep(FLUSH_PERIOD_S)
            self.flush()


def open_stdout(instance: str, zone: str) -> DecisionLog:
    """Opens the log on standard output.

    Raises:
        OSError: Standard output is closed.
    """
    write = outputs.nonblocking_writer(STDOUT)
    return DecisionLog(instance, zone, write)
