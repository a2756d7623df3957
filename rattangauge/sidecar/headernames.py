"""Names of the headers that callers, upstreams and the daemon exchange."""

from collections.abc import Callable
from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names in lower case, and identities, from a platform's adapter.

    Attributes:
        request_id: Identity of a request, the same in its response.
        deadline_ms: Time that the caller waits, in milliseconds.
        expected_instance: Identity of the upstream that must run the request.
        caller_service: Service on the instance where the request began.
        not_run: Present in a response if the upstream did not run the request.
        seal: Proof of the upstream that it ran the request.
        instance: Identity of the upstream that answers a health check.
        parent_id: Returns the identity of the request for which an upstream
            makes a call, from that of the call; empty if there is none.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    caller_service: bytes
    not_run: bytes
    seal: bytes
    instance: bytes
    parent_id: Callable[[bytes], bytes]
