"""Records calls in the log of decisions and in the metrics."""

import time

from rattangauge import decisionlog
from rattangauge import metrics
from rattangauge.calls import exchange
from rattangauge.calls import placement
from rattangauge.generated import logevents
from rattangauge.generated import messages


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


class CallLog:
    """Records the start, the attempts and the end of each call."""

    def __init__(self, log: decisionlog.DecisionLog) -> None:
        """Creates a recorder that writes to the log of decisions."""
        self._log = log

    def record_start(
        self, request_id: str, call_open: messages.CallOpen, remaining_s: float
    ) -> None:
        """Records that a request was matched with a route."""
        self._log.record(
            logevents.CallBegun(
                request=request_id,
                version=call_open.version,
                route=call_open.route,
                service=call_open.service,
                left_ms=int(remaining_s * 1000),
                returned=call_open.returned,
            )
        )

    def record_placement(
        self,
        request_id: str,
        chosen: placement.Candidate,
        candidates: int,
        load_age_s: float,
    ) -> None:
        """Records which instance a call is sent to, and its load.

        Args:
            request_id: Identity of the request.
            chosen: The instance, with its load and expected hold time.
            candidates: Number of instances to choose from.
            load_age_s: Age of the load report of the instance, in seconds.
        """
        self._log.record(
            logevents.CallPlaced(
                request=request_id,
                peer=chosen.address,
                candidates=candidates,
                busy=chosen.outstanding,
                slots=chosen.slots,
                hold_ms=_to_ms(chosen.hold_s),
                load_age_ms=int(load_age_s * 1000),
            )
        )

    def record_failed_attempt(
        self,
        request_id: str,
        address: str,
        failure: exchange.CallFailed,
        started_at: float,
    ) -> None:
        """Records that an attempt failed.

        Args:
            request_id: Identity of the request.
            address: Mesh address of the instance.
            failure: Failure of the attempt.
            started_at: Start of the attempt on the clock of
                ``time.monotonic``, in seconds.
        """
        self._log.record(
            logevents.AttemptFailed(
                request=request_id,
                peer=address,
                code=failure.code,
                outcome=failure.outcome.name.lower(),
                reason=failure.message,
                elapsed_ms=_to_ms(time.monotonic() - started_at),
            )
        )

    def record_end(
        self,
        request_id: str,
        call_open: messages.CallOpen,
        status: int,
        received_at: float,
        attempts: int,
    ) -> None:
        """Records that a call ended with the answer of an upstream.

        ``received_at`` is the arrival of the request on the clock of
        ``time.monotonic``, in seconds.
        """
        elapsed_s = time.monotonic() - received_at
        metrics.observe_outcome(call_open, metrics.ANSWERED, elapsed_s)
        self._log.record(
            logevents.CallEnded(
                request=request_id,
                version=call_open.version,
                route=call_open.route,
                status=status,
                elapsed_ms=_to_ms(elapsed_s),
                attempts=attempts,
            )
        )

    def record_failure(
        self,
        request_id: str,
        call_open: messages.CallOpen,
        failure: exchange.CallFailed,
        status: int,
        received_at: float,
        attempts: int = 0,
        retry_after_s: float = 0.0,
    ) -> None:
        """Records that a request ended without an answer of an upstream.

        ``received_at`` is the arrival of the request on the clock of
        ``time.monotonic``, in seconds; ``retry_after_s`` is 0 if the response
        has no Retry-After header.
        """
        elapsed_s = time.monotonic() - received_at
        metrics.observe_outcome(call_open, failure.code, elapsed_s)
        self._log.record(
            logevents.CallFailed(
                request=request_id,
                version=call_open.version,
                route=call_open.route,
                status=status,
                code=failure.code,
                reason=failure.message,
                elapsed_ms=_to_ms(elapsed_s),
                attempts=attempts,
                retry_after_s=retry_after_s,
            )
        )
