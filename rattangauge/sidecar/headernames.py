"""Names of the HTTP headers that callers, upstreams and daemons exchange."""

from collections.abc import Callable
from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names of a platform, in lower case; its adapter provides them.

    Attributes:
        request_id: Identity of a request; its response has the same identity.
        deadline_ms: Time that the caller waits for the response, in
            milliseconds.
        expected_instance: Identity of the upstream that must run the request.
        caller_service: Service of the instance that sent the request.
        not_run: Present in a response if the upstream did not run the request.
        execution_proof: Present in a response if the upstream ran the request.
        instance: Identity of the upstream that answers a health check.
        named_rate: Calls a second that an upstream in need takes from all
            daemons together, as a decimal number; in each of its responses.
        authorization: Key of a tenant, after the word Bearer.
        tenant: Name of the tenant whose key a request has; the daemon sets it.
        is_leaving: Present with the value 1 in each response of an upstream
            that is about to end and must get no new requests.
        parent_id: Function, not a header. While an upstream runs a request, it
            sends calls of its own. The function takes the identity of such a
            call and returns that of the request; empty if there is none.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    caller_service: bytes
    not_run: bytes
    execution_proof: bytes
    instance: bytes
    named_rate: bytes
    authorization: bytes
    tenant: bytes
    is_leaving: bytes
    parent_id: Callable[[bytes], bytes]
