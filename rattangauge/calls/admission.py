"""Admits, queues or refuses the calls of one upstream."""

import collections
from typing import NamedTuple

from rattangauge.calls import limits
from rattangauge.generated import errorcodes

# Service times that are assumed before any is known, in seconds.
DEFAULT_SHORT_S = 0.005
DEFAULT_LONG_S = 1.0
LONG_WEIGHT = 0.2

MIN_RETRY_AFTER_MS = 10


class Ticket(NamedTuple):
    """A call that wants a slot.

    Attributes:
        number: Identity of the ticket.
        tenant: Tenant of the call.
        priority: 0 to 9; 9 is refused last.
        is_long: Class of the call.
        deadline: Time by which the call must be answered, in seconds.
    """

    number: int
    tenant: str
    priority: int
    is_long: bool
    deadline: float


class Refusal(NamedTuple):
    """A ticket that leaves without a slot.

    Attributes:
        ticket: The ticket.
        code: Error code.
        retry_after_ms: Time after which a repeat makes sense.
    """

    ticket: Ticket
    code: str
    retry_after_ms: int


class Outcome(NamedTuple):
    """Tickets that got a slot and tickets that were refused."""

    started: tuple[Ticket, ...] = ()
    refused: tuple[Refusal, ...] = ()


_Key = tuple[str, bool]


class Admission:
    """Slots and queue of one upstream.

    Tenants take turns by the service time that they used (stride scheduling).
    Long calls may use only a part of the slots and of the queue.
    """

    def __init__(
        self, limit: limits.Limit, queue: int, short_share: float
    ) -> None:
        """Creates an empty queue.

        Args:
            limit: Limit of the upstream.
            queue: Calls that may wait.
            short_share: Share of the slots that long calls may not take.
        """
        self.limit = limit
        self._bound = queue
        self._short_share = short_share
        self._running: dict[int, Ticket] = {}
        self._long_running = 0
        self._queues: dict[_Key, collections.deque[Ticket]] = {}
        self._queued = {False: 0, True: 0}
        self._used: dict[str, float] = {}
        self._floor = 0.0
        self._long_s = DEFAULT_LONG_S
        self._draining = False

    @property
    def running(self) -> int:
        """Calls that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return self._queued[False] + self._queued[True]

    def long_slots(self, now: float) -> int:
        """Returns the number of slots that long calls may use."""
        limit = self.limit.value(now)
        share = int(limit * (1.0 - self._short_share))
        return max(1, min(share, limit - 1))

    def offer(self, ticket: Ticket, now: float) -> Outcome:
        """Takes a ticket: it is started, refused or queued."""
        if self._draining:
            return Outcome(refused=(self._refusal(ticket, now, draining=True),))
        if not self._queued[ticket.is_long] and self._has_slot(ticket, now):
            return Outcome(started=(self._start(ticket),))
        wait_s = self.expected_wait_s(ticket.is_long, now)
        need_s = wait_s + self._least_s(ticket.is_long)
        if now + need_s > ticket.deadline:
            return Outcome(refused=(self._refusal(ticket, now),))
        if self._has_room(ticket):
            self._enqueue(ticket)
            return Outcome()
        victim = self._victim(ticket)
        if victim is not None:
            self._remove(victim)
            self._enqueue(ticket)
        return Outcome(refused=(self._refusal(victim or ticket, now),))

    def finish(self, ticket: Ticket, seconds: float, now: float) -> Outcome:
        """Frees the slot of a ticket and starts those that wait.

        Args:
            ticket: A ticket that was started.
            seconds: Time that it held the slot.
            now: Time.
        """
        if self._running.pop(ticket.number, None) is None:
            return Outcome()
        if ticket.is_long:
            self._long_running -= 1
            self._long_s += LONG_WEIGHT * (seconds - self._long_s)
        # The expected part was charged at the start.
        self._charge(
            ticket, max(0.0, seconds - self._service_s(ticket.is_long))
        )
        return self.advance(now)

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a ticket from the queue, if it is there."""
        if ticket in self._queues.get((ticket.tenant, ticket.is_long), ()):
            self._remove(ticket)

    def advance(self, now: float) -> Outcome:
        """Starts waiting tickets while there are slots."""
        started: list[Ticket] = []
        refused: list[Refusal] = []
        for is_long in (False, True):
            while self._queued[is_long]:
                ticket = self._next(is_long)
                if now > ticket.deadline - self._least_s(is_long):
                    self._remove(ticket)
                    refused.append(self._refusal(ticket, now))
                elif self._has_slot(ticket, now):
                    self._remove(ticket)
                    started.append(self._start(ticket))
                else:
                    break
        return Outcome(tuple(started), tuple(refused))

    def drain(self, now: float) -> Outcome:
        """Refuses all waiting tickets and all that come from now on."""
        self._draining = True
        waiting = [t for queue in self._queues.values() for t in queue]
        for ticket in waiting:
            self._remove(ticket)
        refusals = (self._refusal(t, now, draining=True) for t in waiting)
        return Outcome(refused=tuple(refusals))

    def resume(self) -> None:
        """Takes tickets again after ``drain``."""
        self._draining = False

    def expected_wait_s(self, is_long: bool, now: float) -> float:
        """Returns the wait of a new ticket at the present rate, in seconds."""
        slots = self.limit.value(now)
        slots = self.long_slots(now) if is_long else slots - self._long_running
        ahead = self._queued[is_long] + 1
        return ahead * self._service_s(is_long) / max(1, slots)

    def _service_s(self, is_long: bool) -> float:
        if is_long:
            return self._long_s
        return self.limit.service_s or DEFAULT_SHORT_S

    def _least_s(self, is_long: bool) -> float:
        """Returns the time that a call needs at least to be of use.

        Long calls differ too much for an estimate.
        """
        return 0.0 if is_long else self._service_s(is_long)

    def _has_slot(self, ticket: Ticket, now: float) -> bool:
        limit = self.limit.value(now)
        running = len(self._running)
        if ticket.is_long:
            return running < limit and self._long_running < self.long_slots(now)
        if running < limit:
            return True
        # A cut of the limit while long calls run must not block short ones.
        reserved = max(1, limit - self.long_slots(now))
        short_running = running - self._long_running
        return short_running < reserved and running < self.limit.slots

    def _has_room(self, ticket: Ticket) -> bool:
        if self.queued >= self._bound:
            return False
        if not ticket.is_long:
            return True
        bound = max(1, int(self._bound * (1.0 - self._short_share)))
        return self._queued[True] < bound

    def _start(self, ticket: Ticket) -> Ticket:
        self._running[ticket.number] = ticket
        self._long_running += ticket.is_long
        # The part that is known beforehand counts at once, so that a tenant
        # cannot take all free slots before its first call ends.
        self._floor = max(self._floor, self._used.get(ticket.tenant, 0.0))
        self._charge(ticket, self._service_s(ticket.is_long))
        return ticket

    def _charge(self, ticket: Ticket, seconds: float) -> None:
        base = max(self._used.get(ticket.tenant, 0.0), self._floor)
        self._used[ticket.tenant] = base + seconds
        if len(self._used) > 4 * self._bound + 64:
            self._forget_idle()

    def _forget_idle(self) -> None:
        """Drops tenants whose turn is not behind that of a new tenant."""
        busy = {tenant for tenant, _ in self._queues}
        for tenant in self._used.keys() - busy:
            if self._used[tenant] <= self._floor:
                del self._used[tenant]

    def _enqueue(self, ticket: Ticket) -> None:
        key = ticket.tenant, ticket.is_long
        self._queues.setdefault(key, collections.deque()).append(ticket)
        self._queued[ticket.is_long] += 1
        used = self._used.get(ticket.tenant, 0.0)
        self._used[ticket.tenant] = max(used, self._floor)

    def _remove(self, ticket: Ticket) -> None:
        key = ticket.tenant, ticket.is_long
        self._queues[key].remove(ticket)
        self._queued[ticket.is_long] -= 1
        if not self._queues[key]:
            del self._queues[key]

    def _next(self, is_long: bool) -> Ticket:
        tenants = (t for t, long_queue in self._queues if long_queue == is_long)
        tenant = min(tenants, key=lambda name: self._used.get(name, 0.0))
        return self._queues[tenant, is_long][0]

    def _victim(self, ticket: Ticket) -> Ticket | None:
        """Returns the waiting ticket that makes room for a new one, if any.

        It has a lower priority, or the same and a tenant that waits with more
        calls. A long ticket displaces only long ones.
        """
        waiting = [
            (other.priority, -len(queue), -index, other)
            for (_, is_long), queue in self._queues.items()
            if is_long or not ticket.is_long
            for index, other in enumerate(queue)
        ]
        if not waiting:
            return None
        victim = min(waiting)[-1]
        if victim.priority != ticket.priority:
            return victim if victim.priority < ticket.priority else None
        own = self._queues.get((ticket.tenant, ticket.is_long), ())
        theirs = self._queues[victim.tenant, victim.is_long]
        return victim if len(theirs) > len(own) + 1 else None

    def _refusal(
        self, ticket: Ticket, now: float, draining: bool = False
    ) -> Refusal:
        if draining:
            return Refusal(ticket, errorcodes.CALL_DRAINING, MIN_RETRY_AFTER_MS)
        wait_ms = int(self.expected_wait_s(ticket.is_long, now) * 1000)
        code = errorcodes.CALL_OVERLOADED
        if now >= ticket.deadline:
            code = errorcodes.CALL_QUEUE_TIMEOUT
        return Refusal(ticket, code, max(MIN_RETRY_AFTER_MS, wait_ms))
