"""Record of the idempotency keys that ran at this daemon.

A key is recorded before its request goes to the upstream. Records are evicted
in the order of the keys' issue times; each eviction raises a watermark, and
unrecorded keys issued at or before the watermark are refused, because they
may be keys that ran and were evicted. The watermark is made of issue times
only, so the clocks of the daemons need not agree.
"""

import collections
import enum
import heapq
from typing import Any
from typing import NamedTuple

from rattangauge.calls import keys

MAX_ANSWER_BYTES = 16_384
MAX_ANSWERS_BYTES = 33_554_432


class Verdict(enum.Enum):
    """What to do with a call that carries a key."""

    RUN = "run it"
    RUNNING = "the first call with the key still runs"
    REPLAY = "answer with the stored outcome"
    DONE = "the outcome is known, the answer is not kept"
    REUSED = "the key was used with a different request"
    EXPIRED = "the key may have been evicted"


class Record(NamedTuple):
    """One key that ran or runs.

    Attributes:
        issued_ms: Issue time of the key.
        fingerprint: Digest of the request that came with the key first.
        finished: Whether the call has ended.
    """

    issued_ms: int
    fingerprint: str
    finished: bool = False


class Outcomes:
    """Keys of one daemon with their outcomes and small answers."""

    def __init__(
        self, limit: int, max_answers_bytes: int = MAX_ANSWERS_BYTES
    ) -> None:
        """Creates an empty record.

        Args:
            limit: Number of keys that are remembered.
            max_answers_bytes: Bytes of answers that are kept.
        """
        self._limit = limit
        self._max_answers_bytes = max_answers_bytes
        self._records: dict[str, Record] = {}
        self._by_issue: list[tuple[int, str]] = []
        self._answers: collections.OrderedDict[str, tuple[Any, int]] = (
            collections.OrderedDict()
        )
        self._answers_bytes = 0
        self._watermark_ms = -1

    def __len__(self) -> int:
        """Number of keys that are remembered."""
        return len(self._records)

    @property
    def watermark_ms(self) -> int:
        """Issue time at or before which unrecorded keys are refused."""
        return self._watermark_ms

    @property
    def answers_bytes(self) -> int:
        """Bytes of the answers that are kept."""
        return self._answers_bytes

    def begin(self, key: keys.IssuedKey, fingerprint: str) -> Verdict:
        """Decides on a call; records its key if the verdict is ``RUN``."""
        text = keys.format_key(key)
        record = self._records.get(text)
        if record is not None:
            return self._repeat(text, record, fingerprint)
        if key.issued_ms <= self._watermark_ms:
            return Verdict.EXPIRED
        if not self._make_room(key.issued_ms):
            return Verdict.EXPIRED
        self._records[text] = Record(key.issued_ms, fingerprint)
        heapq.heappush(self._by_issue, (key.issued_ms, text))
        return Verdict.RUN

    def _repeat(self, text: str, record: Record, fingerprint: str) -> Verdict:
        if record.fingerprint != fingerprint:
            return Verdict.REUSED
        if not record.finished:
            return Verdict.RUNNING
        return Verdict.REPLAY if text in self._answers else Verdict.DONE

    def finish(self, key: keys.IssuedKey, answer: Any, size: int) -> None:
        """Records the end of a call that ran or may have run.

        Args:
            key: Key of the call.
            answer: What a repeat is answered with; None to keep nothing.
            size: Bytes that the answer counts for.
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
        # The entry in the heap stays until it is skipped or compacted.
        self._records.pop(keys.format_key(key), None)
        if len(self._by_issue) > 2 * self._limit:
            self._by_issue = [
                (record.issued_ms, text)
                for text, record in self._records.items()
            ]
            heapq.heapify(self._by_issue)

    def answer(self, key: keys.IssuedKey) -> Any:
        """Returns the answer that is kept for a key, or None."""
        answer, _ = self._answers.get(keys.format_key(key), (None, 0))
        return answer

    def _make_room(self, issued_ms: int) -> bool:
        """Evicts the key issued first if the record is full.

        Returns:
            Whether a key issued at the given time may be recorded; it may not
            if eviction would raise the watermark to its own issue time.
        """
        if len(self._records) < self._limit:
            return True
        while self._by_issue[0][1] not in self._records:
            heapq.heappop(self._by_issue)
        if self._by_issue[0][0] >= issued_ms:
            return False
        evicted_ms, text = heapq.heappop(self._by_issue)
        self._watermark_ms = max(self._watermark_ms, evicted_ms)
        del self._records[text]
        self._drop_answer(text)
        return True

    def _drop_answer(self, text: str) -> None:
        _, size = self._answers.pop(text, (None, 0))
        self._answers_bytes -= size
