"""Decides what a daemon believes of the upstream beside it.

Heartbeats may arrive late: from before the upstream said that it leaves, or
from a process that has ended since. The start time and the sequence number of
each heartbeat put them in order.
"""

from typing import NamedTuple

from rattangauge import util


class Heartbeat(NamedTuple):
    """What an upstream tells of itself.

    Attributes:
        instance: Identity of the upstream.
        started_ms: Start of its process, in milliseconds since 1970; 0 if it
            does not tell.
        sequence: Number of the heartbeat, rising from the start.
        service: Service that it runs.
        address: Address of its HTTP port.
        slots: Calls that it can run at a time.
        is_draining: Whether it leaves and takes no new calls.
        cold_left_s: Time for which it remains slow after its start.
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
    """Word of an upstream that it is gone.

    Attributes:
        instance: Identity of the upstream.
        started_ms: Start of its process; 0 if it does not tell.
    """

    instance: str
    started_ms: int


class Upstream(NamedTuple):
    """What is believed of the upstream.

    Attributes:
        heartbeat: The newest heartbeat.
        is_leaving: Whether it has said that it drains or is gone.
        heard_at: Time of that heartbeat.
    """

    heartbeat: Heartbeat
    is_leaving: bool
    heard_at: float


def _is_same_process(known: Heartbeat, told: Heartbeat) -> bool:
    same_start = known.started_ms == told.started_ms
    return known.instance == told.instance and same_start


def after_heartbeat(
    known: Upstream | None, told: Heartbeat, now: float
) -> Upstream:
    """Returns what is believed after a heartbeat.

    A process that has said that it leaves does not come back; a process that
    started later replaces it.

    Args:
        known: What was believed before.
        told: The heartbeat.
        now: Time in seconds.
    """
    if known is None:
        return Upstream(told, told.is_draining, now)
    if _is_same_process(known.heartbeat, told):
        if told.sequence <= known.heartbeat.sequence:
            return known
        is_leaving = known.is_leaving or told.is_draining
        return Upstream(told, is_leaving, now)
    if told.started_ms < known.heartbeat.started_ms:
        return known
    return Upstream(told, told.is_draining, now)


def after_departure(known: Upstream | None, told: Departure) -> Upstream | None:
    """Returns what is believed after an upstream said that it is gone."""
    if known is None or known.heartbeat.instance != told.instance:
        return known
    if told.started_ms and told.started_ms != known.heartbeat.started_ms:
        return known
    return known._replace(is_leaving=True)
