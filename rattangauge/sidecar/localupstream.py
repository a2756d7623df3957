"""Runs calls on the upstream of the same instance.

Calls wait in the daemon for a free slot, because the upstream must never get
more requests at a time than it announces.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import time

import anyio

from rattangauge import decisionlog
from rattangauge import metrics
from rattangauge import receivememory
from rattangauge import settings as settings_module
from rattangauge.calls import answer_sizes
from rattangauge.calls import call_queue
from rattangauge.calls import exchange
from rattangauge.calls import transfer_schedule
from rattangauge.generated import errorcodes
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.http import client as client_module
from rattangauge.http import messages as http_messages
from rattangauge.membership import heartbeats
from rattangauge.sidecar import bodyreceptions
from rattangauge.sidecar import headernames
from rattangauge.sidecar import linkpacer
from rattangauge.sidecar import receivebudget
from rattangauge.sidecar import rolloutanswers
from rattangauge.sidecar import slotwaiters
from rattangauge.sidecar import upstreamhttp
from rattangauge.sidecar import upstreamrate

# Longest queue, in calls for each slot of the upstream.
MAX_QUEUED_PER_SLOT = 4
# Longest time of the network link in a load report.
MAX_LINK_US = 2**32 - 1

# Waits for room for an answer, until a deadline at most.
_WaitForRoom = Callable[[float], Awaitable[None]]


async def _no_wait(_deadline: float) -> None:
    """Waits for nothing."""


class LocalUpstream:
    """The upstream of the daemon's instance, with its slots and its queue."""

    def __init__(
        self,
        settings: settings_module.Settings,
        header_names: headernames.HeaderNames,
        memory: receivememory.ReceiveMemory,
        link_pacer: linkpacer.LinkPacer,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the state before the first heartbeat of an upstream.

        Args:
            settings: Settings of the daemon.
            header_names: Names of the HTTP headers of the platform.
            memory: Memory of all messages that have been received in part.
            link_pacer: Network link that answers to other daemons take.
            log: Log of decisions.
        """
        self._receive_budget = receivebudget.ReceiveBudget(
            settings.instance.link_mbps
        )
        self._link_pacer = link_pacer
        self._answer_sizes = answer_sizes.AnswerSizes()
        self._receptions = bodyreceptions.BodyReceptions(settings.instance)
        self._header_names = header_names
        self._memory = memory
        self._log = log
        self._record = heartbeats.UpstreamRecord()
        self._client: client_module.Client | None = None
        self._queue = call_queue.Queue(0, 0)
        self._named_rate = upstreamrate.NamedRate("")
        self._slot_waiters = slotwaiters.SlotWaiters(lambda: self._queue)
        self._call_numbers = itertools.count(1)
        # Names of the tenants of the requests that run, by id of the request.
        self._running_tenants: dict[bytes, str] = {}
        self._answer_counts = rolloutanswers.AnswerCounts()
        self._is_stopping = False
        self._reported_change = anyio.Event()

    @property
    def upstream(self) -> heartbeats.Upstream | None:
        """Last known state of the upstream; None before its first heartbeat."""
        return self._record.upstream

    @property
    def last_departure(self) -> heartbeats.Departure | None:
        """See ``heartbeats.UpstreamRecord.last_departure``."""
        return self._record.last_departure

    @property
    def state(self) -> messages.UpstreamState:
        """State of the upstream, as reported to peers."""
        if self.upstream is None:
            return messages.UpstreamState.ABSENT
        if self.upstream.is_leaving or self._is_stopping:
            return messages.UpstreamState.DRAINING
        return messages.UpstreamState.SERVING

    @property
    def load(self) -> messages.Load:
        """Load of the upstream, as reported to peers."""
        hold_s = self._queue.measured_hold_s(time.monotonic())
        return messages.Load(
            running=self._queue.running,
            queued=self._queue.queued,
            limit=self._queue.concurrency,
            service_us=int(hold_s * 1e6),
            state=self.state,
            link_us=min(MAX_LINK_US, int(self._link_pacer.backlog_s * 1e6)),
        )

    def _load_for(self, request: exchange.Request) -> messages.Load:
        """Returns the load, with the hold time of the call's route added."""
        route_hold_s = self._queue.hold_s(request.open.route)
        return self.load._replace(kind_us=int(route_hold_s * 1e6))

    @property
    def answer_counts(self) -> rolloutanswers.AnswerCounts:
        """Counts of the answers during a roll-out of the service."""
        return self._answer_counts

    @property
    def running(self) -> int:
        """Number of calls that run on the upstream or wait for a slot."""
        return self._queue.running + self._queue.queued

    def is_running(self, request_id: bytes) -> bool:
        """Tells whether the upstream is running a request; none without id."""
        return bool(request_id) and request_id in self._running_tenants

    def running_tenant(self, request_id: bytes) -> str:
        """Returns the tenant of a request that runs; empty if it has none."""
        return self._running_tenants.get(request_id, "")

    async def wait_reported_change(self) -> None:
        """Waits until something changes that peers must learn at once."""
        await self._reported_change.wait()

    def apply_heartbeat(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Updates the state of the upstream from its heartbeat."""
        before = self.upstream
        self._record.apply_heartbeat(heartbeat, time.monotonic())
        self._follow_record(before)

    def apply_departure(self, departure: heartbeats.Departure) -> None:
        """Updates the state of the upstream after its departure notice."""
        before = self.upstream
        self._record.apply_departure(departure)
        self._follow_record(before)

    def _follow_record(self, previous: heartbeats.Upstream | None) -> None:
        """Adapts queue and connections to the state of the upstream.

        Args:
            previous: State before the last announcement.
        """
        current = self.upstream
        if current is None or current is previous:
            return
        heartbeat = current.heartbeat
        if heartbeats.reported_properties(
            previous
        ) != heartbeats.reported_properties(current):
            self._record_change(heartbeat)
            self._reported_change.set()
            self._reported_change = anyio.Event()
        is_new = previous is None or heartbeats.process_of(
            previous
        ) != heartbeats.process_of(current)
        if is_new:
            self._reset_queue(heartbeat)
        self._queue.set_slots(heartbeat.slots)
        was_leaving = previous is not None and previous.is_leaving
        if current.is_leaving and (is_new or not was_leaving):
            if not self._queue.is_closed:
                self._slot_waiters.resume(self._queue.close())
            self._receptions.drain()

    def _record_change(self, heartbeat: heartbeats.Heartbeat) -> None:
        self._log.record(
            logevents.UpstreamChanged(
                upstream=heartbeat.instance,
                service=heartbeat.service,
                state=self.state.name.lower(),
                sequence=heartbeat.sequence,
                slots=heartbeat.slots,
                software=heartbeat.version,
            )
        )

    def _reset_queue(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Replaces the queue and the connections for a new upstream process.

        The calls that wait for the old process are refused.
        """
        if not self._queue.is_closed:
            self._slot_waiters.resume(self._queue.close())
        self._receptions.cancel()
        self._named_rate = upstreamrate.NamedRate(heartbeat.instance)
        self._answer_counts.end()
        max_queued = MAX_QUEUED_PER_SLOT * heartbeat.slots
        self._queue = call_queue.Queue(
            heartbeat.slots, max_queued, time.monotonic()
        )
        if self._is_stopping:
            self._queue.close()
        if self._client is not None:
            self._client.close()
        self._client = client_module.Client(
            heartbeat.address, self._header_names.request_id, self._memory
        )

    def stop(self) -> None:
        """Refuses all waiting calls and all that arrive from now on."""
        self._is_stopping = True
        self._slot_waiters.resume(self._queue.close())

    async def run(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Runs a call of another daemon on the upstream; see ``execute``."""
        route = request.open.route
        transfer = self._link_pacer.plan(self._answer_sizes.expected(route))
        wait_for_room = self._link_pacer.wait_for_room
        answer = await self.execute(request, transfer, wait_for_room)
        self._answer_sizes.add(route, len(answer.body))
        with self._link_pacer.hold(answer):
            await respond(self._link_pacer.response(answer))

    async def execute(
        self,
        request: exchange.Request,
        transfer: linkpacer.Transfer = linkpacer.NO_TRANSFER,
        wait_for_room: _WaitForRoom = _no_wait,
    ) -> messages.AnswerOpen:
        """Runs a call on the upstream and returns the complete answer.

        Args:
            request: The call.
            transfer: What the network link needs for a large answer.
            wait_for_room: Waits until the deadline at most for room for the
                answer; the call holds its slot meanwhile.

        Raises:
            exchange.CallFailed: The call was refused or failed, or no complete
                answer was received.
        """
        call_open = request.open
        upstream, client, queue = self.upstream, self._client, self._queue
        if upstream is None or client is None or upstream.is_leaving:
            raise self._refuse(request, "the upstream takes no calls")
        if upstream.heartbeat.service != call_open.service:
            text = f"the upstream does not run {call_open.service}"
            raise self._refuse(request, text)
        waiter = self._make_waiter(request, transfer)
        request_id = self._request_id(request)
        enqueued_at = started_at = received_at = time.monotonic()
        status, held_s = 0, 0.0
        try:
            if not await self._slot_waiters.wait(queue, waiter):
                text = "the call cannot be served in time"
                raise self._refuse(request, text)
            started_at = time.monotonic()
            request = await self._receive_body_in_turn(request)
            received_at = time.monotonic()
            self._running_tenants[request_id] = call_open.tenant
            self._memory.pin(len(request.open.body))
            try:
                with self._link_pacer.expect(transfer.size):
                    exchanged = self._exchange(client, upstream, request)
                    answer = await self._answer_counts.measure(
                        call_open.route, upstream, exchanged
                    )
            finally:
                self._running_tenants.pop(request_id, None)
                self._memory.unpin(len(request.open.body))
            status = answer.status
            held_s = time.monotonic() - started_at
            await wait_for_room(request.deadline)
        finally:
            queue.withdraw(waiter)
            now = time.monotonic()
            self._slot_waiters.resume(queue.finish(waiter, held_s, now))
        metrics.observe_queue(call_open, started_at - enqueued_at)
        metrics.observe_service(call_open, held_s)
        self._log.record(
            logevents.UpstreamRan(
                request=request_id.decode("latin-1"),
                upstream=upstream.heartbeat.instance,
                status=status,
                waited_ms=round((started_at - enqueued_at) * 1000, 1),
                body_ms=round((received_at - started_at) * 1000, 1),
                held_ms=round(held_s * 1000, 1),
            )
        )
        return answer._replace(load=self._load_for(request))

    async def _receive_body_in_turn(
        self, request: exchange.Request
    ) -> exchange.Request:
        """Receives the body of a call when the network link has room for it.

        Raises:
            exchange.CallFailed: The body was not received completely, or the
                upstream takes no more calls. The call did not run.
        """
        if request.body is None:
            return request
        size = request.open.body_bytes
        if not self._memory.has_room(size):
            raise self._refuse(request, "the memory has no room for the body")
        try:
            with self._receptions.track(size):
                async with self._receive_budget.reserve(size, request.deadline):
                    return await upstreamhttp.receive_body(request)
        except TimeoutError as error:
            text = (
                "the deadline passed before the network had room for the body"
            )
            raise exchange.not_run(errorcodes.CALL_DEADLINE, text) from error
        raise self._refuse(request, "the upstream takes no more calls")

    def _make_waiter(
        self, request: exchange.Request, transfer: linkpacer.Transfer
    ) -> call_queue.QueuedCall:
        """Returns a call for the queue, which leaves time for its transfer.

        Raises:
            exchange.CallFailed: Its answer would wait too long for the link.
        """
        call_open = request.open
        now = time.monotonic()
        target_s = call_open.target_ms / 1000
        target_at = now + target_s - transfer.send_s if target_s else 0.0
        waiter = call_queue.QueuedCall(
            next(self._call_numbers),
            call_open.route,
            call_open.priority,
            call_open.returned,
            call_open.inner,
            target_at,
            request.deadline - transfer.send_s,
            call_open.tenant,
        )
        busy_until = now + self._queue.hold_s(waiter.kind)
        longest_s = transfer_schedule.max_wait_s(
            waiter.target_at - busy_until, waiter.deadline - busy_until
        )
        if transfer.size and transfer.wait_s > longest_s:
            raise self._refuse(request, "the network link is busy for too long")
        return waiter

    def _request_id(self, request: exchange.Request) -> bytes:
        for header in request.open.headers:
            if header.name == self._header_names.request_id:
                return header.value
        return b""

    def _refuse(
        self, request: exchange.Request, text: str
    ) -> exchange.CallFailed:
        """Logs the refusal of a call and returns it as a failure to raise."""
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
        wait_ms = int(self._queue.wait_s(time.monotonic()) * 1000)
        failure = exchange.not_run(errorcodes.CALL_OVERLOADED, text, wait_ms)
        failure.load = load
        return failure

    async def _exchange(
        self,
        client: client_module.Client,
        upstream: heartbeats.Upstream,
        request: exchange.Request,
    ) -> messages.AnswerOpen:
        """Sends a call to the upstream and returns its answer.

        Raises:
            exchange.CallFailed: No valid answer was received by the deadline.
        """
        upstream_request = upstreamhttp.make_request(
            self._header_names, upstream.heartbeat.instance, request
        )
        sent_at = time.monotonic()
        try:
            response = await client.exchange(upstream_request, request.deadline)
        except client_module.NotSentError as error:
            failure = self._refuse(request, str(error))
            failure.code = errorcodes.CALL_NO_UPSTREAM
            raise failure from error
        except client_module.NoResponseError as error:
            failure = exchange.unknown(
                str(error), errorcodes.CALL_UPSTREAM_FAILED
            )
            failure.load = self.load
            raise failure from error
        except TimeoutError as error:
            text = "the deadline passed while the call ran"
            raise exchange.unknown(text, errorcodes.CALL_DEADLINE) from error
        if upstreamhttp.is_leaving(self._header_names, response):
            before = self.upstream
            self._record.apply_leaving_notice(upstream.heartbeat)
            self._follow_record(before)
        self._follow_named_rate(upstream, response, sent_at)
        if upstreamhttp.is_refusal(self._header_names, response):
            failure = exchange.not_run(
                errorcodes.CALL_UPSTREAM_REFUSED,
                f"the upstream refused the call with {response.status}",
            )
            failure.load = self.load
            raise failure
        return upstreamhttp.make_answer(self._header_names, request, response)

    def _follow_named_rate(
        self,
        upstream: heartbeats.Upstream,
        response: http_messages.Response,
        sent_at: float,
    ) -> None:
        """Limits the rate of calls as the upstream says in a response.

        Args:
            upstream: Upstream to which the request was sent.
            response: Its response.
            sent_at: Monotonic time of the request, in seconds.
        """
        current = self.upstream
        if current is None or heartbeats.process_of(
            current
        ) != heartbeats.process_of(upstream):
            return
        if response.status == upstreamhttp.WRONG_INSTANCE_STATUS:
            return
        now = time.monotonic()
        value = response.header(self._header_names.named_rate)
        if not self._named_rate.update(value, sent_at, now):
            return
        rate_per_s = self._named_rate.rate_per_s
        self._queue.set_rate(rate_per_s, now)
        self._log.record(
            logevents.UpstreamRateChanged(
                upstream=upstream.heartbeat.instance,
                per_s=-1.0 if rate_per_s is None else rate_per_s,
                queued=self._queue.queued,
            )
        )
