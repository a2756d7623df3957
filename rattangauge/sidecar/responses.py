"""Responses to the requests of callers."""

from rattangauge.generated import messages
from rattangauge.http import messages as http_messages


def from_answer(answer: messages.AnswerOpen) -> http_messages.Response:
    """Returns the response with the answer of an upstream."""
    headers = tuple((header.name, header.value) for header in answer.headers)
    return http_messages.Response(answer.status, headers, answer.body)


def error(
    status: int, text: str, retry_after_s: float = 0.0
) -> http_messages.Response:
    """Returns the response of the daemon itself to a failed request.

    Args:
        status: HTTP status.
        text: Cause of the failure, sent as the body.
        retry_after_s: Time after which the caller should retry, in seconds; 0
            if none is sent.
    """
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if retry_after_s:
        headers.append((b"retry-after", b"%g" % retry_after_s))
    return http_messages.Response(
        status, tuple(headers), (text + "\n").encode()
    )
