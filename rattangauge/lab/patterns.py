"""Load patterns: services, kinds of calls and what happens to them."""

from collections.abc import Callable
import math
from typing import NamedTuple

# Factor of the rates at a time.
Factor = Callable[[float], float]

ZONES = ("zone-1", "zone-2", "zone-3")


class Worker(NamedTuple):
    """One upstream.

    Attributes:
        zone: Its availability zone.
        slots: Calls that it runs at a time.
        pace: Factor of the time that its calls take.
    """

    zone: str
    slots: int
    pace: float


class Inner(NamedTuple):
    """Calls that an upstream makes while it runs a call."""

    kind: str
    times: int
    share: float


class Kind(NamedTuple):
    """One kind of calls.

    Attributes:
        name: Name.
        service: Service that runs it.
        rate: Calls a second from callers, over all zones; 0 for inner calls.
        work_s: Mean work of a call, in seconds.
        target_s: Target latency.
        deadline_s: Deadline.
        priority: 0 to 9; 9 is served first.
        worth: Worth of an answer in time.
        late_worth: Worth of a later answer.
        size: Bytes of request and answer.
        inner: Calls that it makes.
    """

    name: str
    service: str
    rate: float
    work_s: float
    target_s: float
    deadline_s: float
    priority: int
    worth: float
    late_worth: float
    size: int
    inner: tuple[Inner, ...] = ()


class Slowdown(NamedTuple):
    """An upstream that is slow for a while."""

    service: str
    worker: int
    begin_s: float
    end_s: float
    factor: float


class Outage(NamedTuple):
    """An upstream that takes no calls for a while."""

    service: str
    worker: int
    begin_s: float
    end_s: float


class Pattern(NamedTuple):
    """A load over time.

    Attributes:
        name: Name on the command line.
        answers: The situation in a few words.
        services: Upstreams of each service.
        kinds: Kinds of calls.
        factor: Factor of the rates at a time.
        slowdowns: Upstreams that are slow.
        outages: Upstreams that are gone.
        repeats: Further calls, at once, for each one that fails.
        length_s: Length.
    """

    name: str
    answers: str
    services: dict[str, tuple[Worker, ...]]
    kinds: tuple[Kind, ...]
    factor: Factor
    slowdowns: tuple[Slowdown, ...] = ()
    outages: tuple[Outage, ...] = ()
    repeats: int = 1
    length_s: float = 12.0


def _workers(
    slots: int, paces: tuple[float, ...], zones: tuple[int, ...]
) -> tuple[Worker, ...]:
    return tuple(
        Worker(ZONES[zone], slots, pace)
        for pace, zone in zip(paces, zones, strict=True)
    )


CHOIRS = {
    "skladby": _workers(9, (0.5, 1.0, 1.5, 1.0, 0.5), (0, 0, 1, 1, 2)),
    "objednavky": _workers(9, (0.6, 1.0, 1.4), (0, 1, 2)),
    "nahravky": _workers(9, (0.5, 1.0, 1.0), (0, 1, 2)),
}

CHOIR_KINDS = (
    Kind(
        "track-play", "skladby", 394.0, 0.051, 0.2, 0.5, 7, 1.0, 0.3, 900,
        (Inner("member-check", 1, 0.7),),
    ),
    Kind(
        "score-order", "objednavky", 131.0, 0.066, 0.25, 0.6, 8, 2.0, 0.6, 6500,
        (Inner("part-lookup", 2, 0.7),),
    ),
    Kind(
        "take-upload", "nahravky", 59.0, 0.061, 0.3, 0.8, 8, 2.0, 0.6, 60_900,
    ),
    Kind(
        "member-check", "objednavky", 0.0, 0.015, 0.06, 0.2, 9, 0.0, 0.0, 800,
    ),
    Kind("part-lookup", "nahravky", 0.0, 0.015, 0.06, 0.2, 9, 0.0, 0.0, 800),
)  # fmt: skip


def _swing(base: float, height: float, period_s: float) -> Factor:
    return lambda t: base * (1.0 + height * math.sin(t * math.tau / period_s))


def _burst(
    base: float, factor: float, begin_s: float, end_s: float
) -> Callable:
    return lambda t: base * (factor if begin_s <= t < end_s else 1.0)


def _choirs(
    name: str, answers: str, factor: Callable, **more: object
) -> Pattern:
    return Pattern(name, answers, CHOIRS, CHOIR_KINDS, factor, **more)


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        _choirs("calm", "an ordinary load", _burst(0.5, 1.0, 0, 0)),
        _choirs("swing", "a wave above the capacity", _swing(1.0, 0.55, 12.0)),
        _choirs(
            "peak", "a wave far above the capacity", _swing(1.25, 0.55, 12.0)
        ),
        _choirs("burst", "many callers at once", _burst(0.8, 1.7, 4.0, 7.0)),
        _choirs(
            "storm",
            "callers repeat at once and often",
            _burst(1.0, 1.3, 4.0, 8.0),
            repeats=3,
        ),
        _choirs(
            "slow",
            "upstreams turn slow",
            _burst(0.7, 1.0, 0, 0),
            slowdowns=(
                Slowdown("skladby", 0, 3.0, 8.0, 5.0),
                Slowdown("objednavky", 1, 3.0, 8.0, 5.0),
            ),
        ),
        _choirs(
            "zone-lost",
            "the upstreams of a zone are gone for a while",
            _burst(0.8, 1.0, 0, 0),
            outages=(
                Outage("skladby", 0, 3.0, 8.0),
                Outage("skladby", 1, 3.0, 8.0),
                Outage("objednavky", 0, 3.0, 8.0),
                Outage("nahravky", 0, 3.0, 8.0),
            ),
        ),
        _choirs(
            "release",
            "upstreams are replaced one after the other at a peak",
            _burst(1.1, 1.0, 0, 0),
            outages=(
                Outage("skladby", 0, 2.0, 4.0),
                Outage("skladby", 1, 4.0, 6.0),
                Outage("skladby", 2, 6.0, 8.0),
            ),
        ),
    )
}
