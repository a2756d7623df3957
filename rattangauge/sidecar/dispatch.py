"""Routes the requests of callers to instances that can serve them."""

import random as random_module
import time

from rattangauge import decisionlog
from rattangauge import receivememory
from rattangauge import settings as settings_module
from rattangauge.calls import exchange
from rattangauge.calls import retry
from rattangauge.calls import retry_after
from rattangauge.calls import shutdown as shutdown_module
from rattangauge.config import edition as edition_module
from rattangauge.config import routes
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.generated import objects as generated
from rattangauge.http import messages as http_messages
from rattangauge.http import server as server_module
from rattangauge.membership import peers as peers_module
from rattangauge.membership import zone_loads as zone_loads_module
from rattangauge.net import connection_pool
from rattangauge.net import forward
from rattangauge.sidecar import calllog
from rattangauge.sidecar import callprogress
from rattangauge.sidecar import headernames
from rattangauge.sidecar import incomingcall
from rattangauge.sidecar import localupstream
from rattangauge.sidecar import quotas as quotas_module
from rattangauge.sidecar import rejections
from rattangauge.sidecar import responses
from rattangauge.sidecar import rollouts as rollouts_module
from rattangauge.sidecar import spillover
from rattangauge.sidecar import upstreamchoice

# Number of daemons that may refuse a call before the caller gets a refusal.
MAX_REFUSALS = 2
# Retry budget of this daemon: retries for each call, and the burst on top. As
# each daemon keeps to its budget, retries of all daemons stay a small share of
# all calls.
RETRY_SHARE = 0.1
RETRY_BURST = 4.0
# No retry is made if less time than this is left to the deadline: it would not
# end in time.
MIN_RETRY_S = 0.02


class Dispatcher:
    """Sends each request of a caller to an instance of its service.

    The configuration in force determines the route and the policy of a request;
    the reported load of the instances determines which of them receives it.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        header_names: headernames.HeaderNames,
        links: connection_pool.Links,
        peers: peers_module.PeerTable,
        local_upstream: localupstream.LocalUpstream,
        rollouts: rollouts_module.Rollouts,
        memory: receivememory.ReceiveMemory,
        zone_loads: zone_loads_module.ZoneLoads,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates a dispatcher without a configuration."""
        self._settings = settings
        self._header_names = header_names
        self._links = links
        self._peers = peers
        self._local_upstream = local_upstream
        self._memory = memory
        self._call_log = calllog.CallLog(log)
        self._route_table: routes.RouteTable | None = None
        self._limits = server_module.Limits()
        self._shutdown: shutdown_module.Shutdown | None = None
        self._retry_budget = retry.RetryBudget(RETRY_SHARE, RETRY_BURST)
        self._random = random_module.Random()
        self._quotas = quotas_module.Quotas(links, peers, log)
        self._upstreams = upstreamchoice.UpstreamChoice(
            settings,
            links,
            peers,
            rollouts,
            self._call_log,
            self._random,
            spillover.Spillover(peers, zone_loads, self._random, log),
        )
        self._calls = incomingcall.CallMaker(
            header_names, peers.own, local_upstream
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self._route_table.version if self._route_table else 0

    @property
    def quotas(self) -> quotas_module.Quotas:
        """Quotas of the tenants."""
        return self._quotas

    @property
    def limits(self) -> server_module.Limits:
        """Limits on what callers may send."""
        return self._limits

    def apply(self, edition: edition_module.Edition) -> None:
        """Applies a configuration to all requests that arrive from now on."""
        self._route_table = routes.compile_routes(edition)
        self._quotas.apply(self._route_table.tenants)
        limits = self._route_table.limits
        self._limits = server_module.Limits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_s=limits.header_timeout_ms / 1000,
            idle_s=limits.idle_timeout_ms / 1000,
        )

    def stop(self, shutdown: shutdown_module.Shutdown) -> None:
        """Refuses the requests that cannot end before the daemon does."""
        self._shutdown = shutdown

    async def handle(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Returns the response to a request of a caller.

        The request passes the steps of ``_admit``, each of which may reject it,
        before it is sent to instances.
        """
        call = None
        try:
            call = self._admit(request)
            await self._take_quota(call)
        except rejections.RejectedError as rejection:
            return self._reject(request, rejection, call)
        self._call_log.record_start(
            call.request_id, call.request.open, self._remaining_s(call)
        )
        return await self._run_with_retries(call)

    def _admit(
        self, request: http_messages.Request
    ) -> incomingcall.IncomingCall:
        """Makes a call from a request that may run.

        Raises:
            rejections.RejectedError: The request must not run.
        """
        table = self._routes_in_force()
        target = self._find_target(request, table)
        tenant = self._find_tenant(request, table, target)
        call = self._calls.make(
            request, target, table.version, tenant, bool(table.tenants.by_name)
        )
        if call is None:
            code = errorcodes.CALL_BAD_HEADER
            raise rejections.RejectedError(
                400, code, "the deadline is not a number"
            )
        if not self._may_start(call):
            raise rejections.RejectedError(
                503,
                errorcodes.CALL_NOT_READY,
                "the daemon stops before the deadline",
                rejections.NOT_READY_RETRY_AFTER_S,
            )
        return call

    def _routes_in_force(self) -> routes.RouteTable:
        """Returns the routes of the configuration in force.

        Raises:
            rejections.RejectedError: No configuration is in force.
        """
        if self._route_table is None:
            raise rejections.RejectedError(
                503,
                errorcodes.CALL_NOT_READY,
                "no configuration is in force yet",
                rejections.NOT_READY_RETRY_AFTER_S,
            )
        return self._route_table

    def _find_target(
        self, request: http_messages.Request, table: routes.RouteTable
    ) -> routes.Target:
        """Returns the route of a request with its policy.

        Raises:
            rejections.RejectedError: No route matches.
        """
        path = request.target.partition("?")[0]
        host = request.header(b"host").decode("latin-1").lower()
        host = host.partition(":")[0]
        target = routes.match(table, request.method, path, host)
        if target is None:
            text = f"no route matches {host} {path}"
            raise rejections.RejectedError(404, errorcodes.CALL_NO_ROUTE, text)
        return target

    def _find_tenant(
        self,
        request: http_messages.Request,
        table: routes.RouteTable,
        target: routes.Target,
    ) -> generated.Tenant | None:
        """Returns the tenant of a request; None if it needs none.

        Raises:
            rejections.RejectedError: It has no key of a known tenant.
        """
        found = self._calls.identify(
            request, table.tenants, target.route.exempt
        )
        if found.is_accepted:
            return found.tenant
        has_key = bool(request.header(self._header_names.authorization))
        if not has_key and self._calls.may_be_inner(request):
            # Since its restart, the daemon does not know what the upstream
            # runs.
            raise rejections.RejectedError(
                503,
                errorcodes.CALL_NOT_READY,
                "the request of this call does not run here",
                rejections.NOT_READY_RETRY_AFTER_S,
            )
        text = "the request has no key of a tenant"
        raise rejections.RejectedError(401, errorcodes.CALL_UNKNOWN_KEY, text)

    async def _take_quota(self, call: incomingcall.IncomingCall) -> None:
        """Takes a request from the quota of its tenant.

        Calls of an upstream belong to a request that was counted.

        Raises:
            rejections.RejectedError: The tenant has used up its quota.
        """
        if call.tenant is None or call.request.open.inner:
            return
        hold_s = await self._quotas.take(call.tenant)
        if hold_s > 0.0:
            text = f"the quota of tenant {call.tenant.name} is used up"
            code = errorcodes.CALL_QUOTA
            raise rejections.RejectedError(429, code, text, round(hold_s, 3))

    def _may_start(self, call: incomingcall.IncomingCall) -> bool:
        """Tells whether a call may start in view of a shutdown."""
        if self._shutdown is None:
            return True
        return shutdown_module.may_start(
            self._shutdown, time.monotonic(), call.request.deadline
        )

    def _reject(
        self,
        request: http_messages.Request,
        rejection: rejections.RejectedError,
        call: incomingcall.IncomingCall | None,
    ) -> http_messages.Response:
        """Logs a request that is not sent to any instance.

        Args:
            request: The request.
            rejection: Why it is rejected.
            call: Call that was made from it; None if it was rejected before.

        Returns:
            The response to the caller.
        """
        call_open = messages.CallOpen(version=self.version)
        self._call_log.record_failure(
            request.header(self._header_names.request_id).decode("latin-1"),
            call.request.open if call else call_open,
            rejection.failure,
            rejection.status,
            request.received_at,
            retry_after_s=rejection.retry_after_s,
        )
        return responses.error(
            rejection.status, rejection.failure.message, rejection.retry_after_s
        )

    async def _run_with_retries(
        self, call: incomingcall.IncomingCall
    ) -> http_messages.Response:
        """Sends a call to one instance after another while this is allowed.

        It ends with the first answer that is not a server error.

        Returns:
            The response to the caller.
        """
        slack = self._settings.calls.retry_slack
        daemons = len(self._peers)
        self._retry_budget.set_burst(
            retry.burst_share(slack, daemons, RETRY_BURST)
        )
        self._retry_budget.add_call()
        progress = callprogress.CallProgress()
        while (
            peer := self._upstreams.choose(call, progress.tried)
        ) is not None:
            if self._upstreams.is_refusal_expected(call, peer):
                text = "all instances report too long a wait"
                code = errorcodes.CALL_OVERLOADED
                progress.record_failure(exchange.not_run(code, text))
                break
            progress.tried.add(peer.member.mesh)
            try:
                answer = await self._attempt(call, peer)
            except exchange.CallFailed as failure:
                progress.record_failure(failure)
            else:
                progress.record_answer(answer)
                if answer.status < exchange.MIN_SERVER_ERROR_STATUS:
                    break
            if not self._may_try_another(call, progress):
                break
        if progress.answer is not None:
            self._call_log.record_end(
                call.request_id,
                call.request.open,
                progress.answer.status,
                call.received_at,
                len(progress.tried),
            )
            return responses.from_answer(progress.answer)
        return self._failure_response(call, progress)

    def _may_try_another(
        self,
        call: incomingcall.IncomingCall,
        progress: callprogress.CallProgress,
    ) -> bool:
        """Tells whether a call may be sent to one more instance.

        A call that may have run is only repeated if its route is idempotent. A
        refusal by a daemon takes nothing from the retry budget, since no
        upstream received the call.
        """
        if progress.may_have_run and not call.request.open.idempotent:
            return False
        if progress.was_refused:
            return progress.refusals < MAX_REFUSALS
        return self._take_retry(call, progress)

    def _take_retry(
        self,
        call: incomingcall.IncomingCall,
        progress: callprogress.CallProgress,
    ) -> bool:
        """Takes a retry from the retry budget.

        Returns:
            Whether the policy, the deadline and the budget allow the retry.
        """
        remaining_s = call.request.deadline - time.monotonic()
        max_retries = call.target.policy.retries
        if progress.retries >= max_retries or remaining_s < MIN_RETRY_S:
            return False
        progress.retries += 1
        return self._retry_budget.take()

    async def _attempt(
        self, call: incomingcall.IncomingCall, peer: peers_module.Peer
    ) -> messages.AnswerOpen:
        """Sends a call to an instance and returns its answer.

        Raises:
            exchange.CallFailed: No complete answer was received.
        """
        peer.own_calls += 1
        started_at = time.monotonic()
        try:
            answer = await self._send(call, peer)
        except exchange.CallFailed as failure:
            self._update_peer(peer, failure)
            self._call_log.record_failed_attempt(
                call.request_id, peer.member.mesh, failure, started_at
            )
            raise
        finally:
            peer.own_calls -= 1
        peer.record_success()
        now = time.monotonic()
        peer.record_answer(
            answer.status >= exchange.MIN_SERVER_ERROR_STATUS, now
        )
        peer.update_load(answer.load, now, call.request.open.route)
        self._upstreams.record_answer_size(
            call.request.open.route, len(answer.body)
        )
        return answer

    def _remaining_s(self, call: incomingcall.IncomingCall) -> float:
        return max(0.0, call.request.deadline - time.monotonic())

    async def _send(
        self, call: incomingcall.IncomingCall, peer: peers_module.Peer
    ) -> messages.AnswerOpen:
        """Runs a call on the local upstream or forwards it to another daemon.

        Raises:
            exchange.CallFailed: No complete answer was received.
        """
        target_s = call.target_at - time.monotonic()
        call_open = call.request.open._replace(
            target_ms=max(0, int(target_s * 1000))
        )
        request = call.request._replace(open=call_open)
        if peer is self._peers.own:
            return await self._local_upstream.execute(request)
        return await forward.forward_buffered(
            self._links, peer.member.mesh, request, self._memory
        )

    def _update_peer(
        self, peer: peers_module.Peer, failure: exchange.CallFailed
    ) -> None:
        """Updates load and health of an instance after a failed attempt.

        A passed deadline does not count against the upstream: the caller may
        have left too little time.
        """
        now = time.monotonic()
        if failure.load is not None and failure.load.limit:
            peer.update_load(failure.load, now)
        if isinstance(failure, forward.ConnectionLost):
            peer.record_failure(now)
        elif failure.code == errorcodes.CALL_OVERLOADED:
            peer.record_refusal(now)
        elif failure.code != errorcodes.CALL_DEADLINE:
            peer.record_answer(True, now)

    def _failure_response(
        self,
        call: incomingcall.IncomingCall,
        progress: callprogress.CallProgress,
    ) -> http_messages.Response:
        """Logs a call that no upstream answered and returns its response."""
        failure = progress.failure
        if failure is None:
            text = f"no upstream of {call.request.open.service} is known"
            failure = exchange.not_run(errorcodes.CALL_NO_UPSTREAM, text)
        failure = retry.settle(failure, progress.may_have_run)
        is_not_run = failure.outcome == messages.Outcome.NOT_RUN
        if is_not_run and call.tenant and not call.request.open.inner:
            self._quotas.restore(call.tenant, call.received_at)
        status, retry_after_s = self._status_and_retry_after(call, failure)
        self._call_log.record_failure(
            call.request_id,
            call.request.open,
            failure,
            status,
            call.received_at,
            len(progress.tried),
            retry_after_s,
        )
        return responses.error(status, str(failure), retry_after_s)

    def _status_and_retry_after(
        self, call: incomingcall.IncomingCall, failure: exchange.CallFailed
    ) -> tuple[int, float]:
        """Returns the HTTP status for a failure and the Retry-After time.

        The time is in seconds; 0 means that no Retry-After header is sent.
        """
        if failure.outcome != messages.Outcome.NOT_RUN:
            is_late = failure.code == errorcodes.CALL_DEADLINE
            return (504 if is_late else 502), 0.0
        now = time.monotonic()
        retry_after_s = retry_after.retry_after_s(
            call.target_at - now,
            call.request.deadline - now,
            failure.retry_after_ms / 1000,
            self._random.random(),
        )
        return 503, retry_after_s
