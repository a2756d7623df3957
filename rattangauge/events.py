"""Keeps the last decisions of the daemon for ``rattangauge explain``."""

import collections
from typing import Any
from typing import NamedTuple

from rattangauge import log
from rattangauge import util

# The oldest event is dropped at this number.
MAX_EVENTS = 2_000


class Event(NamedTuple):
    """One decision.

    Attributes:
        time_ms: Time of the decision, in milliseconds since 1970.
        subject: Object of the decision: ``version 7``, ``instance a`` or
            ``upstream a``.
        action: What the daemon did.
        reason: Why the daemon did it.
        code: Error code, or empty.
    """

    time_ms: int
    subject: str
    action: str
    reason: str
    code: str


class Events:
    """The last ``MAX_EVENTS`` decisions of one daemon."""

    def __init__(self) -> None:
        """Creates an empty list of events."""
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

    def with_subject(self, subject: str) -> list[Event]:
        """Returns the events of a subject, or all if it is empty."""
        return [
            event
            for event in self._events
            if not subject or event.subject == subject
        ]

    def to_dicts(self, subject: str) -> list[dict[str, Any]]:
        """Returns the events of a subject as dictionaries, or all if empty."""
        return [event._asdict() for event in self.with_subject(subject)]
