"""Takes requests of callers to an instance whose upstream can serve them."""

import itertools
import random as random_module
import time
from typing import NamedTuple

from rattangauge import decisionlog
from rattangauge import settings as settings_module
from rattangauge.calls import call_queue
from rattangauge.calls import elapsed_time
from rattangauge.calls import exchange
from rattangauge.calls import placement
from rattangauge.calls import retry
from rattangauge.calls import retry_after
from rattangauge.calls import traffic_split
from rattangauge.config import edition as edition_module
from rattangauge.config import routes
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.http import messages as http_messages
from rattangauge.http import server as server_module
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool
from rattangauge.net import forward
from rattangauge.sidecar import calllog
from rattangauge.sidecar import headernames
from rattangauge.sidecar import localupstream

# Instances that may refuse a call before it is refused to the caller.
MAX_REFUSALS = 2
# A report of the load that is younger decides without asking the instance. It
# must say that the wait exceeds what makes sense by a factor, as others end.
FRESH_LOAD_S = 0.2
EXCESS = 1.5
# Retries of one daemon, which all daemons together must keep within a budget.
RETRY_SHARE = 0.1
RETRY_BURST = 4.0
# A retry with less time than this cannot end in time.
MIN_RETRY_S = 0.02
# Time after which a caller returns to a daemon that cannot take requests yet
# or any more.
NOT_READY_S = 0.5
# Weight of a new measurement of the size of the answers of a route.
SIZE_WEIGHT = 0.1
HEAD_BYTES = 300
SERVER_ERROR = 500


class _Call(NamedTuple):
    """A request with everything that was decided about it at the start."""

    request_id: str
    request: exchange.Request
    target: routes.Target
    received_at: float
    target_at: float


class _Progress:
    """How far a call came, over all its attempts.

    Attributes:
        tried: Mesh addresses of the instances that had the call.
        retries: Attempts after the first one that reached an upstream.
        refusals: Instances that refused the call before their upstream had it.
        may_have_run: Whether an attempt may have run.
        was_refused: Whether the last attempt ended in such a refusal.
        answer: The last answer of an upstream.
        failure: The last failure.
    """

    def __init__(self) -> None:
        self.tried: set[str] = set()
        self.retries = 0
        self.refusals = 0
        self.may_have_run = False
        self.was_refused = False
        self.answer: messages.AnswerOpen | None = None
        self.failure: exchange.CallFailed | None = None

    def take(self, answer: messages.AnswerOpen) -> None:
        """Takes the answer of an upstream."""
        self.answer = answer
        self.was_refused = False
        self.may_have_run = True

    def fail(self, failure: exchange.CallFailed) -> None:
        """Takes the failure of an attempt."""
        self.failure = failure
        is_not_run = failure.outcome == messages.Outcome.NOT_RUN
        had_upstream = failure.code == errorcodes.CALL_UPSTREAM_REFUSED
        self.was_refused = is_not_run and not had_upstream
        self.refusals += self.was_refused
        self.may_have_run |= not is_not_run


class Dispatcher:
    """Routes the requests of callers by the configuration in force."""

    def __init__(
        self,
        settings: settings_module.Settings,
        header_names: headernames.HeaderNames,
        links: connection_pool.Links,
        peers: peers_module.PeerTable,
        local_upstream: localupstream.LocalUpstream,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the part without a configuration."""
        self._settings = settings
        self._header_names = header_names
        self._links = links
        self._peers = peers
        self._local_upstream = local_upstream
        self._log = calllog.CallLog(log)
        self._table: routes.RouteTable | None = None
        self._limits = server_module.Limits()
        self._is_stopping = False
        self._split = traffic_split.Split()
        self._budget = retry.Budget(RETRY_SHARE, RETRY_BURST)
        self._random = random_module.Random()
        self._numbers = itertools.count(1)
        self._answer_bytes: dict[str, float] = {}
        self._deadlines = elapsed_time.Deadlines()

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self._table.version if self._table else 0

    @property
    def limits(self) -> server_module.Limits:
        """Limits on what callers may send."""
        return self._limits

    def use(self, edition: edition_module.Edition) -> None:
        """Puts a configuration in force for the requests from now on."""
        self._table = routes.compile_routes(edition)
        limits = self._table.limits
        self._limits = server_module.Limits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_s=limits.header_timeout_ms / 1000,
            idle_s=limits.idle_timeout_ms / 1000,
        )

    def stop(self) -> None:
        """Refuses all requests from now on."""
        self._is_stopping = True

    async def handle(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Answers a request of a caller."""
        if self._table is None or self._is_stopping:
            text = "no configuration is in force yet"
            if self._is_stopping:
                text = "the daemon stops"
            failure = exchange.not_run(errorcodes.CALL_NOT_READY, text)
            return self._deny(request, failure, 503, NOT_READY_S)
        path = request.target.partition("?")[0]
        host = request.header(b"host").decode("latin-1").lower()
        host = host.partition(":")[0]
        target = routes.match(self._table, request.method, path, host)
        if target is None:
            text = f"no route matches {host} {path}"
            failure = exchange.not_run(errorcodes.CALL_NO_ROUTE, text)
            return self._deny(request, failure, 404)
        call = self._call(request, target)
        if call is None:
            text = "the deadline is not a number"
            failure = exchange.not_run(errorcodes.CALL_BAD_HEADER, text)
            return self._deny(request, failure, 400)
        opened = call.request.open
        self._log.begun(call.request_id, opened, self._left_s(call))
        return await self._run(call)

    def _deny(
        self,
        request: http_messages.Request,
        failure: exchange.CallFailed,
        status: int,
        retry_after_s: float = 0.0,
    ) -> http_messages.Response:
        """Answers a request that does not become a call."""
        self._log.failed(
            request.header(self._header_names.request_id).decode("latin-1"),
            messages.CallOpen(version=self.version),
            failure,
            status,
            request.received_at,
            retry_after_s=retry_after_s,
        )
        return _refusal(status, failure.message, retry_after_s)

    def _call(
        self, request: http_messages.Request, target: routes.Target
    ) -> _Call | None:
        """Turns a request into a call; None if its deadline is not valid."""
        timeout_ms = target.policy.timeout_ms
        text = request.header(self._header_names.deadline_ms)
        if text and not text.isdigit():
            return None
        caller_ms = int(text) if text else timeout_ms
        name = target.route.name
        request_id = request.header(self._header_names.request_id)
        inner = self._local_upstream.runs(
            self._header_names.parent_id(request_id)
        )
        elapsed_ms = 0
        if not inner:
            elapsed_ms = self._deadlines.elapsed_ms(name, caller_ms)
        left_ms = min(caller_ms, timeout_ms)
        target_ms = target.policy.target_latency_ms - elapsed_ms
        target_at = request.received_at + target_ms / 1000
        service = target.service.name
        if target.shares:
            service = self._split.choose(name, target.shares)
        opened = messages.CallOpen(
            call_id=f"{next(self._numbers)}",
            service=service,
            method=request.method,
            target=request.target,
            headers=self._headers(request),
            priority=target.policy.priority,
            idempotent=target.route.idempotent == "yes",
            version=self.version,
            body=request.body,
            last=True,
            route=name,
            returned=request.is_first
            and self._deadlines.has_returned(name, elapsed_ms),
            inner=inner,
        )
        deadline = request.received_at + left_ms / 1000
        return _Call(
            request_id.decode("latin-1"),
            exchange.Request(opened, None, deadline),
            target,
            request.received_at,
            target_at,
        )

    def _headers(
        self, request: http_messages.Request
    ) -> tuple[messages.Header, ...]:
        """Returns the headers that the upstream receives."""
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
        service = self._peers.own.member.service.encode()
        headers.append(
            messages.Header(self._header_names.caller_service, service)
        )
        return tuple(headers)

    async def _run(self, call: _Call) -> http_messages.Response:
        """Runs a call, with retries as far as they are allowed."""
        self._budget.add_call()
        progress = _Progress()
        while (peer := self._choose(call, progress.tried)) is not None:
            if self._is_too_busy(call, peer):
                text = "all instances report too long a wait"
                code = errorcodes.CALL_OVERLOADED
                progress.fail(exchange.not_run(code, text))
                break
            progress.tried.add(peer.member.mesh)
            try:
                answer = await self._attempt(call, peer)
            except exchange.CallFailed as failure:
                progress.fail(failure)
            else:
                progress.take(answer)
                if answer.status < SERVER_ERROR:
                    break
            if not self._may_go_on(call, progress):
                break
        if progress.answer is not None:
            self._log.ended(
                call.request_id,
                call.request.open,
                progress.answer.status,
                call.received_at,
                len(progress.tried),
            )
            return _response(progress.answer)
        return self._failed(call, progress)

    def _is_too_busy(self, call: _Call, peer: peers_module.Peer) -> bool:
        """Tells whether the best instance is known to refuse a call.

        This saves the way there at a peak, when all daemons are busy.
        """
        now = time.monotonic()
        if peer is self._peers.own or peer.load_age_s(now) > FRESH_LOAD_S:
            return False
        opened = call.request.open
        candidate = peer.candidate(
            self._settings.instance.zone, now, opened.route
        )
        waiter = call_queue.Waiter(
            0,
            opened.route,
            opened.priority,
            opened.returned,
            opened.inner,
            call.target_at,
            call.request.deadline,
        )
        longest_s = call_queue.patience_s(waiter, candidate.hold_s, now)
        return placement.wait_s(candidate) > EXCESS * max(0.0, longest_s)

    def _may_go_on(self, call: _Call, progress: _Progress) -> bool:
        """Tells whether a call may be sent to one more instance."""
        if progress.may_have_run and not call.request.open.idempotent:
            return False
        if progress.was_refused:
            return progress.refusals < MAX_REFUSALS
        return self._may_retry(call, progress)

    def _may_retry(self, call: _Call, progress: _Progress) -> bool:
        """Tells whether a call may reach one more upstream."""
        left_s = call.request.deadline - time.monotonic()
        allowed = call.target.policy.retries
        if progress.retries >= allowed or left_s < MIN_RETRY_S:
            return False
        progress.retries += 1
        return self._budget.take()

    def _choose(self, call: _Call, tried: set[str]) -> peers_module.Peer | None:
        opened = call.request.open
        now = time.monotonic()
        candidates = [
            self._candidate(peer, now, opened.route)
            for peer in self._peers.serving(opened.service)
            if peer.member.mesh not in tried
        ]
        size = HEAD_BYTES + len(opened.body)
        size += int(self._answer_bytes.get(opened.route, HEAD_BYTES))
        demand = placement.Demand(size, call.target_at - now)
        chosen = placement.choose(candidates, demand, self._random)
        peer = self._peers.get(chosen.address) if chosen else None
        if chosen is not None and peer is not None:
            self._log.placed(
                call.request_id, chosen, len(candidates), peer.load_age_s(now)
            )
        return peer

    def _candidate(
        self, peer: peers_module.Peer, now: float, kind: str
    ) -> placement.Candidate:
        candidate = peer.candidate(self._settings.instance.zone, now, kind)
        if self._links.is_suspect(peer.member.mesh):
            return candidate._replace(is_ill=True)
        return candidate

    async def _attempt(
        self, call: _Call, peer: peers_module.Peer
    ) -> messages.AnswerOpen:
        """Sends a call to an instance and returns its answer.

        Raises:
            exchange.CallFailed: There is no whole answer.
        """
        peer.own += 1
        began = time.monotonic()
        try:
            answer = await self._send(call, peer)
        except exchange.CallFailed as failure:
            self._note_failure(peer, failure)
            self._log.attempt_failed(
                call.request_id, peer.member.mesh, failure, began
            )
            raise
        finally:
            peer.own -= 1
        peer.reached()
        now = time.monotonic()
        peer.observe_answer(answer.status >= SERVER_ERROR, now)
        peer.report(answer.load, now, call.request.open.route)
        self._observe_size(call.request.open.route, len(answer.body))
        return answer

    def _left_s(self, call: _Call) -> float:
        return max(0.0, call.request.deadline - time.monotonic())

    async def _send(
        self, call: _Call, peer: peers_module.Peer
    ) -> messages.AnswerOpen:
        target_s = call.target_at - time.monotonic()
        opened = call.request.open._replace(
            target_ms=max(0, int(target_s * 1000))
        )
        request = call.request._replace(open=opened)
        if peer is self._peers.own:
            return await self._local_upstream.ask(request)
        return await forward.forward_whole(
            self._links, peer.member.mesh, request
        )

    def _note_failure(
        self, peer: peers_module.Peer, failure: exchange.CallFailed
    ) -> None:
        now = time.monotonic()
        if failure.load is not None and failure.load.limit:
            peer.report(failure.load, now)
        if isinstance(failure, forward.LinkLost):
            peer.failed(now)
        elif failure.code == errorcodes.CALL_OVERLOADED:
            peer.refused(now)
        elif failure.code != errorcodes.CALL_DEADLINE:
            peer.observe_answer(True, now)

    def _observe_size(self, route: str, size: int) -> None:
        before = self._answer_bytes.get(route, float(size))
        self._answer_bytes[route] = before + SIZE_WEIGHT * (size - before)

    def _failed(
        self, call: _Call, progress: _Progress
    ) -> http_messages.Response:
        """Returns the response for a call without an answer."""
        failure = progress.failure
        if failure is None:
            text = f"no upstream of {call.request.open.service} is known"
            failure = exchange.not_run(errorcodes.CALL_NO_UPSTREAM, text)
        failure = retry.settle(failure, progress.may_have_run)
        status, pause_s = self._verdict(call, failure)
        self._log.failed(
            call.request_id,
            call.request.open,
            failure,
            status,
            call.received_at,
            len(progress.tried),
            pause_s,
        )
        return _refusal(status, str(failure), pause_s)

    def _verdict(
        self, call: _Call, failure: exchange.CallFailed
    ) -> tuple[int, float]:
        """Returns the status for a failure, and when the caller may return."""
        if failure.outcome != messages.Outcome.NOT_RUN:
            is_late = failure.code == errorcodes.CALL_DEADLINE
            return (504 if is_late else 502), 0.0
        now = time.monotonic()
        pause_s = retry_after.retry_after_s(
            call.target_at - now,
            call.request.deadline - now,
            failure.retry_after_ms / 1000,
            self._random.random(),
        )
        return 503, pause_s


def _response(answer: messages.AnswerOpen) -> http_messages.Response:
    headers = tuple((header.name, header.value) for header in answer.headers)
    return http_messages.Response(answer.status, headers, answer.body)


def _refusal(
    status: int, text: str, retry_after_s: float = 0.0
) -> http_messages.Response:
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if retry_after_s:
        headers.append((b"retry-after", b"%g" % retry_after_s))
    return http_messages.Response(
        status, tuple(headers), (text + "\n").encode()
    )
