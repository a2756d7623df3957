"""Runs calls on the upstream beside the daemon."""

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

# Announcements come each second; after this time the upstream is down.
ANNOUNCEMENT_TIMEOUT_S = 3.5

# Overload has ended after this time without a refusal or a cut.
CALM_S = 1.0


class _Waiter(NamedTuple):
    """A queued call: ``decided`` is set when it starts or is refused."""

    decided: anyio.Event
    refusals: list[admission.Refusal]


def _microseconds(seconds: float) -> int:
    return min(int(seconds * 1e6), 2**32 - 1)


def _refused(
    opened: messages.CallOpen, code: str, text: str, retry_after_ms: int = 0
) -> exchange.CallFailed:
    failure = exchange.not_run(code, text, retry_after_ms)
    failure.allowance = opened.allowance
    return failure


class Worker:
    """The upstream of this daemon and the calls that run on it."""

    def __init__(
        self, settings: settings_module.Settings, events: events_module.Events
    ) -> None:
        """Creates a worker without an upstream."""
        self._settings = settings
        self._events = events
        self._client: upstream.Client | None = None
        self._announcement: upstream.Announcement | None = None
        self._announced_at = 0.0
        self._admission: admission.Admission | None = None
        self._waiting: dict[int, _Waiter] = {}
        self._numbers = itertools.count(1)
        self._draining = False
        self._strained_at: dict[str, float] = {}

    @property
    def announcement(self) -> upstream.Announcement | None:
        """Last announcement of the upstream."""
        return self._announcement

    @property
    def state(self) -> messages.UpstreamState:
        """State of the upstream."""
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
        """Load of the upstream as this daemon sees it."""
        queue = self._admission
        if queue is None:
            return messages.Load(state=self.state)
        return messages.Load(
            running=queue.running,
            queued=queue.queued,
            limit=queue.limit.value(anyio.current_time()),
            service_us=_microseconds(queue.limit.service_s),
            state=self.state,
        )

    async def announce(self, announcement: upstream.Announcement) -> None:
        """Takes an announcement of the upstream."""
        now = anyio.current_time()
        was_serving = self.state == messages.UpstreamState.SERVING
        self._announced_at = now
        old, self._announcement = self._announcement, announcement
        if self._admission is None:
            self._admission = self._new_admission(announcement.slots, now)
        if not was_serving:
            self._admission.limit = limits.Limit(announcement.slots, now)
        elif old is not None and old.slots != announcement.slots:
            self._admission.limit.set_slots(announcement.slots)
        if old is None or old.address != announcement.address:
            if self._client is not None:
                await self._client.aclose()
            self._client = upstream.Client(announcement)
        if announcement.state == messages.UpstreamState.DRAINING:
            self._settle(self._admission.drain(now))
        elif not self._draining:
            self._admission.resume()
        self._settle(self._admission.advance(now))
        metrics.observe_load(self.load)
        self._note_calm(now)

    def drain(self) -> None:
        """Takes no more work and returns the queued calls as "not run"."""
        self._draining = True
        if self._admission is not None:
            self._settle(self._admission.drain(anyio.current_time()))

    async def run(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Runs a call on the upstream.

        Raises:
            exchange.CallFailed: There is no whole answer.
        """
        try:
            await self._admit_and_run(request, respond)
        except exchange.CallFailed as failure:
            failure.load = self.load
            raise

    async def _admit_and_run(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Holds a slot, waiting for it as long as needed, and runs a call."""
        client, queue = self._client, self._admission
        opened = request.open
        if client is None or queue is None:
            code = errorcodes.CALL_NO_UPSTREAM
            raise _refused(opened, code, "the daemon has no upstream")
        ticket = admission.Ticket(
            next(self._numbers),
            opened.tenant,
            opened.priority,
            opened.call_class == messages.CallClass.LONG,
            request.deadline,
        )
        arrived = began = anyio.current_time()
        try:
            outcome = queue.offer(ticket, arrived)
            if ticket not in outcome.started:
                await self._wait(opened, ticket, outcome)
                began = anyio.current_time()
            metrics.observe_queue(opened, began - arrived)
            await self._run_admitted(client, request, respond, ticket)
        finally:
            queue.withdraw(ticket)
            now = anyio.current_time()
            self._settle(queue.finish(ticket, now - began, now))

    async def _run_admitted(
        self,
        client: upstream.Client,
        request: exchange.Request,
        respond: exchange.Respond,
        ticket: admission.Ticket,
    ) -> None:
        began = anyio.current_time()

        async def respond_with_load(response: exchange.Response) -> None:
            seconds = anyio.current_time() - began
            self._observe(request, ticket, seconds)
            head = response.open._replace(
                load=self.load, service_us=_microseconds(seconds)
            )
            await respond(response._replace(open=head))

        try:
            await client.run(request, respond_with_load)
        except exchange.CallFailed as failure:
            if failure.code == errorcodes.CALL_OVERLOADED:
                self._note_shed()
            elif failure.code == errorcodes.CALL_DEADLINE:
                elapsed = anyio.current_time() - began
                self._observe(request, ticket, elapsed)
            raise

    async def _wait(
        self,
        opened: messages.CallOpen,
        ticket: admission.Ticket,
        outcome: admission.Outcome,
    ) -> None:
        """Waits for a slot.

        Raises:
            exchange.CallFailed: The call was refused.
        """
        waiter = self._waiting[ticket.number] = _Waiter(anyio.Event(), [])
        try:
            self._settle(outcome)
            with anyio.move_on_after(ticket.deadline - anyio.current_time()):
                await waiter.decided.wait()
        finally:
            del self._waiting[ticket.number]
        if not waiter.decided.is_set():
            text = "the deadline passed while the call was queued"
            raise _refused(opened, errorcodes.CALL_QUEUE_TIMEOUT, text)
        for refusal in waiter.refusals:
            text = "the upstream is shutting down"
            if refusal.code != errorcodes.CALL_DRAINING:
                text = "the call cannot finish in time at the present rate"
                self._note("overload", "overload begins", text, refusal.code)
            raise _refused(opened, refusal.code, text, refusal.retry_after_ms)

    def _settle(self, outcome: admission.Outcome) -> None:
        """Tells waiting calls what was decided about them."""
        for ticket in outcome.started:
            self._waiting[ticket.number].decided.set()
        for refusal in outcome.refused:
            waiter = self._waiting[refusal.ticket.number]
            waiter.refusals.append(refusal)
            waiter.decided.set()

    def _observe(
        self,
        request: exchange.Request,
        ticket: admission.Ticket,
        seconds: float,
    ) -> None:
        metrics.observe_service(request.open, seconds)
        # The time of other calls depends on how fast their body comes.
        if ticket.is_long or not request.open.last or self._admission is None:
            return
        limit = self._admission.limit
        now = anyio.current_time()
        if limit.observe(seconds, self._admission.running, now):
            self._note_cut(limit, now)

    def _note_shed(self) -> None:
        assert self._admission is not None
        limit = self._admission.limit
        now = anyio.current_time()
        if limit.refused(now):
            self._note_cut(limit, now)

    def _note_cut(self, limit: limits.Limit, now: float) -> None:
        reason = (
            f"calls take {limit.service_s * 1000:.1f} ms, "
            f"{limit.baseline_s * 1000:.1f} ms without overload"
        )
        self._note("limit", f"limit cut to {limit.value(now)}", reason)

    def _note(
        self, kind: str, action: str, reason: str, code: str = ""
    ) -> None:
        """Records the beginning of a strained time, not each part of it."""
        is_new = kind not in self._strained_at
        self._strained_at[kind] = anyio.current_time()
        if is_new:
            subject = f"instance {self._settings.instance.name}"
            self._events.record(subject, action, reason, code)

    def _note_calm(self, now: float) -> None:
        for kind, since in list(self._strained_at.items()):
            if now - since < CALM_S:
                continue
            del self._strained_at[kind]
            action = "overload ends" if kind == "overload" else "limit recovers"
            subject = f"instance {self._settings.instance.name}"
            reason = f"{now - since:.1f} s without another one"
            self._events.record(subject, action, reason)

    def _new_admission(self, slots: int, now: float) -> admission.Admission:
        calls = self._settings.calls
        limit = limits.Limit(slots, now)
        return admission.Admission(limit, calls.queue, calls.short_share)
