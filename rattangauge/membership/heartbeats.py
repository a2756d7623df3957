"""State of the local upstream, derived from its heartbeats.

A heartbeat may arrive late: it may have been sent before the upstream announced
that it leaves, or by a process that has ended since. Heartbeats are therefore
ordered by the start time of the process and their sequence number.
"""

from typing import NamedTuple

from rattangauge import errors
from rattangauge import util
from rattangauge.generated import errorcodes
from rattangauge.generated import settings as generated


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
    """

    instance: str
    started_ms: int
    sequence: int
    service: str
    address: util.Address
    slots: int
    is_draining: bool
    cold_left_s: float


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
