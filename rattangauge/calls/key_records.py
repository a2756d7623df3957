"""Records of the idempotency keys whose calls ran at this daemon.

A key is recorded before its request is sent to the upstream. Records are
evicted in the order in which the keys were issued. Each eviction raises a
watermark to the issue time of the evicted key. Keys without a record that were
issued at or before the watermark are refused: their calls may have run before
the record was evicted. The watermark is compared only with issue times, so the
clocks of the daemons need not agree.
"""

import collections
import enum
import heapq
from typing import Any
from typing import NamedTuple

from rattangauge.calls import keys

# Largest size of one stored answer, and of all stored answers together.
MAX_ANSWER_BYTES = 16_384
MAX_ANSWERS_BYTES = 33_554_432


class Verdict(enum.Enum):
    """What to do with a call that carries an idempotency key."""

    RUN = "run it"
    RUNNING = "the first call with the key still runs"
    REPLAY = "answer with the stored outcome"
    DONE = "the outcome is known, the answer is not kept"
    REUSED = "the key was used with a different request"
    EXPIRED = "the key may have been evicted"


class Record(NamedTuple):
    """State of a key whose call runs or has run.

    Attributes:
        issued_ms: Issue time of the key, in milliseconds since 1970.
        fingerprint: Digest of the first request with the key.
        finished: Whether the call has ended.
    """

    issued_ms: int
    fingerprint: str
    finished: bool = False


class Outcomes:
    """Records of the keys whose calls one daemon ran, with small answers."""

    def __init__(
        self, limit: int, max_answers_bytes: int = MAX_ANSWERS_BYTES
    ) -> None:
        """Creates a store without records.

        Args:
            limit: Largest number of records.
            max_answers_bytes: Largest size of all stored answers, in bytes.
        """
        self._limit = limit
        self._max_answers_bytes = max_answers_bytes
        self._records: dict[str, Record] = {}
        self._issue_heap: list[tuple[int, str]] = []
        self._answers: collections.OrderedDict[str, tuple[Any, int]] = (
            collections.OrderedDict()
        )
        self._answers_bytes = 0
        self._watermark_ms = -1

    def __len__(self) -> int:
        """Number of records."""
        return len(self._records)

    @property
    def watermark_ms(self) -> int:
        """Issue time in ms at or before which unrecorded keys are refused."""
        return self._watermark_ms

    @property
    def answers_bytes(self) -> int:
        """Size of all stored answers, in bytes."""
        return self._answers_bytes

    def begin(self, key: keys.IssuedKey, fingerprint: str) -> Verdict:
        """Decides what to do with a call; records its key if it is to run.

        Args:
            key: Key of the call.
            fingerprint: Digest of the request.
        """
        text = keys.format_key(key)
        record = self._records.get(text)
        if record is not None:
            return self._check_repeat(text, record, fingerprint)
        if key.issued_ms <= self._watermark_ms:
            return Verdict.EXPIRED
        if not self._make_room(key.issued_ms):
            return Verdict.EXPIRED
        self._records[text] = Record(key.issued_ms, fingerprint)
        heapq.heappush(self._issue_heap, (key.issued_ms, text))
        return Verdict.RUN

    def _check_repeat(
        self, text: str, record: Record, fingerprint: str
    ) -> Verdict:
        """Decides what to do with a call whose key is recorded."""
        if record.fingerprint != fingerprint:
            return Verdict.REUSED
        if not record.finished:
            return Verdict.RUNNING
        return Verdict.REPLAY if text in self._answers else Verdict.DONE

    def finish(self, key: keys.IssuedKey, answer: Any, size: int) -> None:
        """Records the end of a call that ran or may have run.

        Args:
            key: Key of the call.
            answer: Answer to store for repeats of the call; None for none. It
                is not stored if it is larger than ``MAX_ANSWER_BYTES``. If
                all stored answers become too large, the oldest are removed.
            size: Size of the answer, in bytes.
        """
        text = keys.format_key(key)
        record = self._records.get(text)
        if record is None:
            return
        self._records[text] = record._replace(finished=True)
        if answer is None or size > MAX_ANSWER_BYTES:
            return
        self._answers[text] = (answer, size)
        self._answers_bytes += size
        while self._answers_bytes > self._max_answers_bytes:
            self._drop_answer(next(iter(self._answers)))

    def forget(self, key: keys.IssuedKey) -> None:
        """Removes the record of a call that did not run."""
        # The heap keeps the entry of the key until it is the first one, or
        # until the heap is rebuilt because too many such entries are left.
        self._records.pop(keys.format_key(key), None)
        if len(self._issue_heap) > 2 * self._limit:
            self._issue_heap = [
                (record.issued_ms, text)
                for text, record in self._records.items()
            ]
            heapq.heapify(self._issue_heap)

    def answer(self, key: keys.IssuedKey) -> Any:
        """Returns the stored answer for a key, or None."""
        answer, _ = self._answers.get(keys.format_key(key), (None, 0))
        return answer

    def _make_room(self, issued_ms: int) -> bool:
        """Evicts the record of the key issued first if the limit is reached.

        Returns:
            Whether a key with the given issue time may be recorded. It may not
            if the eviction would raise the watermark to that time or above.
        """
        if len(self._records) < self._limit:
            return True
        while self._issue_heap[0][1] not in self._records:
            heapq.heappop(self._issue_heap)
        if self._issue_heap[0][0] >= issued_ms:
            return False
        evicted_ms, text = heapq.heappop(self._issue_heap)
        self._watermark_ms = max(self._watermark_ms, evicted_ms)
        del self._records[text]
        self._drop_answer(text)
        return True

    def _drop_answer(self, text: str) -> None:
        _, size = self._answers.pop(text, (None, 0))
        self._answers_bytes -= size
