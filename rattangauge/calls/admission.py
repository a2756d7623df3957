"""Admits, queues or refuses the calls of one upstream.

The queue answers three kinds of overload: more calls than the upstream can
run, one tenant with many more calls than the others, and long calls that
would take all slots. A call that is not expected to be served by its deadline
is refused at once.
"""

import collections
from typing import NamedTuple

from rattangauge.calls import limits
from rattangauge.generated import errorcodes

# Service times to assume before any is known.
DEFAULT_SHORT_SERVICE_S = 0.005
DEFAULT_LONG_SERVICE_S = 1.0

# Weight of a new service time in the moving average of the long calls.
LONG_SERVICE_WEIGHT = 0.2

# Shortest time after which a refused call may be repeated.
MIN_RETRY_AFTER_MS = 10


class SlotRequest(NamedTuple):
    """A call that needs a slot.

    Attributes:
        number: Identifies the ticket; unique at one upstream.
        tenant: Tenant of the call.
        priority: 0 to 9; 9 is refused last.
        is_long: Whether the call is a long one; long calls have fewer slots.
        deadline: Time by which the call must be answered, in seconds.
    """

    number: int
    tenant: str
    priority: int
    is_long: bool
    deadline: float


class Refusal(NamedTuple):
    """A ticket that is refused a slot.

    Attributes:
        ticket: The refused ticket.
        code: Error code of the refusal.
        retry_after_ms: Time after which the call may be repeated, in
            milliseconds.
    """

    ticket: SlotRequest
    code: str
    retry_after_ms: int


class AdmissionResult(NamedTuple):
    """Result of one operation on the queue.

    Attributes:
        started: Tickets that got a slot.
        refused: Tickets that were refused.
    """

    started: tuple[SlotRequest, ...] = ()
    refused: tuple[Refusal, ...] = ()


# Tenant, and whether the calls are long.
_QueueKey = tuple[str, bool]


class AdmissionQueue:
    """Slots and queue of one upstream.

    The next slot goes to the tenant that has used the least service time
    (stride scheduling). Long calls may use only a part of the slots and of the
    queue.

    All times are in seconds, on the clock of the caller of the methods.

    Attributes:
        limit: Concurrency limit of the upstream.
    """

    def __init__(
        self, limit: limits.Limit, queue: int, short_share: float
    ) -> None:
        """Creates an empty queue.

        Args:
            limit: Concurrency limit of the upstream.
            queue: Largest number of calls that may wait.
            short_share: Share of the slots and of the queue that long calls
                may not take.
        """
        self.limit = limit
        self._max_queued = queue
        self._short_share = short_share
        self._running: dict[int, SlotRequest] = {}
        self._long_running_count = 0
        self._queues: dict[_QueueKey, collections.deque[SlotRequest]] = {}
        self._queued_counts = {False: 0, True: 0}
        # Service time that each tenant has used, in seconds, and the highest
        # of these at which a call was started. A tenant that is new or was idle
        # starts from at least the latter. Otherwise it could take all slots to
        # make up for the time in which it had no calls.
        self._used_s: dict[str, float] = {}
        self._min_used_s = 0.0
        self._long_service_s = DEFAULT_LONG_SERVICE_S
        self._is_draining = False

    @property
    def running(self) -> int:
        """Calls that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return self._queued_counts[False] + self._queued_counts[True]

    def long_slots(self, now: float) -> int:
        """Returns the number of slots that long calls may use."""
        limit = self.limit.value(now)
        share = int(limit * (1.0 - self._short_share))
        return max(1, min(share, limit - 1))

    def offer(self, ticket: SlotRequest, now: float) -> AdmissionResult:
        """Starts, queues or refuses a new ticket.

        If the queue is full, the new ticket may displace a waiting one, which
        is then refused.
        """
        if self._is_draining:
            return AdmissionResult(
                refused=(self._refusal(ticket, now, draining=True),)
            )
        if not self._queued_counts[ticket.is_long] and self._has_slot(
            ticket, now
        ):
            return AdmissionResult(started=(self._start(ticket),))
        wait_s = self.expected_wait_s(ticket.is_long, now)
        needed_s = wait_s + self._min_service_s(ticket.is_long)
        if now + needed_s > ticket.deadline:
            return AdmissionResult(refused=(self._refusal(ticket, now),))
        if self._fits_in_queue(ticket):
            self._enqueue(ticket)
            return AdmissionResult()
        displaced = self._find_displaced(ticket)
        if displaced is not None:
            self._remove(displaced)
            self._enqueue(ticket)
        return AdmissionResult(
            refused=(self._refusal(displaced or ticket, now),)
        )

    def finish(
        self, ticket: SlotRequest, seconds: float, now: float
    ) -> AdmissionResult:
        """Frees the slot of a ticket and starts those that wait.

        Args:
            ticket: A ticket that was started; others are ignored.
            seconds: Time for which it held the slot.
            now: Time.
        """
        if self._running.pop(ticket.number, None) is None:
            return AdmissionResult()
        if ticket.is_long:
            self._long_running_count -= 1
            self._long_service_s += LONG_SERVICE_WEIGHT * (
                seconds - self._long_service_s
            )
        # The expected service time was charged at the start; only what
        # exceeds it is added here.
        self._charge(
            ticket, max(0.0, seconds - self._service_s(ticket.is_long))
        )
        return self.advance(now)

    def withdraw(self, ticket: SlotRequest) -> None:
        """Removes a ticket from the queue, if it waits there."""
        if ticket in self._queues.get((ticket.tenant, ticket.is_long), ()):
            self._remove(ticket)

    def advance(self, now: float) -> AdmissionResult:
        """Starts waiting tickets while there are free slots.

        It refuses those that can no longer end by their deadline.
        """
        started: list[SlotRequest] = []
        refused: list[Refusal] = []
        for is_long in (False, True):
            while self._queued_counts[is_long]:
                ticket = self._next_ticket(is_long)
                if now > ticket.deadline - self._min_service_s(is_long):
                    self._remove(ticket)
                    refused.append(self._refusal(ticket, now))
                elif self._has_slot(ticket, now):
                    self._remove(ticket)
                    started.append(self._start(ticket))
                else:
                    break
        return AdmissionResult(tuple(started), tuple(refused))

    def drain(self, now: float) -> AdmissionResult:
        """Refuses all waiting tickets and all that are offered from now on."""
        self._is_draining = True
        waiting = [t for queue in self._queues.values() for t in queue]
        for ticket in waiting:
            self._remove(ticket)
        refusals = (self._refusal(t, now, draining=True) for t in waiting)
        return AdmissionResult(refused=tuple(refusals))

    def resume(self) -> None:
        """Admits tickets again after ``drain``."""
        self._is_draining = False

    def expected_wait_s(self, is_long: bool, now: float) -> float:
        """Returns how long a new ticket of a class would wait, in seconds.

        The estimate assumes the present service time and number of slots.
        """
        slots = self.limit.value(now)
        slots = (
            self.long_slots(now)
            if is_long
            else slots - self._long_running_count
        )
        ahead = self._queued_counts[is_long] + 1
        return ahead * self._service_s(is_long) / max(1, slots)

    def _service_s(self, is_long: bool) -> float:
        if is_long:
            return self._long_service_s
        return self.limit.service_s or DEFAULT_SHORT_SERVICE_S

    def _min_service_s(self, is_long: bool) -> float:
        """Returns the time that must be left to start a call, in seconds.

        It is 0 for long calls, whose service times differ too much for an
        estimate.
        """
        return 0.0 if is_long else self._service_s(is_long)

    def _has_slot(self, ticket: SlotRequest, now: float) -> bool:
        """Tells whether a slot is free for a ticket of its class."""
        limit = self.limit.value(now)
        running = len(self._running)
        if ticket.is_long:
            return (
                running < limit
                and self._long_running_count < self.long_slots(now)
            )
        if running < limit:
            return True
        # If the limit is lowered while long calls run, they may hold more slots
        # than it allows. Short calls still get the slots reserved for them.
        reserved = max(1, limit - self.long_slots(now))
        short_running = running - self._long_running_count
        return short_running < reserved and running < self.limit.slots

    def _fits_in_queue(self, ticket: SlotRequest) -> bool:
        """Tells whether the queue has room for a ticket of its class."""
        if self.queued >= self._max_queued:
            return False
        if not ticket.is_long:
            return True
        max_long = max(1, int(self._max_queued * (1.0 - self._short_share)))
        return self._queued_counts[True] < max_long

    def _start(self, ticket: SlotRequest) -> SlotRequest:
        """Gives a slot to a ticket and charges its tenant for it.

        The expected service time is charged at the start. Otherwise a tenant
        could take all free slots before its first call ends.
        """
        self._running[ticket.number] = ticket
        self._long_running_count += ticket.is_long
        self._min_used_s = max(
            self._min_used_s, self._used_s.get(ticket.tenant, 0.0)
        )
        self._charge(ticket, self._service_s(ticket.is_long))
        return ticket

    def _charge(self, ticket: SlotRequest, seconds: float) -> None:
        """Adds service time to what the tenant of a ticket has used."""
        used_s = max(self._used_s.get(ticket.tenant, 0.0), self._min_used_s)
        self._used_s[ticket.tenant] = used_s + seconds
        if len(self._used_s) > 4 * self._max_queued + 64:
            self._forget_idle()

    def _forget_idle(self) -> None:
        """Removes tenants without waiting calls that count as new ones anyway.

        This bounds the number of tenants whose used service time is stored.
        """
        waiting = {tenant for tenant, _ in self._queues}
        for tenant in self._used_s.keys() - waiting:
            if self._used_s[tenant] <= self._min_used_s:
                del self._used_s[tenant]

    def _enqueue(self, ticket: SlotRequest) -> None:
        key = ticket.tenant, ticket.is_long
        self._queues.setdefault(key, collections.deque()).append(ticket)
        self._queued_counts[ticket.is_long] += 1
        used_s = self._used_s.get(ticket.tenant, 0.0)
        self._used_s[ticket.tenant] = max(used_s, self._min_used_s)

    def _remove(self, ticket: SlotRequest) -> None:
        key = ticket.tenant, ticket.is_long
        self._queues[key].remove(ticket)
        self._queued_counts[ticket.is_long] -= 1
        if not self._queues[key]:
            del self._queues[key]

    def _next_ticket(self, is_long: bool) -> SlotRequest:
        """Returns the next ticket of a class to start.

        It is the first one of the tenant that has used the least service time.
        """
        tenants = (t for t, long_queue in self._queues if long_queue == is_long)
        least_served = min(tenants, key=lambda t: self._used_s.get(t, 0.0))
        return self._queues[least_served, is_long][0]

    def _find_displaced(self, ticket: SlotRequest) -> SlotRequest | None:
        """Returns the waiting ticket that a new one displaces, if any.

        Of the waiting tickets with the lowest priority, it is the last one in
        the longest queue of a tenant and class. It must have a lower priority
        than the new ticket. If the priorities are the same, its queue must be
        longer than the one of the new ticket by at least two. A long ticket
        displaces only long ones.
        """
        waiting = [
            (other.priority, -len(queue), -index, other)
            for (_, is_long), queue in self._queues.items()
            if is_long or not ticket.is_long
            for index, other in enumerate(queue)
        ]
        if not waiting:
            return None
        displaced = min(waiting)[-1]
        if displaced.priority != ticket.priority:
            return displaced if displaced.priority < ticket.priority else None
        own = self._queues.get((ticket.tenant, ticket.is_long), ())
        theirs = self._queues[displaced.tenant, displaced.is_long]
        return displaced if len(theirs) > len(own) + 1 else None

    def _refusal(
        self, ticket: SlotRequest, now: float, draining: bool = False
    ) -> Refusal:
        if draining:
            return Refusal(ticket, errorcodes.CALL_DRAINING, MIN_RETRY_AFTER_MS)
        wait_ms = int(self.expected_wait_s(ticket.is_long, now) * 1000)
        code = errorcodes.CALL_OVERLOADED
        if now >= ticket.deadline:
            code = errorcodes.CALL_QUEUE_TIMEOUT
        return Refusal(ticket, code, max(MIN_RETRY_AFTER_MS, wait_ms))
