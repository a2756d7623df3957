"""Decides which requests of a tenant lie within its quota over all daemons.

The quota is a rate and a burst.

It is made for tenants whose requests come to many daemons at once, in any
proportion, and of which a few send several times their rate for some seconds.
The home daemon of a tenant has its token bucket and leases tokens to the
daemons that its requests come to. While the rate suffices, a daemon gets what
it asks for. Otherwise the tokens are divided in proportion to the requests that
each daemon receives.
"""

import hashlib
import math
from typing import NamedTuple

# Time for which leased tokens may be used, and for which the demand of a daemon
# counts at the home, in seconds.
LEASE_S = 0.5
# Time constant of the demand of a tenant at one daemon, in seconds.
DEMAND_MEMORY_S = 1.0
# A daemon gets what it asks for while the bucket holds this share of the burst.
PLENTY_SHARE = 0.5
# Time between two looks for daemons that have stopped asking, in seconds.
FORGET_PERIOD_S = 0.1
# Shortest and longest time after which a caller beyond the rate may return.
MIN_HOLD_S = 0.05
MAX_HOLD_S = 2.0


class Limit(NamedTuple):
    """Limit of a tenant, or of the part of its requests at some daemons.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests at once beyond the rate.
    """

    rate_per_s: float
    burst: float

    def scaled(self, share: float) -> "Limit":
        """Returns a share of the limit."""
        return Limit(self.rate_per_s * share, self.burst * share)


class Ask(NamedTuple):
    """What a daemon asks the home of a tenant.

    Attributes:
        asker: Mesh address of the daemon.
        wanted: Tokens that it needs at once.
        demand_per_s: Requests of the tenant that it received lately, a second.
    """

    asker: str
    wanted: int
    demand_per_s: float


class Grant(NamedTuple):
    """Answer of the home.

    Attributes:
        tokens: Requests that the asker may send within ``LEASE_S``.
        hold_s: Time for which the asker must not ask again, in seconds.
    """

    tokens: int
    hold_s: float


def ranking(tenant: str, addresses: list[str]) -> list[str]:
    """Returns addresses in the order in which they are homes of a tenant.

    All daemons that know the same addresses find the same order, and a change
    of one address moves few tenants (rendezvous hashing).

    >>> len(ranking("choir", ["10.0.0.1:1", "10.0.0.2:1"]))
    2
    """

    def score(address: str) -> bytes:
        text = f"{tenant} {address}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(addresses, key=score)


def reachable_share(members: dict[str, int], heard: set[str]) -> float:
    """Returns the share of a tenant's rate that one side of a cut may give.

    Zones that are cut off from each other each have a daemon that takes itself
    for the home. Together they must not give more than the rate, so each gives
    what belongs to the daemons of the zones that it hears.

    Args:
        members: Number of daemons by availability zone.
        heard: Zones from which a message came lately, and the own one.

    >>> reachable_share({"a": 2, "b": 1, "c": 1}, {"a", "b"})
    0.75
    """
    known = sum(members.values())
    reachable = sum(members[zone] for zone in heard if zone in members)
    return reachable / max(1, known)


class DemandMeter:
    """Number of requests of a tenant a second, at one daemon."""

    def __init__(self) -> None:
        """Creates a meter that has seen no request."""
        self._count = 0.0
        self._updated_at = 0.0

    def add(self, now: float) -> None:
        """Counts a request at a time in seconds."""
        self._count = self._decayed(now) + 1.0
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Returns the requests a second."""
        return self._decayed(now) / DEMAND_MEMORY_S

    def _decayed(self, now: float) -> float:
        age_s = max(0.0, now - self._updated_at)
        return self._count * math.exp(-age_s / DEMAND_MEMORY_S)


class Bucket:
    """Token bucket of a tenant at its home or at a deputy.

    Times are in seconds, on the clock of the caller of the methods.
    """

    def __init__(self, limit: Limit, now: float, age_s: float = 0.0) -> None:
        """Creates a bucket.

        An earlier home may have given away the burst a moment ago, so the
        bucket of a new home is half full.

        Args:
            limit: Limit of the tenant.
            now: Time.
            age_s: Time for which the daemon has been the home.
        """
        self._limit = limit
        size = max(1.0, limit.burst)
        filled = size / 2 + limit.rate_per_s * age_s
        self._tokens = min(size, filled)
        self._updated_at = now
        # Demand of each daemon that asked lately, with the time of its ask.
        self._demands: dict[str, tuple[float, float]] = {}
        self._total_demand = 0.0
        self._forget_at = now + FORGET_PERIOD_S

    @property
    def tokens(self) -> float:
        """Requests that may be sent at once."""
        return self._tokens

    def set_limit(self, limit: Limit, now: float) -> None:
        """Changes the limit; a lower burst takes tokens away."""
        self._advance(now)
        self._limit = limit
        self._tokens = min(self._tokens, max(1.0, limit.burst))

    def grant(self, ask: Ask, now: float) -> Grant:
        """Gives tokens to a daemon."""
        self._advance(now)
        self._record_demand(ask, now)
        expected = ask.wanted + int(ask.demand_per_s * LEASE_S)
        plenty = PLENTY_SHARE * max(1.0, self._limit.burst)
        if self._tokens - expected >= plenty:
            return self._give(expected, 0.0)
        share = 1.0
        if self._total_demand > 0.0:
            share = ask.demand_per_s / self._total_demand
        rate_per_s = max(1e-9, self._limit.rate_per_s * share)
        fair = max(1, int(rate_per_s * LEASE_S))
        given = min(fair, expected, int(self._tokens))
        if given >= ask.wanted:
            return self._give(given, 0.0)
        if self._total_demand <= self._limit.rate_per_s:
            # A short burst: there is a token for the next ask of any daemon.
            rate_per_s = self._limit.rate_per_s
        hold_s = max(1, given) / rate_per_s
        return self._give(given, min(MAX_HOLD_S, max(MIN_HOLD_S, hold_s)))

    def _give(self, tokens: int, hold_s: float) -> Grant:
        self._tokens -= tokens
        return Grant(tokens, hold_s)

    def _record_demand(self, ask: Ask, now: float) -> None:
        """Stores the demand of a daemon; forgets those that ask no more."""
        before, _at = self._demands.get(ask.asker, (0.0, now))
        self._demands[ask.asker] = ask.demand_per_s, now
        self._total_demand += ask.demand_per_s - before
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_PERIOD_S
        self._demands = {
            asker: (demand, at)
            for asker, (demand, at) in self._demands.items()
            if now - at <= MAX_HOLD_S
        }
        self._total_demand = sum(d for d, _at in self._demands.values())

    def _advance(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        size = max(1.0, self._limit.burst)
        filled = self._tokens + self._limit.rate_per_s * elapsed_s
        self._tokens = min(size, filled)


class Lease:
    """Tokens of a tenant at one daemon that its requests come to."""

    def __init__(self) -> None:
        """Creates a lease without tokens."""
        self._tokens = 0
        self._expires_at = 0.0
        self._held_until = 0.0

    def take(self, now: float) -> bool:
        """Takes a token; tells whether there was one."""
        if now >= self._expires_at or self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def restore(self, taken_at: float, now: float) -> None:
        """Gives back the token of a request that did not run.

        After the time of its lease, a token would come on top of what the home
        gives for a later time.

        Args:
            taken_at: Time at which the token was taken.
            now: Time.
        """
        if now < min(self._expires_at, taken_at + LEASE_S):
            self._tokens += 1

    def hold_s(self, now: float) -> float:
        """Returns the time until the home may be asked again."""
        return max(0.0, self._held_until - now)

    def renew(self, grant: Grant, now: float) -> None:
        """Adds what the home gave."""
        left = self._tokens if now < self._expires_at else 0
        self._tokens = left + grant.tokens
        self._expires_at = now + LEASE_S
        self._held_until = now + grant.hold_s
