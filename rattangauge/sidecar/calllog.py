"""Lines of the log about the calls of callers."""

import time

from rattangauge import decisionlog
from rattangauge.calls import exchange
from rattangauge.calls import placement
from rattangauge.generated import logevents
from rattangauge.generated import messages


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


class CallLog:
    """Writes what was decided about calls."""

    def __init__(self, log: decisionlog.DecisionLog) -> None:
        """Creates a writer on the log of decisions."""
        self._log = log

    def begun(
        self, request_id: str, opened: messages.CallOpen, left_s: float
    ) -> None:
        """Notes that a request was matched with a route."""
        self._log.record(
            logevents.CallBegun(
                request=request_id,
                version=opened.version,
                route=opened.route,
                service=opened.service,
                left_ms=int(left_s * 1000),
                returned=opened.returned,
            )
        )

    def placed(
        self,
        request_id: str,
        chosen: placement.Candidate,
        candidates: int,
        load_age_s: float,
    ) -> None:
        """Notes which instance a call goes to, and why."""
        self._log.record(
            logevents.CallPlaced(
                request=request_id,
                peer=chosen.address,
                candidates=candidates,
                busy=chosen.busy,
                slots=chosen.slots,
                hold_ms=_ms(chosen.hold_s),
                load_age_ms=int(load_age_s * 1000),
            )
        )

    def attempt_failed(
        self,
        request_id: str,
        address: str,
        failure: exchange.CallFailed,
        began: float,
    ) -> None:
        """Notes that an attempt failed; ``began`` is its start."""
        self._log.record(
            logevents.AttemptFailed(
                request=request_id,
                peer=address,
                code=failure.code,
                outcome=failure.outcome.name.lower(),
                reason=failure.message,
                elapsed_ms=_ms(time.monotonic() - began),
            )
        )

    def ended(
        self,
        request_id: str,
        opened: messages.CallOpen,
        status: int,
        received_at: float,
        attempts: int,
    ) -> None:
        """Notes that an upstream answered."""
        self._log.record(
            logevents.CallEnded(
                request=request_id,
                version=opened.version,
                route=opened.route,
                status=status,
                elapsed_ms=_ms(time.monotonic() - received_at),
                attempts=attempts,
            )
        )

    def failed(
        self,
        request_id: str,
        opened: messages.CallOpen,
        failure: exchange.CallFailed,
        status: int,
        received_at: float,
        attempts: int = 0,
        retry_after_s: float = 0.0,
    ) -> None:
        """Notes that a request ended without an answer of an upstream."""
        self._log.record(
            logevents.CallFailed(
                request=request_id,
                version=opened.version,
                route=opened.route,
                status=status,
                code=failure.code,
                reason=failure.message,
                elapsed_ms=_ms(time.monotonic() - received_at),
                attempts=attempts,
                retry_after_s=retry_after_s,
            )
        )
