"""Requests, responses and failures of calls, independent of the transport."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.generated import messages

# Header with the call id, the depth in the call chain and the retry allowance.
# It is sent to the upstream, which passes it on with its own calls.
CONTEXT_HEADER = b"rattangauge-context"

# Lowest HTTP status that counts as a failure of the upstream.
MIN_SERVER_ERROR_STATUS = 500

# Header of a response with the retry allowance that is left. An upstream may
# pass it on with its own response.
ALLOWANCE_HEADER = b"rattangauge-allowance"


class Request(NamedTuple):
    """A call to be run.

    Attributes:
        open: Head of the call with the first piece of its body.
        body: The remaining pieces of the body; None if ``open.last`` is set.
        deadline: Time by which the call must be answered, on the clock of
            ``time.monotonic``, in seconds.
    """

    open: messages.CallOpen
    body: AsyncIterator[bytes] | None
    deadline: float


class Response(NamedTuple):
    """The answer to a call.

    Attributes:
        open: Head of the answer with the first piece of its body.
        body: The remaining pieces of the body; None if ``open.last`` is set.
    """

    open: messages.AnswerOpen
    body: AsyncIterator[bytes] | None


# Sends a response to the caller; returns when its whole body has been sent.
Respond = Callable[[Response], Awaitable[None]]

# Runs a call: calls Respond once, or raises CallFailed.
Handler = Callable[[Request, Respond], Awaitable[None]]


class CallFailed(errors.CodedError):
    """A call failed without a whole answer of the upstream.

    Attributes:
        outcome: ``NOT_RUN`` if the call did not run, ``UNKNOWN`` if it may have
            run.
        retry_after_ms: Time after which the call may be repeated, in
            milliseconds; 0 if unknown.
        load: Load of the upstream that refused the call, if it was reported.
        allowance: Retries that are left for the call over all hops.
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
        """Creates the failure of a call; the arguments are its attributes."""
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


async def body_after_head(body: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yields the body of a call whose head has been sent to the upstream.

    Raises:
        CallFailed: The rest of the body could not be read. The outcome is
            unknown, since the upstream may have run the call on a part of it.
    """
    try:
        async for piece in body:
            yield piece
    except CallFailed as error:
        raise unknown(error.message, error.code) from error
