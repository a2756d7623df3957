"""Makes calls from the requests of callers."""

import itertools
from typing import NamedTuple

from rattangauge.calls import elapsed_time
from rattangauge.calls import exchange
from rattangauge.calls import traffic_split
from rattangauge.config import routes
from rattangauge.generated import messages
from rattangauge.http import messages as http_messages
from rattangauge.membership import peers as peers_module
from rattangauge.sidecar import headernames
from rattangauge.sidecar import localupstream

# A deadline with more digits is longer than any timeout of a route.
MAX_DEADLINE_DIGITS = 9


class IncomingCall(NamedTuple):
    """A request that was matched with a route.

    Attributes:
        request_id: Identity that the caller gave the request.
        request: The request as it is sent to an instance.
        target: Route and policy that apply to the request.
        received_at: Time at which the request arrived, on the clock of
            ``time.monotonic``, in seconds.
        target_at: Time until which an answer meets the target latency, on the
            same clock.
    """

    request_id: str
    request: exchange.Request
    target: routes.Target
    received_at: float
    target_at: float


class CallMaker:
    """Makes calls; it estimates how long each caller has waited already."""

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        own: peers_module.Peer,
        local_upstream: localupstream.LocalUpstream,
    ) -> None:
        """Creates a maker of calls without estimates.

        Args:
            header_names: Names of the HTTP headers of the platform.
            own: The daemon itself, whose service the upstreams are told.
            local_upstream: Upstream that may make calls of its own.
        """
        self._header_names = header_names
        self._own = own
        self._local_upstream = local_upstream
        self._traffic_split = traffic_split.TrafficSplit()
        self._call_numbers = itertools.count(1)
        self._elapsed_time = elapsed_time.ElapsedTimeEstimator()

    def make(
        self,
        request: http_messages.Request,
        target: routes.Target,
        version: int,
    ) -> IncomingCall | None:
        """Makes a call from a request and its route.

        Args:
            request: Request of a caller.
            target: Route and policy that match it.
            version: Version of the configuration that has the route.

        Returns:
            The call; None if the deadline header is not a number.
        """
        route_timeout_ms = target.policy.timeout_ms
        text = request.header(self._header_names.deadline_ms)
        if text and not text.isdigit():
            return None
        caller_timeout_ms = route_timeout_ms
        if text and len(text.lstrip(b"0")) <= MAX_DEADLINE_DIGITS:
            caller_timeout_ms = int(text)
        name = target.route.name
        request_id = request.header(self._header_names.request_id)
        # Whether the local upstream makes this call while it runs a request.
        inner = self._local_upstream.is_running(
            self._header_names.parent_id(request_id)
        )
        # The target latency counts from the caller's first attempt. A caller
        # that tries again sets a shorter deadline, which shows the time used.
        elapsed_ms = 0
        if not inner:
            elapsed_ms = self._elapsed_time.elapsed_ms(name, caller_timeout_ms)
        timeout_ms = min(caller_timeout_ms, route_timeout_ms)
        target_ms = target.policy.target_latency_ms - elapsed_ms
        target_at = request.received_at + target_ms / 1000
        service = target.service.name
        if target.shares:
            service = self._traffic_split.choose(name, target.shares)
        call_open = messages.CallOpen(
            call_id=f"{next(self._call_numbers)}",
            service=service,
            method=request.method,
            target=request.target,
            headers=self._headers(request),
            priority=target.policy.priority,
            idempotent=target.route.idempotent == "yes",
            version=version,
            body=request.body,
            last=True,
            route=name,
            returned=request.is_first
            and self._elapsed_time.has_returned(name, elapsed_ms),
            inner=inner,
        )
        deadline = request.received_at + timeout_ms / 1000
        return IncomingCall(
            request_id.decode("latin-1"),
            exchange.Request(call_open, None, deadline),
            target,
            request.received_at,
            target_at,
        )

    def _headers(
        self, request: http_messages.Request
    ) -> tuple[messages.Header, ...]:
        """Returns the headers that are passed on to the upstream."""
        replaced = (
            self._header_names.caller_service,
            self._header_names.deadline_ms,
            self._header_names.expected_instance,
            b"content-length",
            b"expect",
        )
        headers = [
            messages.Header(name, value)
            for name, value in http_messages.end_to_end(request.headers)
            if name not in replaced
        ]
        service = self._own.member.service.encode()
        headers.append(
            messages.Header(self._header_names.caller_service, service)
        )
        return tuple(headers)
