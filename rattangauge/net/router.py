"""Routes calls to upstreams.

A call runs on the upstream beside this daemon, or is forwarded to the daemon
beside another upstream. Failed attempts are retried, and late ones are hedged.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import itertools
import random

import anyio

from rattangauge import events as events_module
from rattangauge.calls import exchange
from rattangauge.calls import hedge
from rattangauge.calls import retry
from rattangauge.calls import route_classifier
from rattangauge.calls import upstream_selection
from rattangauge.calls import upstream_stats
from rattangauge.config import edition as edition_module
from rattangauge.config import routes
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.net import candidates as candidates_module
from rattangauge.net import connection_pool
from rattangauge.net import forward
from rattangauge.net import hedging
from rattangauge.net import local_upstream

# Handler of calls that carry an idempotency key.
KeyedHandler = Callable[
    [exchange.Request, routes.Target, exchange.Respond], Awaitable[None]
]

# Error codes of attempts that open the circuit breaker of the upstream.
_CONNECTION_CODES = frozenset(
    (
        errorcodes.CALL_NO_UPSTREAM,
        errorcodes.CALL_UPSTREAM_FAILED,
        errorcodes.CALL_OUTCOME_UNKNOWN,
    )
)


def _declared_body_bytes(opened: messages.CallOpen) -> int:
    """Returns the content length, or if absent the size of the first piece."""
    for header in opened.headers:
        if header.name == b"content-length" and header.value.isdigit():
            return int(header.value)
    return len(opened.body)


class _Progress:
    """Tracks over all attempts whether a call can still be retried.

    Attributes:
        answered: Whether a response has begun to reach the caller.
        consumed: Whether a piece of ``body`` was read.
        body: Pieces of the request body after the first message, or None.
    """

    def __init__(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        self._request = request
        self._respond = respond
        self.answered = False
        self.consumed = False
        self.body = self._read_body() if request.body is not None else None

    async def _read_body(self) -> AsyncIterator[bytes]:
        assert self._request.body is not None
        async for piece in self._request.body:
            self.consumed = True
            yield piece

    async def respond(self, response: exchange.Response) -> None:
        """Sends a response to the caller, after which no retry is possible."""
        self.answered = True
        await self._respond(response)


class Router:
    """Routes calls by the configuration edition in force."""

    def __init__(
        self,
        links: connection_pool.Links,
        table: members.MemberTable,
        worker: local_upstream.LocalUpstream,
        events: events_module.Events,
    ) -> None:
        """Creates a router without an edition.

        Args:
            links: Connections to other daemons.
            table: Members that the daemon knows.
            worker: Runs calls on the upstream beside the daemon.
            events: Log of decisions.
        """
        self._links = links
        self._members = table
        self._worker = worker
        self._events = events
        self._routes: routes.RouteTable | None = None
        self._keyed_handler: KeyedHandler | None = None
        self._candidates = candidates_module.CandidateCache(table)
        self._class_learner = route_classifier.RouteClassifier()
        self._budget = retry.RetryBudget()
        self._attempt_numbers = itertools.count(1)
        self._random = random.Random()

    @property
    def version(self) -> int:
        """Version of the edition in force; 0 if there is none."""
        return self._routes.version if self._routes else 0

    def use_edition(self, edition: edition_module.Edition) -> None:
        """Routes the calls that arrive from now on by an edition."""
        self._routes = routes.compile_routes(edition)
        self._candidates.expire(edition.objects["service"].keys())
        self._class_learner.keep(set(edition.objects["route"]))

    def set_keyed_handler(self, handler: KeyedHandler) -> None:
        """Sets the handler of calls that carry an idempotency key."""
        self._keyed_handler = handler

    def match(self, method: str, path: str) -> routes.Target:
        """Returns the target of a request.

        Raises:
            exchange.CallFailed: No configuration is in force, or no route
                matches.
        """
        if self._routes is None:
            text = "the daemon has no complete configuration yet"
            raise exchange.not_run(errorcodes.CALL_NOT_READY, text, 1000)
        target = routes.match(self._routes, method, path)
        if target is None:
            text = f"no route matches {method} {path}"
            raise exchange.not_run(errorcodes.CALL_NO_ROUTE, text)
        return target

    def call_class(
        self, target: routes.Target, headers: dict[bytes, bytes]
    ) -> messages.CallClass:
        """Returns the class of a call.

        A route of class ``auto`` gets the class learned from the durations of
        its earlier calls and from the content length.
        """
        if target.route.call_class == "long":
            return messages.CallClass.LONG
        if target.route.call_class == "short":
            return messages.CallClass.SHORT
        length = headers.get(b"content-length", b"0")
        size = int(length) if length.isdigit() else 0
        if self._class_learner.is_long(target.route.name, size):
            return messages.CallClass.LONG
        return messages.CallClass.SHORT

    def choose_member(self, target: routes.Target) -> messages.Member:
        """Returns the member to which the next call of a target is sent.

        Raises:
            exchange.CallFailed: No upstream of the service is known.
        """
        candidate, _group = self._choose(target, frozenset())
        return candidate.member

    async def run(
        self,
        request: exchange.Request,
        target: routes.Target,
        respond: exchange.Respond,
    ) -> None:
        """Runs a call on one of the target's upstreams, with retries.

        Raises:
            exchange.CallFailed: No upstream sent a complete response.
        """
        opened = request.open
        if (
            opened.key
            and not opened.idempotent
            and self._keyed_handler is not None
        ):
            await self._keyed_handler(request, target, respond)
            return
        self._budget.add_call()
        progress = _Progress(request, respond)
        allowance = opened.allowance
        tried: list[str] = []
        may_have_run = False
        while True:
            attempt = request._replace(
                open=retry.with_allowance(opened, allowance),
                body=progress.body,
            )
            try:
                await self._run_hedged(attempt, target, progress, tried)
                return
            except exchange.CallFailed as failure:
                if not self._may_retry(attempt, progress, failure):
                    failure.allowance = retry.remaining(allowance, failure)
                    raise retry.settle(failure, may_have_run) from None
                if failure.outcome != messages.Outcome.NOT_RUN:
                    may_have_run = True
                allowance = retry.remaining(allowance, failure) - 1
                await self._back_off(target, tried, failure)

    def _may_retry(
        self,
        request: exchange.Request,
        progress: _Progress,
        failure: exchange.CallFailed,
    ) -> bool:
        attempt = retry.FailedAttempt(
            request.open.allowance,
            request.open.idempotent,
            progress.answered,
            progress.consumed,
            request.deadline - anyio.current_time(),
        )
        return retry.is_retryable(attempt, failure) and self._budget.take()

    async def _back_off(
        self,
        target: routes.Target,
        tried: list[str],
        failure: exchange.CallFailed,
    ) -> None:
        """Waits before a retry, unless an untried upstream can take it now."""
        candidates, _group = self._candidates.find(target)
        if any(c.member.instance not in tried for c in candidates):
            return
        backoff_s = retry.backoff_s(
            len(tried), failure.retry_after_ms, self._random.random()
        )
        await anyio.sleep(backoff_s)

    async def _run_hedged(
        self,
        request: exchange.Request,
        target: routes.Target,
        progress: _Progress,
        tried: list[str],
    ) -> None:
        """Sends a call to one upstream, and to a second if the first is late.

        Both instances are added to ``tried``.
        """
        first, group = self._choose(target, frozenset(tried))
        tried.append(first.member.instance)

        def attempt_at(
            request: exchange.Request, candidate: upstream_selection.Candidate
        ) -> hedging.Attempt:
            return functools.partial(
                self._run_attempt, request, target, progress, candidate, group
            )

        def find_second() -> hedging.Attempt | None:
            # A late call makes its upstream less preferred for other calls.
            first.view.doubt(anyio.current_time())
            second = self._choose_second(target, tried)
            if second is None or not group.hedge.take():
                return None
            tried.append(second.member.instance)
            opened = retry.with_allowance(request.open, 0)
            return attempt_at(request._replace(open=opened), second)

        group.hedge.add_call()
        delay_s = group.hedge.delay_s
        if not (target.policy.hedge and hedge.may_hedge(request.open)):
            delay_s = 0.0
        first_attempt = attempt_at(request, first)
        if delay_s:
            await hedging.run(
                first_attempt, find_second, delay_s, progress.respond
            )
        else:
            await first_attempt(progress.respond)

    def _choose_second(
        self, target: routes.Target, tried: list[str]
    ) -> upstream_selection.Candidate | None:
        """Returns an untried upstream with room for a hedge, or None."""
        candidates, group = self._candidates.find(target)
        return upstream_selection.choose_for_hedge(
            [c for c in candidates if c.member.instance not in tried],
            anyio.current_time(),
            self._random,
            group.median_s,
        )

    async def _run_attempt(
        self,
        request: exchange.Request,
        target: routes.Target,
        progress: _Progress,
        candidate: upstream_selection.Candidate,
        group: upstream_stats.ServiceStats,
        respond: exchange.Respond,
    ) -> None:
        """Runs an attempt at an upstream and records its latency or failure."""
        member, view = candidate.member, candidate.view
        number = next(self._attempt_numbers)
        is_long = request.open.call_class == messages.CallClass.LONG
        began = anyio.current_time()
        view.begin(number, is_long, began)

        async def measure_and_respond(response: exchange.Response) -> None:
            now = anyio.current_time()
            view.update_load(response.open.load, now)
            view.pass_on(number)
            if request.open.last and not is_long:
                group.observe(view, now - began, now)
            await respond(response)
            self._learn_class(request, target, response, now)

        try:
            await self._send(member, request, measure_and_respond)
        except exchange.CallFailed as failure:
            if not progress.answered:
                self._observe_failure(group, view, failure, began)
            raise
        except anyio.get_cancelled_exc_class():
            if progress.answered and view.is_waiting(number):
                # The other attempt's response arrived first: this one would
                # have taken at least as long as it has run.
                now = anyio.current_time()
                group.observe_cancelled(view, now - began, now)
            raise
        finally:
            view.end(number)
            self._record_changes(group)

    async def _send(
        self,
        member: messages.Member,
        request: exchange.Request,
        respond: exchange.Respond,
    ) -> None:
        if member.instance == self._members.own.instance:
            await self._worker.run(request, respond)
        else:
            await forward.forward(self._links, member.mesh, request, respond)

    def _learn_class(
        self,
        request: exchange.Request,
        target: routes.Target,
        response: exchange.Response,
        answered_at: float,
    ) -> None:
        """Learns the class of a route from the time that a call held a slot.

        That time is the service time reported by the other daemon plus the
        time to relay the response. The full latency is not used, as it includes
        the time in queues: under overload, short calls would be classified as
        long.
        """
        if target.route.call_class != "auto":
            return
        relay_s = anyio.current_time() - answered_at
        seconds = response.open.service_us / 1e6 + relay_s
        size = _declared_body_bytes(request.open)
        self._class_learner.observe(target.route.name, seconds, size)

    def _observe_failure(
        self,
        group: upstream_stats.ServiceStats,
        view: upstream_stats.UpstreamStats,
        failure: exchange.CallFailed,
        began: float,
    ) -> None:
        """Updates the measurements of an upstream after a failed attempt."""
        now = anyio.current_time()
        if failure.load is not None and failure.load.limit:
            view.update_load(failure.load, now)
        if failure.code in _CONNECTION_CODES:
            group.fail(view, now, self._random.random())
        elif failure.code == errorcodes.CALL_DEADLINE:
            # The upstream's latency is at least the time until the deadline.
            group.observe(view, now - began, now)
        elif failure.outcome == messages.Outcome.NOT_RUN:
            view.refuse(failure.retry_after_ms, now)

    def _record_changes(self, group: upstream_stats.ServiceStats) -> None:
        """Writes events for changed upstream health.

        An upstream was ejected as slow, was restored, or its circuit breaker
        opened.
        """
        for change in group.take_changes():
            subject = f"upstream {change.instance}"
            self._events.record(subject, change.action, change.reason)

    def _choose(
        self, target: routes.Target, tried: frozenset[str]
    ) -> tuple[upstream_selection.Candidate, upstream_stats.ServiceStats]:
        """Returns the upstream for an attempt, an untried one if possible.

        Raises:
            exchange.CallFailed: No upstream of the service is known.
        """
        candidates, group = self._candidates.find(target)
        if not candidates:
            text = f"no upstream of {target.service.name} is known"
            raise exchange.not_run(errorcodes.CALL_NO_UPSTREAM, text, 1000)
        if tried:
            untried = [c for c in candidates if c.member.instance not in tried]
            candidates = untried or candidates
        now = anyio.current_time()
        chosen = upstream_selection.choose(
            candidates, now, self._random, group.median_s
        )
        return chosen, group
