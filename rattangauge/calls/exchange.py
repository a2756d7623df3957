"""Requests, responses and failures of calls, as all parts pass them on."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.generated import messages

# Call id, depth and retry allowance; an upstream passes it on.
CONTEXT_HEADER = b"rattangauge-context"

# Retry allowance that is left after a call; an upstream may pass it on.
ALLOWANCE_HEADER = b"rattangauge-allowance"


class Request(NamedTuple):
    """A call and the rest of its body.

    Attributes:
        open: Head of the call with the first piece of its body.
        body: The remaining pieces; None if ``open.last`` is set.
        deadline: Time by which the call must be answered, on the clock of
            ``time.monotonic``, in seconds.
    """

    open: messages.CallOpen
    body: AsyncIterator[bytes] | None
    deadline: float


class Response(NamedTuple):
    """An answer and the rest of its body; None if ``open.last`` is set."""

    open: messages.AnswerOpen
    body: AsyncIterator[bytes] | None


# Passes a response on; it returns when the whole body has been passed on.
Respond = Callable[[Response], Awaitable[None]]

# Runs a call: calls Respond once, or raises CallFailed.
Handler = Callable[[Request, Respond], Awaitable[None]]


class CallFailed(errors.CodedError):
    """A call without an answer of the upstream.

    Attributes:
        outcome: Whether the call ran: ``NOT_RUN`` or ``UNKNOWN``.
        retry_after_ms: Time after which a repeat makes sense; 0 if unknown.
        load: Load of the upstream that refused, if it told.
        allowance: Retries that are left over all hops.
    """

    def __init__(
        self,
        code: str,
        message: str,
        outcome: messages.Outcome,
        retry_after_ms: int = 0,
        load: messages.Load | None = None,
        allowance: int = 0,
    ) -> None:
        """Creates the failure."""
        super().__init__(code, message)
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms
        self.load = load
        self.allowance = allowance


def not_run(code: str, message: str, retry_after_ms: int = 0) -> CallFailed:
    """Returns the failure of a call that did not run."""
    return CallFailed(code, message, messages.Outcome.NOT_RUN, retry_after_ms)


def unknown(message: str, code: str = "") -> CallFailed:
    """Returns the failure of a call that may have run."""
    return CallFailed(
        code or errorcodes.CALL_OUTCOME_UNKNOWN,
        message,
        messages.Outcome.UNKNOWN,
    )


async def sent_body(body: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yields the body of a call whose head has been sent.

    Raises:
        CallFailed: The body is cut off; the call may have run.
    """
    try:
        async for piece in body:
            yield piece
    except CallFailed as error:
        raise unknown(error.message, error.code) from error
