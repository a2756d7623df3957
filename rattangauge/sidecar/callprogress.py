"""State of a call over all its attempts."""

from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages


class CallProgress:
    """State of a call over all its attempts.

    Attributes:
        tried: Mesh addresses of the instances to which the call was sent.
        retries: Attempts after the first one that reached an upstream.
        refusals: Daemons that refused the call and did not pass it to their
            upstream.
        may_have_run: Whether an upstream may have run the call.
        was_refused: Whether the last attempt ended in such a refusal.
        answer: The last answer of an upstream.
        failure: The last failure.
    """

    def __init__(self) -> None:
        """Creates the state of a call before its first attempt."""
        self.tried: set[str] = set()
        self.retries = 0
        self.refusals = 0
        self.may_have_run = False
        self.was_refused = False
        self.answer: messages.AnswerOpen | None = None
        self.failure: exchange.CallFailed | None = None

    def record_answer(self, answer: messages.AnswerOpen) -> None:
        """Records the answer of an upstream."""
        self.answer = answer
        self.was_refused = False
        self.may_have_run = True

    def record_failure(self, failure: exchange.CallFailed) -> None:
        """Records the failure of an attempt."""
        self.failure = failure
        is_not_run = failure.outcome == messages.Outcome.NOT_RUN
        reached_upstream = failure.code == errorcodes.CALL_UPSTREAM_REFUSED
        self.was_refused = is_not_run and not reached_upstream
        self.refusals += self.was_refused
        self.may_have_run |= not is_not_run
