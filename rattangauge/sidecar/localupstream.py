"""Runs calls on the upstream beside the daemon."""

import asyncio
import itertools
import time

import anyio

from rattangauge import decisionlog
from rattangauge import futures
from rattangauge import util
from rattangauge.calls import call_queue
from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.http import client as client_module
from rattangauge.http import messages as http_messages
from rattangauge.membership import heartbeats
from rattangauge.sidecar import headernames

# Calls that may wait for each slot of the upstream.
WAITING_PER_SLOT = 4


class LocalUpstream:
    """The upstream beside the daemon, with its slots and its queue."""

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the part without an upstream."""
        self._header_names = header_names
        self._log = log
        self._upstream: heartbeats.Upstream | None = None
        self._client: client_module.Client | None = None
        self._queue = call_queue.Queue(0, 0)
        # Waiting calls; the result says whether the call got a slot.
        self._turns: dict[int, asyncio.Future[bool]] = {}
        self._numbers = itertools.count(1)
        self._request_ids: set[bytes] = set()
        self._is_stopping = False

    @property
    def upstream(self) -> heartbeats.Upstream | None:
        """What is believed of the upstream; None before its first word."""
        return self._upstream

    @property
    def state(self) -> messages.UpstreamState:
        """State of the upstream for the peers."""
        if self._upstream is None:
            return messages.UpstreamState.ABSENT
        if self._upstream.is_leaving or self._is_stopping:
            return messages.UpstreamState.DRAINING
        return messages.UpstreamState.SERVING

    @property
    def load(self) -> messages.Load:
        """Load of the upstream for the peers."""
        hold_s = self._queue.measured_hold_s(time.monotonic())
        return messages.Load(
            running=self._queue.running,
            queued=self._queue.queued,
            limit=self._queue.slots,
            service_us=int(hold_s * 1e6),
            state=self.state,
        )

    def _load_for(self, request: exchange.Request) -> messages.Load:
        """Returns the load for the daemon that sent a call."""
        kind_s = self._queue.hold_s(request.open.route)
        return self.load._replace(kind_us=int(kind_s * 1e6))

    @property
    def running(self) -> int:
        """Calls that run or wait."""
        return self._queue.running + self._queue.queued

    def runs(self, request_id: bytes) -> bool:
        """Tells whether the upstream runs a request."""
        return request_id in self._request_ids

    async def take_heartbeat(self, told: heartbeats.Heartbeat) -> bool:
        """Takes a heartbeat; returns whether the peers should be told."""
        before = self._upstream
        after = heartbeats.after_heartbeat(before, told, time.monotonic())
        await self._replace(before, after)
        return _identity(before) != _identity(after)

    async def take_departure(self, told: heartbeats.Departure) -> bool:
        """Takes word that the upstream is gone; returns whether it is news."""
        before = self._upstream
        after = heartbeats.after_departure(before, told)
        if after is before or after is None:
            return False
        await self._replace(before, after)
        return True

    async def _replace(
        self,
        before: heartbeats.Upstream | None,
        after: heartbeats.Upstream,
    ) -> None:
        self._upstream = after
        told = after.heartbeat
        if _identity(before) != _identity(after):
            self._record_change(told)
        is_new = before is None or _process(before) != _process(after)
        if is_new:
            await self._start_over(told)
        self._queue.set_slots(told.slots)
        if after.is_leaving and not self._queue.is_closed:
            self._settle(self._queue.close())

    def _record_change(self, told: heartbeats.Heartbeat) -> None:
        self._log.record(
            logevents.UpstreamChanged(
                upstream=told.instance,
                service=told.service,
                state=self.state.name.lower(),
                sequence=told.sequence,
                slots=told.slots,
            )
        )

    async def _start_over(self, told: heartbeats.Heartbeat) -> None:
        """Gives a new process of the upstream its own queue and connections."""
        if not self._queue.is_closed:
            self._settle(self._queue.close())
        bound = WAITING_PER_SLOT * told.slots
        self._queue = call_queue.Queue(told.slots, bound, time.monotonic())
        if self._client is not None:
            self._client.close()
        self._client = client_module.Client(
            told.address, self._header_names.request_id
        )

    def stop(self) -> None:
        """Refuses all calls that wait and all that come from now on."""
        self._is_stopping = True
        self._settle(self._queue.close())

    async def run(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Runs a call on the upstream for another daemon; see ``ask``."""
        await respond(exchange.Response(await self.ask(request), None))

    async def ask(self, request: exchange.Request) -> messages.AnswerOpen:
        """Runs a call on the upstream and returns its whole answer.

        Raises:
            exchange.CallFailed: There is no whole answer.
        """
        opened = request.open
        upstream, client, queue = self._upstream, self._client, self._queue
        if upstream is None or client is None or upstream.is_leaving:
            raise self._refusal(request, "the upstream takes no calls")
        if upstream.heartbeat.service != opened.service:
            text = f"the upstream does not run {opened.service}"
            raise self._refusal(request, text)
        waiter = self._waiter(request)
        request_id = self._request_id(request)
        asked = began = time.monotonic()
        status = 0
        try:
            await self._wait(queue, waiter, request)
            began = time.monotonic()
            request = await _receive_body(request)
            self._request_ids.add(request_id)
            head = await self._exchange(client, upstream, request)
            status = head.status
        finally:
            self._request_ids.discard(request_id)
            queue.withdraw(waiter)
            now = time.monotonic()
            held_s = now - began if status else 0.0
            self._settle(queue.finish(waiter, held_s, now))
        self._log.record(
            logevents.UpstreamRan(
                request=request_id.decode("latin-1"),
                upstream=upstream.heartbeat.instance,
                status=status,
                waited_ms=round((began - asked) * 1000, 1),
                held_ms=round(held_s * 1000, 1),
            )
        )
        return head._replace(load=self._load_for(request))

    def _waiter(self, request: exchange.Request) -> call_queue.Waiter:
        opened = request.open
        target_s = opened.target_ms / 1000
        target_at = time.monotonic() + target_s if target_s else 0.0
        return call_queue.Waiter(
            next(self._numbers),
            opened.route,
            opened.priority,
            opened.returned,
            opened.inner,
            target_at,
            request.deadline,
        )

    async def _wait(
        self,
        queue: call_queue.Queue,
        waiter: call_queue.Waiter,
        request: exchange.Request,
    ) -> None:
        """Waits for a slot.

        Raises:
            exchange.CallFailed: The call was refused.
        """
        turn = asyncio.get_running_loop().create_future()
        self._turns[waiter.number] = turn
        try:
            now = time.monotonic()
            self._settle(queue.offer(waiter, now))
            if not turn.done():
                hold_s = queue.hold_s(waiter.kind)
                limit = call_queue.give_up_at(waiter, hold_s, now)
                await futures.wait(turn, limit)
            has_slot = turn.result()
        except TimeoutError:
            has_slot = False
        finally:
            del self._turns[waiter.number]
        if not has_slot:
            raise self._refusal(request, "the call cannot be served in time")

    def _settle(self, outcome: call_queue.Outcome) -> None:
        """Tells waiting calls what was decided about them."""
        for waiter in outcome.started:
            self._decide(waiter, True)
        for waiter in outcome.refused:
            self._decide(waiter, False)

    def _decide(self, waiter: call_queue.Waiter, has_slot: bool) -> None:
        turn = self._turns[waiter.number]
        if not turn.done():
            turn.set_result(has_slot)

    def _request_id(self, request: exchange.Request) -> bytes:
        for header in request.open.headers:
            if header.name == self._header_names.request_id:
                return header.value
        return b""

    def _refusal(
        self, request: exchange.Request, text: str
    ) -> exchange.CallFailed:
        load = self.load
        self._log.record(
            logevents.UpstreamRefused(
                request=self._request_id(request).decode("latin-1"),
                reason=text,
                running=load.running,
                queued=load.queued,
                slots=load.limit,
                hold_ms=round(load.service_us / 1000, 1),
            )
        )
        wait_ms = int(self._queue.wait_s() * 1000)
        failure = exchange.not_run(errorcodes.CALL_OVERLOADED, text, wait_ms)
        failure.load = load
        return failure

    async def _exchange(
        self,
        client: client_module.Client,
        upstream: heartbeats.Upstream,
        request: exchange.Request,
    ) -> messages.AnswerOpen:
        sent = self._upstream_request(upstream, request)
        try:
            response = await client.exchange(sent, request.deadline)
        except client_module.NotSentError as error:
            failure = self._refusal(request, str(error))
            failure.code = errorcodes.CALL_NO_UPSTREAM
            raise failure from error
        except client_module.BrokenError as error:
            failure = exchange.unknown(
                str(error), errorcodes.CALL_UPSTREAM_FAILED
            )
            failure.load = self.load
            raise failure from error
        except TimeoutError as error:
            text = "the deadline passed while the call ran"
            raise exchange.unknown(text, errorcodes.CALL_DEADLINE) from error
        return self._answer(request, response)

    def _upstream_request(
        self, upstream: heartbeats.Upstream, request: exchange.Request
    ) -> http_messages.Request:
        opened = request.open
        left_ms = int((request.deadline - time.monotonic()) * 1000)
        instance = upstream.heartbeat.instance.encode()
        headers = [
            *((header.name, header.value) for header in opened.headers),
            (self._header_names.deadline_ms, b"%d" % max(1, left_ms)),
            (self._header_names.expected_instance, instance),
        ]
        if opened.body or opened.method not in ("GET", "HEAD"):
            headers.append((b"content-length", b"%d" % len(opened.body)))
        return http_messages.Request(
            opened.method, opened.target, tuple(headers), opened.body
        )

    def _answer(
        self, request: exchange.Request, response: http_messages.Response
    ) -> messages.AnswerOpen:
        """Turns a response into an answer.

        Raises:
            exchange.CallFailed: The upstream did not run the call, or the
                response does not prove that it did.
        """
        if response.status == 421 or response.header(
            self._header_names.not_run
        ):
            failure = exchange.not_run(
                errorcodes.CALL_UPSTREAM_REFUSED,
                f"the upstream refused the call with {response.status}",
            )
            failure.load = self.load
            raise failure
        is_success = 200 <= response.status < 300
        if is_success and not response.header(self._header_names.seal):
            text = "the response of the upstream bears no seal"
            raise exchange.unknown(text, errorcodes.CALL_UPSTREAM_FAILED)
        kept = http_messages.end_to_end(response.headers)
        return messages.AnswerOpen(
            call_id=request.open.call_id,
            status=response.status,
            headers=tuple(messages.Header(*header) for header in kept),
            body=response.body,
            last=True,
        )


async def _receive_body(request: exchange.Request) -> exchange.Request:
    """Returns a call that has a slot with its whole body.

    Raises:
        exchange.CallFailed: The body did not come whole; the call did not run.
    """
    if request.body is None:
        return request
    left_s = max(0.0, request.deadline - time.monotonic())
    try:
        with anyio.fail_after(left_s):
            pieces = [piece async for piece in request.body]
    except TimeoutError as error:
        text = "the deadline passed before the whole body came"
        raise exchange.not_run(errorcodes.CALL_DEADLINE, text) from error
    except exchange.CallFailed as failure:
        raise exchange.not_run(failure.code, failure.message) from failure
    opened = request.open._replace(body=b"".join(pieces), last=True)
    return request._replace(open=opened, body=None)


def _process(upstream: heartbeats.Upstream) -> tuple[str, int, util.Address]:
    told = upstream.heartbeat
    return told.instance, told.started_ms, told.address


def _identity(upstream: heartbeats.Upstream | None) -> object:
    """Returns what the peers know of an upstream."""
    if upstream is None:
        return None
    told = upstream.heartbeat
    return _process(upstream), told.service, told.slots, upstream.is_leaving
