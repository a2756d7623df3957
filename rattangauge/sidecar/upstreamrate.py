"""Follows the limit on the rate of calls that an upstream names.

The upstream names it in the headers of its answers, for as long as it needs
fewer calls.
"""

import math
import re

import loguru

# A decimal number of a size that a rate can have.
_RATE = re.compile(rb"\d{1,9}(\.\d{1,9})?")
# Bytes of a malformed value that are logged.
_LOGGED_BYTES = 40


class NamedRate:
    """Newest rate that one process of an upstream has named."""

    def __init__(self, upstream: str) -> None:
        """Creates the state of an upstream that has named no rate.

        Args:
            upstream: Identity of the upstream, for the log.
        """
        self._upstream = upstream
        self._rate_per_s: float | None = None
        self._named_at = -math.inf
        self._has_logged = False

    @property
    def rate_per_s(self) -> float | None:
        """Calls a second that the upstream takes; None if it names none."""
        return self._rate_per_s

    def update(self, value: bytes, sent_at: float, now: float) -> bool:
        """Takes over what an answer says.

        An answer without a rate ends the limit only if its request was sent
        after the last answer with one: others may have been written before.

        Args:
            value: Value of the header; empty if the answer has none.
            sent_at: Time at which the request was sent, in seconds.
            now: Time.

        Returns:
            Whether the rate has changed.
        """
        before = self._rate_per_s
        if not value:
            if sent_at > self._named_at:
                self._rate_per_s = None
        elif _RATE.fullmatch(value):
            self._rate_per_s = float(value)
            self._named_at = now
        elif not self._has_logged:
            self._has_logged = True
            loguru.logger.warning(
                "upstream {} names the rate {!r}, which is no decimal number; "
                "it is ignored",
                self._upstream,
                value[:_LOGGED_BYTES],
            )
        return self._rate_per_s != before
