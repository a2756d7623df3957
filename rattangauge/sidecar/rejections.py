"""Rejections of requests before any upstream receives them."""

from rattangauge.calls import exchange

# Retry-After for callers while the daemon has no configuration or shuts down.
NOT_READY_RETRY_AFTER_S = 0.5


class RejectedError(Exception):
    """A request is answered by the daemon itself and does not run.

    Attributes:
        status: HTTP status code of the response.
        failure: Why the request is rejected.
        retry_after_s: Time after which the caller may send it again, in
            seconds; 0 if no Retry-After header is sent.
    """

    def __init__(
        self, status: int, code: str, text: str, retry_after_s: float = 0.0
    ) -> None:
        """Creates a rejection.

        Args:
            status: HTTP status code of the response.
            code: Error code.
            text: Reason, for the caller and the log.
            retry_after_s: Time after which the caller may send the request
                again, in seconds.
        """
        super().__init__(text)
        self.status = status
        self.failure = exchange.not_run(code, text)
        self.retry_after_s = retry_after_s
