"""Structured log of decisions on standard output, bounded and never blocking.

Ordinary outcomes are sampled when there are many; failures have room of their
own. A reader that is slow costs lines, not time: what does not fit is dropped
and counted by event.
"""

import collections
from collections.abc import Callable
import datetime
import json
import os
import time
from typing import Any

import anyio

from rattangauge.generated import logevents

# Lines a second, for ordinary outcomes and for all others.
SAMPLED_PER_S = 40.0
OTHERS_PER_S = 100.0
# Seconds of the rate that may come at once.
BURST_S = 2.0
# Bytes that wait for a slow reader.
MAX_WAITING_BYTES = 262_144
FLUSH_PERIOD_S = 0.25
STDOUT = 1

# Writes bytes and returns how many it took; raises BlockingIOError if none.
Write = Callable[[bytes], int]


class _Rate:
    """Lines that may still be written."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._left = per_s * BURST_S
        self._at = 0.0

    def take(self, now: float) -> bool:
        """Takes one line; returns whether there was one."""
        gained = max(0.0, now - self._at) * self._per_s
        self._at = now
        self._left = min(self._per_s * BURST_S, self._left + gained)
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def _write_stdout(data: bytes) -> int:
    return os.write(STDOUT, data)


class DecisionLog:
    """Lines that wait to be written, and what was dropped."""

    def __init__(
        self,
        instance: str,
        zone: str,
        write: Write = _write_stdout,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates an empty log.

        Args:
            instance: Name of the instance, in each line.
            zone: Its availability zone, in each line.
            write: Writes without blocking.
            clock: Returns the time in seconds.
        """
        self._place = {"instance": instance, "zone": zone}
        self._write = write
        self._clock = clock
        self._sampled = _Rate(SAMPLED_PER_S)
        self._others = _Rate(OTHERS_PER_S)
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._dropped: collections.Counter[str] = collections.Counter()

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait to be written."""
        return self._waiting_bytes

    def record(self, event: logevents.Event) -> None:
        """Writes an event, unless there are too many."""
        name, level = logevents.EVENTS[type(event)]
        is_sampled = level == logevents.SAMPLED
        rate = self._sampled if is_sampled else self._others
        if not rate.take(self._clock()):
            self._dropped[name] += 1
            return
        shown = "INFO" if is_sampled else level
        self._append(name, shown, event._asdict())

    def message(self, level: str, text: str) -> None:
        """Writes a line without an event of its own."""
        if self._others.take(self._clock()):
            self._append("message", level, {"text": text})
        else:
            self._dropped["message"] += 1

    def _append(self, name: str, level: str, fields: dict[str, Any]) -> None:
        now = datetime.datetime.now(datetime.UTC)
        head = {"time": now.isoformat(), "level": level, "event": name}
        line = json.dumps({**head, **self._place, **fields}).encode() + b"\n"
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self._dropped[name] += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def flush(self) -> None:
        """Writes what the reader takes at once."""
        if self._dropped:
            counts = " ".join(f"{k}={v}" for k, v in self._dropped.items())
            dropped = logevents.LinesDropped(counts)
            before, self._dropped = self._dropped, collections.Counter()
            self._append("lines_dropped", "WARNING", dropped._asdict())
            if self._dropped:  # the reader takes nothing: keep the counts
                self._dropped = before
        data = b"".join(self._waiting)
        if not data:
            return
        try:
            written = self._write(data)
        except BlockingIOError:
            return
        self._waiting.clear()
        rest = data[written:]
        if rest:
            self._waiting.append(rest)
        self._waiting_bytes = len(rest)

    async def run(self) -> None:
        """Writes from time to time until cancelled."""
        while True:
            await anyio.sleep(FLUSH_PERIOD_S)
            self.flush()


def open_stdout(instance: str, zone: str) -> DecisionLog:
    """Opens the log on standard output, which no longer blocks."""
    os.set_blocking(STDOUT, False)
    return DecisionLog(instance, zone)
