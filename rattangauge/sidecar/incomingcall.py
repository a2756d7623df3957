"""Makes calls from the requests of callers."""

import itertools
from typing import NamedTuple

from rattangauge.calls import elapsed_time
from rattangauge.calls import exchange
from rattangauge.calls import identity
from rattangauge.calls import traffic_split
from rattangauge.config import routes
from rattangauge.config import tenants
from rattangauge.generated import messages
from rattangauge.generated import objects as generated
from rattangauge.http import messages as http_messages
from rattangauge.membership import peers as peers_module
from rattangauge.sidecar import headernames
from rattangauge.sidecar import localupstream

# Number of the priorities of a route, from 0.
PRIORITY_LEVELS = 10
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
        tenant: Tenant of the request; None if it has none.
    """

    request_id: str
    request: exchange.Request
    target: routes.Target
    received_at: float
    target_at: float
    tenant: generated.Tenant | None = None


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

    def is_inner(
        self, request: http_messages.Request, has_tenants: bool
    ) -> bool:
        """Tells whether the local upstream makes a request for another one.

        Upstreams get no keys, so a request with one comes from a caller, who
        may choose any id.

        Args:
            request: Request of a caller or of the local upstream.
            has_tenants: Whether callers need keys.
        """
        if has_tenants and request.header(self._header_names.authorization):
            return False
        return self._local_upstream.is_running(self._parent_id(request))

    def may_be_inner(self, request: http_messages.Request) -> bool:
        """Tells whether the id of a request is that of an upstream's call."""
        return bool(self._parent_id(request))

    def identify(
        self,
        request: http_messages.Request,
        table: tenants.TenantTable,
        is_exempt: bool,
    ) -> identity.Identity:
        """Returns the tenant of a request, and whether it may run.

        Args:
            request: Request of a caller or of the local upstream.
            table: Tenants of the configuration in force.
            is_exempt: Whether the route needs no key.
        """
        if self.is_inner(request, bool(table.by_name)):
            parent_id = self._parent_id(request)
            name = self._local_upstream.running_tenant(parent_id)
            return identity.identify_inner(table, name)
        authorization = request.header(self._header_names.authorization)
        return identity.identify(table, authorization, is_exempt)

    def _parent_id(self, request: http_messages.Request) -> bytes:
        request_id = request.header(self._header_names.request_id)
        return self._header_names.parent_id(request_id)

    def make(
        self,
        request: http_messages.Request,
        target: routes.Target,
        version: int,
        tenant: generated.Tenant | None = None,
        hides_keys: bool = False,
    ) -> IncomingCall | None:
        """Makes a call from a request and its route.

        Args:
            request: Request of a caller.
            target: Route and policy that match it.
            version: Version of the configuration that has the route.
            tenant: Tenant of the request; None if it has none.
            hides_keys: Whether the upstream gets the name of the tenant in
                place of the key.

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
        inner = self.is_inner(request, hides_keys)
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
            headers=self._headers(request, tenant, hides_keys),
            priority=_priority(target, tenant),
            idempotent=target.route.idempotent == "yes",
            version=version,
            body=request.body,
            last=True,
            route=name,
            returned=request.is_first
            and self._elapsed_time.has_returned(name, elapsed_ms),
            inner=inner,
            tenant=tenant.name if tenant else "",
        )
        deadline = request.received_at + timeout_ms / 1000
        return IncomingCall(
            request_id.decode("latin-1"),
            exchange.Request(call_open, None, deadline),
            target,
            request.received_at,
            target_at,
            tenant,
        )

    def _headers(
        self,
        request: http_messages.Request,
        tenant: generated.Tenant | None,
        hides_keys: bool,
    ) -> tuple[messages.Header, ...]:
        """Returns the headers that are passed on to the upstream."""
        names = self._header_names
        replaced = (
            names.caller_service,
            names.deadline_ms,
            names.expected_instance,
            b"content-length",
            b"expect",
        )
        if hides_keys:
            replaced = (
                *replaced,
                names.authorization,
                names.tenant,
                b"proxy-authorization",
            )
        # Some HTTP servers take "_" in names for "-", as CGI does.
        headers = [
            messages.Header(name, value)
            for name, value in http_messages.end_to_end(request.headers)
            if name.replace(b"_", b"-") not in replaced
        ]
        service = self._own.member.service.encode()
        headers.append(messages.Header(names.caller_service, service))
        if tenant is not None:
            headers.append(messages.Header(names.tenant, tenant.name.encode()))
        return tuple(headers)


def _priority(target: routes.Target, tenant: generated.Tenant | None) -> int:
    """Returns the priority of a call; that of its tenant goes first.

    Calls of tenants of the same priority are ordered by their routes.
    """
    priority = target.policy.priority
    if tenant is not None and tenant.priority >= 0:
        priority += PRIORITY_LEVELS * tenant.priority
    return priority
