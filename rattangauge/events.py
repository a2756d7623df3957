"""Remembers what the daemon decided and why, for ``rattangauge explain``."""

import collections
from typing import Any
from typing import NamedTuple

from rattangauge import log
from rattangauge import util

MAX_EVENTS = 2_000


class Event(NamedTuple):
    """One decision.

    Attributes:
        time_ms: When, in milliseconds since 1970.
        subject: What it was about: ``version 7``, ``instance a`` or
            ``upstream a``.
        action: What the daemon did.
        reason: Why.
        code: Error code, or empty.
    """

    time_ms: int
    subject: str
    action: str
    reason: str
    code: str


class Events:
    """The last decisions of one daemon."""

    def __init__(self) -> None:
        """Creates an empty record."""
        self._events: collections.deque[Event] = collections.deque(
            maxlen=MAX_EVENTS
        )

    def record(
        self, subject: str, action: str, reason: str, code: str = ""
    ) -> None:
        """Records a decision and logs it."""
        event = Event(util.now_ms(), subject, action, reason, code)
        self._events.append(event)
        log.logger.bind(subject=subject, code=code).info(
            "{}: {}", action, reason
        )

    def about(self, subject: str) -> list[Event]:
        """Returns the events of a subject, or all if it is empty."""
        return [
            event
            for event in self._events
            if not subject or event.subject == subject
        ]

    def tables(self, subject: str) -> list[dict[str, Any]]:
        """Returns the events of a subject as plain tables."""
        return [event._asdict() for event in self.about(subject)]
