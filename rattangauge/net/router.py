"""Takes calls from callers to a daemon whose upstream can serve them."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import itertools
import math
import random
from typing import NamedTuple

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
from rattangauge.net import connection_pool
from rattangauge.net import forward
from rattangauge.net import hedging
from rattangauge.net import local_upstream

# Runs a call with an idempotency key.
KeyedHandler = Callable[
    [exchange.Request, routes.Target, exchange.Respond], Awaitable[None]
]

# The candidates of a service are looked up again after this time.
CANDIDATES_S = 0.1

_USABLE = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)

_CONNECTION_CODES = frozenset(
    (
        errorcodes.CALL_NO_UPSTREAM,
        errorcodes.CALL_UPSTREAM_FAILED,
        errorcodes.CALL_OUTCOME_UNKNOWN,
    )
)


def _declared_bytes(opened: messages.CallOpen) -> int:
    for header in opened.headers:
        if header.name == b"content-length" and header.value.isdigit():
            return int(header.value)
    return len(opened.body)


class _Known(NamedTuple):
    """Upstreams of a service as they were looked up at a time."""

    time: float
    candidates: list[upstream_selection.Candidate]
    group: upstream_stats.Group


class _Progress:
    """How far a call came, over all its attempts."""

    def __init__(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        self._request = request
        self._respond = respond
        self.answered = False
        self.consumed = False
        self.body = self._take_body() if request.body is not None else None

    async def _take_body(self) -> AsyncIterator[bytes]:
        assert self._request.body is not None
        async for piece in self._request.body:
            self.consumed = True
            yield piece

    async def respond(self, response: exchange.Response) -> None:
        self.answered = True
        await self._respond(response)


class Router:
    """Routes calls by the edition in force."""

    def __init__(
        self,
        links: connection_pool.Links,
        table: members.MemberTable,
        worker: local_upstream.Worker,
        events: events_module.Events,
    ) -> None:
        """Creates a router without an edition."""
        self._links = links
        self._members = table
        self._worker = worker
        self._events = events
        self._routes: routes.RouteTable | None = None
        self._keyed: KeyedHandler | None = None
        self._known: dict[str, _Known] = {}
        self._learner = route_classifier.Learner()
        self._budget = retry.Budget()
        self._numbers = itertools.count(1)
        self._random = random.Random()

    @property
    def version(self) -> int:
        """Version of the edition in force; 0 if there is none."""
        return self._routes.version if self._routes else 0

    def use(self, edition: edition_module.Edition) -> None:
        """Puts an edition in force for the calls that come from now on."""
        self._routes = routes.compile_routes(edition)
        self._known = {
            name: known._replace(time=-math.inf)
            for name, known in self._known.items()
            if name in edition.objects["service"]
        }
        self._learner.keep(set(edition.objects["route"]))

    def use_keys(self, handler: KeyedHandler) -> None:
        """Sets what runs the calls with an idempotency key."""
        self._keyed = handler

    def match(self, method: str, path: str) -> routes.Target:
        """Returns the target of a request.

        Raises:
            exchange.CallFailed: There is none.
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
        """Returns the class of a call."""
        if target.route.call_class == "long":
            return messages.CallClass.LONG
        if target.route.call_class == "short":
            return messages.CallClass.SHORT
        length = headers.get(b"content-length", b"0")
        size = int(length) if length.isdigit() else 0
        if self._learner.is_long(target.route.name, size):
            return messages.CallClass.LONG
        return messages.CallClass.SHORT

    def choose_member(self, target: routes.Target) -> messages.Member:
        """Returns the member that takes the next call of a target.

        Raises:
            exchange.CallFailed: No upstream is known.
        """
        candidate, _group = self._choose(target, frozenset())
        return candidate.member

    async def run(
        self,
        request: exchange.Request,
        target: routes.Target,
        respond: exchange.Respond,
    ) -> None:
        """Runs a call on one of the target's upstreams.

        Raises:
            exchange.CallFailed: There is no whole answer.
        """
        opened = request.open
        if opened.key and not opened.idempotent and self._keyed is not None:
            await self._keyed(request, target, respond)
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
                await self._attempt(attempt, target, progress, tried)
                return
            except exchange.CallFailed as failure:
                if not self._may_repeat(attempt, progress, failure):
                    failure.allowance = retry.remaining(allowance, failure)
                    raise retry.settle(failure, may_have_run) from None
                if failure.outcome != messages.Outcome.NOT_RUN:
                    may_have_run = True
                allowance = retry.remaining(allowance, failure) - 1
                await self._pause(target, tried, failure)

    def _may_repeat(
        self,
        request: exchange.Request,
        progress: _Progress,
        failure: exchange.CallFailed,
    ) -> bool:
        attempt = retry.Attempt(
            request.open.allowance,
            request.open.idempotent,
            progress.answered,
            progress.consumed,
            request.deadline - anyio.current_time(),
        )
        return retry.may_repeat(attempt, failure) and self._budget.take()

    async def _pause(
        self,
        target: routes.Target,
        tried: list[str],
        failure: exchange.CallFailed,
    ) -> None:
        """Waits before a retry unless another upstream can take it at once."""
        candidates, _group = self._candidates(target)
        if any(c.member.instance not in tried for c in candidates):
            return
        pause = retry.backoff_s(
            len(tried), failure.retry_after_ms, self._random.random()
        )
        await anyio.sleep(pause)

    async def _attempt(
        self,
        request: exchange.Request,
        target: routes.Target,
        progress: _Progress,
        tried: list[str],
    ) -> None:
        first, group = self._choose(target, frozenset(tried))
        tried.append(first.member.instance)

        def sender(
            request: exchange.Request, candidate: upstream_selection.Candidate
        ) -> hedging.Send:
            return functools.partial(
                self._attempt_at, request, target, progress, candidate, group
            )

        def find_second() -> hedging.Send | None:
            first.view.doubt(anyio.current_time())
            second = self._choose_second(target, tried)
            if second is None or not group.hedge.take():
                return None
            tried.append(second.member.instance)
            opened = retry.with_allowance(request.open, 0)
            return sender(request._replace(open=opened), second)

        group.hedge.add_call()
        delay_s = group.hedge.delay_s
        if not (target.policy.hedge and hedge.is_allowed(request.open)):
            delay_s = 0.0
        send = sender(request, first)
        if delay_s:
            await hedging.run(send, find_second, delay_s, progress.respond)
        else:
            await send(progress.respond)

    def _choose_second(
        self, target: routes.Target, tried: list[str]
    ) -> upstream_selection.Candidate | None:
        """Returns the upstream for a second attempt, if one has room."""
        candidates, group = self._candidates(target)
        return upstream_selection.choose_second(
            [c for c in candidates if c.member.instance not in tried],
            anyio.current_time(),
            self._random,
            group.median_s,
        )

    async def _attempt_at(
        self,
        request: exchange.Request,
        target: routes.Target,
        progress: _Progress,
        candidate: upstream_selection.Candidate,
        group: upstream_stats.Group,
        pass_on: exchange.Respond,
    ) -> None:
        """Runs an attempt at an upstream and measures it."""
        member, view = candidate.member, candidate.view
        number = next(self._numbers)
        is_long = request.open.call_class == messages.CallClass.LONG
        began = anyio.current_time()
        view.begin(number, is_long, began)

        async def respond(response: exchange.Response) -> None:
            now = anyio.current_time()
            view.report(response.open.load, now)
            view.pass_on(number)
            if request.open.last and not is_long:
                group.observe(view, now - began, now)
            await pass_on(response)
            self._learn(request, target, response, now)

        try:
            await self._send(member, request, respond)
        except exchange.CallFailed as failure:
            if not progress.answered:
                self._note_failure(group, view, failure, began)
            raise
        except anyio.get_cancelled_exc_class():
            if progress.answered and view.is_waiting(number):
                now = anyio.current_time()
                group.observe_least(view, now - began, now)
            raise
        finally:
            view.end(number)
            self._record(group)

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

    def _learn(
        self,
        request: exchange.Request,
        target: routes.Target,
        response: exchange.Response,
        answered_at: float,
    ) -> None:
        """Learns the class of a route from the time that a call held a slot.

        The time that this daemon measures includes queues, also its own: under
        overload short calls would become long ones.
        """
        if target.route.call_class != "auto":
            return
        passing_on = anyio.current_time() - answered_at
        seconds = response.open.service_us / 1e6 + passing_on
        size = _declared_bytes(request.open)
        self._learner.observe(target.route.name, seconds, size)

    def _note_failure(
        self,
        group: upstream_stats.Group,
        view: upstream_stats.View,
        failure: exchange.CallFailed,
        began: float,
    ) -> None:
        now = anyio.current_time()
        if failure.load is not None and failure.load.limit:
            view.report(failure.load, now)
        if failure.code in _CONNECTION_CODES:
            group.fail(view, now, self._random.random())
        elif failure.code == errorcodes.CALL_DEADLINE:
            group.observe(view, now - began, now)
        elif failure.outcome == messages.Outcome.NOT_RUN:
            view.refuse(failure.retry_after_ms, now)

    def _record(self, group: upstream_stats.Group) -> None:
        for change in group.take_changes():
            subject = f"upstream {change.instance}"
            self._events.record(subject, change.action, change.reason)

    def _choose(
        self, target: routes.Target, tried: frozenset[str]
    ) -> tuple[upstream_selection.Candidate, upstream_stats.Group]:
        candidates, group = self._candidates(target)
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

    def _candidates(
        self, target: routes.Target
    ) -> tuple[list[upstream_selection.Candidate], upstream_stats.Group]:
        """Returns the upstreams that could take a call of a target.

        They are remembered for a moment, as the member table is large.
        """
        now = anyio.current_time()
        known = self._known.get(target.service.name)
        if known is None or now - known.time > CANDIDATES_S:
            group = known.group if known else upstream_stats.Group()
            found = self._find_candidates(target, group, now)
            group.keep({candidate.member.instance for candidate in found})
            known = _Known(now, found, group)
            self._known[target.service.name] = known
        return known.candidates, known.group

    def _find_candidates(
        self, target: routes.Target, group: upstream_stats.Group, now: float
    ) -> list[upstream_selection.Candidate]:
        """Returns the upstreams of the first pool that has one that serves.

        If none has, all that are known are returned: reports may be wrong.
        """
        every: list[upstream_selection.Candidate] = []
        for pool in target.pools:
            known = [
                member
                for member in self._members.members.values()
                if member.service == pool.announces and member.state in _USABLE
            ]
            found = [
                self._candidate(member, group, now)
                for member in known + self._members.remote(pool.announces)
                if not pool.zones or member.zone in pool.zones
            ]
            if any(candidate.is_serving for candidate in found):
                return found
            every += found
        return every

    def _candidate(
        self, member: messages.Member, group: upstream_stats.Group, now: float
    ) -> upstream_selection.Candidate:
        return upstream_selection.Candidate(
            member,
            group.view(member, now),
            member.zone == self._members.own.zone,
            member.upstream == messages.UpstreamState.SERVING,
        )
