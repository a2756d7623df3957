"""Queues calls for the upstream of this daemon and runs them on it."""

import itertools
from typing import NamedTuple

import anyio

from rattangauge import events as events_module
from rattangauge import metrics
from rattangauge import settings as settings_module
from rattangauge.calls import admission
from rattangauge.calls import exchange
from rattangauge.calls import limits
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import upstream

# An upstream announces itself every second. One that sends no announcement
# for this time counts as down.
ANNOUNCEMENT_TIMEOUT_S = 3.5

# An overload has ended after this time without a refused call or a lowered
# concurrency limit.
OVERLOAD_END_S = 1.0


class _QueuedCall(NamedTuple):
    """A call that waits for a slot of the upstream.

    Attributes:
        decided: Set when the call gets a slot or is refused.
        refusals: Holds the refusal if the call is refused.
    """

    decided: anyio.Event
    refusals: list[admission.Refusal]


def _to_microseconds(seconds: float) -> int:
    return min(int(seconds * 1e6), 2**32 - 1)


def _not_run(
    call_open: messages.CallOpen, code: str, text: str, retry_after_ms: int = 0
) -> exchange.CallFailed:
    failure = exchange.not_run(code, text, retry_after_ms)
    failure.allowance = call_open.allowance
    return failure


class LocalUpstream:
    """The upstream of this daemon, with the queue of calls for it."""

    def __init__(
        self, settings: settings_module.Settings, events: events_module.Events
    ) -> None:
        """Creates the queue; no upstream has announced itself yet."""
        self._settings = settings
        self._events = events
        self._client: upstream.Client | None = None
        self._announcement: upstream.Announcement | None = None
        self._announced_at = 0.0
        self._admission: admission.AdmissionQueue | None = None
        self._queued_calls: dict[int, _QueuedCall] = {}
        self._ticket_numbers = itertools.count(1)
        self._draining = False
        self._overloaded_at: dict[str, float] = {}

    @property
    def announcement(self) -> upstream.Announcement | None:
        """Last announcement of the upstream, or None before the first one."""
        return self._announcement

    @property
    def state(self) -> messages.UpstreamState:
        """State of the upstream, from its announcements and their age."""
        if self._announcement is None:
            return messages.UpstreamState.ABSENT
        if self._draining:
            return messages.UpstreamState.DRAINING
        age = anyio.current_time() - self._announced_at
        if age > ANNOUNCEMENT_TIMEOUT_S:
            return messages.UpstreamState.DOWN
        return self._announcement.state

    @property
    def load(self) -> messages.Load:
        """Calls that this daemon runs and queues, with the limit for them."""
        queue = self._admission
        if queue is None:
            return messages.Load(state=self.state)
        return messages.Load(
            running=queue.running,
            queued=queue.queued,
            limit=queue.limit.value(anyio.current_time()),
            service_us=_to_microseconds(queue.limit.service_s),
            state=self.state,
        )

    async def announce(self, announcement: upstream.Announcement) -> None:
        """Stores an announcement and applies it to the queue and the client.

        The concurrency limit restarts from its minimum when the upstream was
        not serving before. The client is replaced when the address changes.
        """
        now = anyio.current_time()
        was_serving = self.state == messages.UpstreamState.SERVING
        self._announced_at = now
        old, self._announcement = self._announcement, announcement
        if self._admission is None:
            self._admission = self._create_admission(announcement.slots, now)
        if not was_serving:
            self._admission.limit = limits.Limit(announcement.slots, now)
        elif old is not None and old.slots != announcement.slots:
            self._admission.limit.set_slots(announcement.slots)
        if old is None or old.address != announcement.address:
            if self._client is not None:
                await self._client.aclose()
            self._client = upstream.Client(announcement)
        if announcement.state == messages.UpstreamState.DRAINING:
            self._notify_queued_calls(self._admission.drain(now))
        elif not self._draining:
            self._admission.resume()
        self._notify_queued_calls(self._admission.advance(now))
        metrics.observe_load(self.load)
        self._record_recovery(now)

    def drain(self) -> None:
        """Refuses queued and later calls with the outcome "not run"."""
        self._draining = True
        if self._admission is not None:
            self._notify_queued_calls(
                self._admission.drain(anyio.current_time())
            )

    async def run(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Runs a call on the upstream once it has a free slot.

        Raises:
            exchange.CallFailed: The call was refused, or the upstream gave no
                complete response. The failure holds the present load.
        """
        try:
            await self._admit_and_run(request, respond)
        except exchange.CallFailed as failure:
            failure.load = self.load
            raise

    async def _admit_and_run(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Runs a call after waiting for a slot, and frees the slot.

        Raises:
            exchange.CallFailed: The call was refused, or the upstream gave no
                complete response.
        """
        client, queue = self._client, self._admission
        call_open = request.open
        if client is None or queue is None:
            code = errorcodes.CALL_NO_UPSTREAM
            raise _not_run(
                call_open,
                code,
                "the daemon has no upstream",
            )
        ticket = admission.SlotRequest(
            next(self._ticket_numbers),
            call_open.tenant,
            call_open.priority,
            call_open.call_class == messages.CallClass.LONG,
            request.deadline,
        )
        arrived = began = anyio.current_time()
        try:
            outcome = queue.offer(ticket, arrived)
            if ticket not in outcome.started:
                await self._wait_for_slot(call_open, ticket, outcome)
                began = anyio.current_time()
            metrics.observe_queue(call_open, began - arrived)
            await self._run_admitted(client, request, respond, ticket)
        finally:
            queue.withdraw(ticket)
            now = anyio.current_time()
            self._notify_queued_calls(queue.finish(ticket, now - began, now))

    async def _run_admitted(
        self,
        client: upstream.Client,
        request: exchange.Request,
        respond: exchange.Respond,
        ticket: admission.SlotRequest,
    ) -> None:
        began = anyio.current_time()

        async def respond_with_load(response: exchange.Response) -> None:
            service_s = anyio.current_time() - began
            self._observe_service_time(request, ticket, service_s)
            head = response.open._replace(
                load=self.load, service_us=_to_microseconds(service_s)
            )
            await respond(response._replace(open=head))

        try:
            await client.run(request, respond_with_load)
        except exchange.CallFailed as failure:
            if failure.code == errorcodes.CALL_OVERLOADED:
                self._lower_limit_after_refusal()
            elif failure.code == errorcodes.CALL_DEADLINE:
                elapsed_s = anyio.current_time() - began
                self._observe_service_time(request, ticket, elapsed_s)
            raise

    async def _wait_for_slot(
        self,
        call_open: messages.CallOpen,
        ticket: admission.SlotRequest,
        outcome: admission.AdmissionResult,
    ) -> None:
        """Waits until a queued call gets a slot.

        Raises:
            exchange.CallFailed: The call was refused, or its deadline passed.
        """
        queued_call = self._queued_calls[ticket.number] = _QueuedCall(
            anyio.Event(), []
        )
        try:
            self._notify_queued_calls(outcome)
            with anyio.move_on_after(ticket.deadline - anyio.current_time()):
                await queued_call.decided.wait()
        finally:
            del self._queued_calls[ticket.number]
        if not queued_call.decided.is_set():
            text = "the deadline passed while the call was queued"
            raise _not_run(call_open, errorcodes.CALL_QUEUE_TIMEOUT, text)
        for refusal in queued_call.refusals:
            text = "the upstream is shutting down"
            if refusal.code != errorcodes.CALL_DRAINING:
                text = "the call cannot finish in time at the present rate"
                self._record_overload(
                    "overload", "overload begins", text, refusal.code
                )
            raise _not_run(
                call_open, refusal.code, text, refusal.retry_after_ms
            )

    def _notify_queued_calls(self, outcome: admission.AdmissionResult) -> None:
        """Wakes the queued calls that got a slot or were refused."""
        for ticket in outcome.started:
            self._queued_calls[ticket.number].decided.set()
        for refusal in outcome.refused:
            queued_call = self._queued_calls[refusal.ticket.number]
            queued_call.refusals.append(refusal)
            queued_call.decided.set()

    def _observe_service_time(
        self,
        request: exchange.Request,
        ticket: admission.SlotRequest,
        service_s: float,
    ) -> None:
        metrics.observe_service(request.open, service_s)
        # The service time of long calls and of calls with a streamed body
        # depends on the caller, so it says nothing about overload.
        if ticket.is_long or not request.open.last or self._admission is None:
            return
        limit = self._admission.limit
        now = anyio.current_time()
        if limit.observe(service_s, self._admission.running, now):
            self._record_limit_cut(limit, now)

    def _lower_limit_after_refusal(self) -> None:
        assert self._admission is not None
        limit = self._admission.limit
        now = anyio.current_time()
        if limit.refused(now):
            self._record_limit_cut(limit, now)

    def _record_limit_cut(self, limit: limits.Limit, now: float) -> None:
        reason = (
            f"calls take {limit.service_s * 1000:.1f} ms, "
            f"{limit.baseline_s * 1000:.1f} ms without overload"
        )
        self._record_overload(
            "limit", f"limit cut to {limit.value(now)}", reason
        )

    def _record_overload(
        self, kind: str, action: str, reason: str, code: str = ""
    ) -> None:
        """Records an event at the first sign of an overload.

        Later signs of the same kind only extend the overload.
        """
        is_new = kind not in self._overloaded_at
        self._overloaded_at[kind] = anyio.current_time()
        if is_new:
            subject = f"instance {self._settings.instance.name}"
            self._events.record(subject, action, reason, code)

    def _record_recovery(self, now: float) -> None:
        for kind, last_at in list(self._overloaded_at.items()):
            if now - last_at < OVERLOAD_END_S:
                continue
            del self._overloaded_at[kind]
            action = "overload ends" if kind == "overload" else "limit recovers"
            subject = f"instance {self._settings.instance.name}"
            reason = f"{now - last_at:.1f} s without another one"
            self._events.record(subject, action, reason)

    def _create_admission(
        self, slots: int, now: float
    ) -> admission.AdmissionQueue:
        calls = self._settings.calls
        limit = limits.Limit(slots, now)
        return admission.AdmissionQueue(limit, calls.queue, calls.short_share)
