"""State of the local upstream, derived from its heartbeats.

A heartbeat may arrive late: it may have been sent before the upstream announced
that it leaves, or by a process that has ended since. Heartbeats are therefore
ordered by the start time of the process and their sequence number. An
announcement that a process leaves binds whether or not the process is known: it
may overtake the heartbeats that it follows.
"""

from collections.abc import Callable
from typing import NamedTuple

from rattangauge import errors
from rattangauge import util
from rattangauge.generated import errorcodes
from rattangauge.generated import settings as generated

# Departed processes that are remembered; the oldest ones are forgotten first.
MAX_DEPARTURES = 256


class Heartbeat(NamedTuple):
    """A heartbeat of an upstream.

    Attributes:
        instance: Identity of the upstream.
        started_ms: Start of its process, in milliseconds since 1970; 0 if not
            given.
        sequence: Sequence number, which increases from the process start.
        service: Service that it runs.
        address: Address of its HTTP port.
        slots: Number of calls that it can run concurrently.
        is_draining: Whether it is about to leave and accepts no new calls.
        cold_left_s: Remaining time, in seconds, in which it is still slow
            after its start.
        version: Version of its software; empty if not given.
    """

    instance: str
    started_ms: int
    sequence: int
    service: str
    address: util.Address
    slots: int
    is_draining: bool
    cold_left_s: float
    version: str = ""


class Departure(NamedTuple):
    """Message of an upstream that it has stopped.

    Attributes:
        instance: Identity of the upstream.
        started_ms: Start of its process, in milliseconds since 1970; 0 if not
            given.
    """

    instance: str
    started_ms: int


class Upstream(NamedTuple):
    """State of the local upstream.

    Attributes:
        heartbeat: The newest heartbeat.
        is_leaving: Whether it has announced that it drains or has stopped.
        received_at: Time at which that heartbeat was received, in seconds.
    """

    heartbeat: Heartbeat
    is_leaving: bool
    received_at: float


def check(received: Heartbeat, instance: generated.Instance) -> None:
    """Checks that a heartbeat comes from the upstream of the instance.

    The settings name the service and the address of the one upstream beside the
    daemon. A heartbeat that names others was sent by another writer.

    Args:
        received: The heartbeat.
        instance: Settings of the instance; an empty service or address accepts
            any.

    Raises:
        errors.FindingsError: The heartbeat names another service or address.
    """
    findings = []
    place = f"heartbeat of {received.instance}"

    def report(field: str, actual: str, expected: str) -> None:
        text = f"{actual!r} is not {expected!r}, which the settings name"
        code = errorcodes.UPSTREAM_FOREIGN
        findings.append(errors.Finding(place, field, text, code))

    if instance.service and received.service != instance.service:
        report("service", received.service, instance.service)
    if (
        instance.upstream
        and util.parse_address(instance.upstream) != received.address
    ):
        report("address", str(received.address), instance.upstream)
    if findings:
        raise errors.FindingsError(findings)


def _are_same_process(known: Heartbeat, received: Heartbeat) -> bool:
    has_same_start = known.started_ms == received.started_ms
    return known.instance == received.instance and has_same_start


def is_cold(upstream: Upstream, now: float) -> bool:
    """Tells whether an upstream is still slow after its start.

    Args:
        upstream: State of the upstream.
        now: Time in seconds.
    """
    age_s = now - upstream.received_at
    return age_s < upstream.heartbeat.cold_left_s


def apply_heartbeat(
    known: Upstream | None, received: Heartbeat, now: float
) -> Upstream:
    """Returns the state of the upstream after a heartbeat.

    A process that has announced that it leaves stays in that state, whatever
    its later heartbeats say. Only a process that started later replaces it.

    Args:
        known: State before the heartbeat; None if there was no upstream.
        received: The heartbeat.
        now: Time in seconds.
    """
    if known is None:
        return Upstream(received, received.is_draining, now)
    if _are_same_process(known.heartbeat, received):
        if received.sequence <= known.heartbeat.sequence:
            return known
        is_leaving = known.is_leaving or received.is_draining
        return Upstream(received, is_leaving, now)
    if received.started_ms < known.heartbeat.started_ms:
        return known
    return Upstream(received, received.is_draining, now)


def apply_departure(
    known: Upstream | None, received: Departure
) -> Upstream | None:
    """Returns the state of the upstream after it announced its departure.

    A departure of another instance or another process is ignored.
    """
    if known is None or known.heartbeat.instance != received.instance:
        return known
    if (
        received.started_ms
        and received.started_ms != known.heartbeat.started_ms
    ):
        return known
    return known._replace(is_leaving=True)


def apply_leaving_notice(
    known: Upstream | None, sender: Heartbeat
) -> Upstream | None:
    """Returns the state of the upstream after a response that says it leaves.

    Args:
        known: State before the response; None if there is no upstream.
        sender: Heartbeat of the process that sent the response. A notice of a
            process that has been replaced is ignored.
    """
    if known is None or not _are_same_process(known.heartbeat, sender):
        return known
    return known._replace(is_leaving=True)


def process_of(upstream: Upstream) -> tuple[str, int, util.Address]:
    """Returns what identifies the process of an upstream."""
    heartbeat = upstream.heartbeat
    return heartbeat.instance, heartbeat.started_ms, heartbeat.address


def reported_properties(upstream: Upstream | None) -> object:
    """Returns the properties of an upstream whose changes peers must learn."""
    if upstream is None:
        return None
    heartbeat = upstream.heartbeat
    return (
        process_of(upstream),
        heartbeat.service,
        heartbeat.slots,
        heartbeat.version,
        upstream.is_leaving,
    )


class UpstreamRecord:
    """What the announcements of the upstream say, in any order of arrival."""

    def __init__(self, now_ms: Callable[[], int] = util.now_ms) -> None:
        """Creates a record without announcements.

        Args:
            now_ms: Returns the time in milliseconds since 1970.
        """
        self._now_ms = now_ms
        self._upstream: Upstream | None = None
        # Processes that have announced that they leave. The value is the latest
        # start, in milliseconds since 1970, of the processes that are meant.
        self._departures: dict[Departure, int] = {}

    @property
    def upstream(self) -> Upstream | None:
        """Last known state of the upstream; None before its first heartbeat."""
        return self._upstream

    @property
    def departure_count(self) -> int:
        """Number of remembered departures."""
        return len(self._departures)

    @property
    def last_departure(self) -> Departure | None:
        """The process of the upstream, if it leaves, else the last that left.

        None if no process has announced that it leaves.
        """
        if self._upstream is not None and self._upstream.is_leaving:
            heartbeat = self._upstream.heartbeat
            return Departure(heartbeat.instance, heartbeat.started_ms)
        return next(reversed(self._departures), None)

    def apply_heartbeat(self, received: Heartbeat, now: float) -> None:
        """Applies a heartbeat.

        Args:
            received: The heartbeat.
            now: Monotonic time in seconds.
        """
        if received.is_draining:
            self._remember(Departure(received.instance, received.started_ms))
        current = apply_heartbeat(self._upstream, received, now)
        if not current.is_leaving and self._has_departed(current.heartbeat):
            current = current._replace(is_leaving=True)
        self._upstream = current

    def apply_departure(self, received: Departure) -> None:
        """Applies a departure, also that of a process that is not known."""
        self._remember(received)
        self._upstream = apply_departure(self._upstream, received)

    def apply_leaving_notice(self, sender: Heartbeat) -> None:
        """Applies a response that says that its sender leaves.

        Args:
            sender: Heartbeat of the process that sent the response.
        """
        self._remember(Departure(sender.instance, sender.started_ms))
        self._upstream = apply_leaving_notice(self._upstream, sender)

    def _remember(self, departure: Departure) -> None:
        # Without a start, all processes that have started by now are meant.
        until_ms = departure.started_ms or self._now_ms()
        self._departures.pop(departure, None)
        self._departures[departure] = until_ms
        if len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def _has_departed(self, heartbeat: Heartbeat) -> bool:
        """Tells whether the process of a heartbeat has announced its leave."""
        instance, started_ms = heartbeat.instance, heartbeat.started_ms
        if Departure(instance, started_ms) in self._departures:
            return True
        until_ms = self._departures.get(Departure(instance, 0), -1)
        return started_ms <= until_ms
