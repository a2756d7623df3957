"""Keeps the tenants' requests over all daemons within their rates."""

import asyncio
import itertools
import math
import time

import loguru

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge import futures
from rattangauge import metrics
from rattangauge.calls import quota
from rattangauge.config import tenants
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.generated import objects as generated
from rattangauge.membership import peers as peers_module
from rattangauge.net import connection_pool

# Time within which the home of a tenant must answer.
ASK_TIMEOUT_S = 0.25
# Answers of the home that a request waits for.
MAX_WAITS = 3
# A home that did not answer is not asked for this time.
UNREACHABLE_S = 1.0
# A zone counts as cut off if no message came from it for this time.
HEARD_S = 1.0
# Time for which the result of a look at all daemons is used.
SHARES_TTL_S = 0.1
# Scale of the demand in messages.
DEMAND_SCALE = 1000.0

_LEFT = messages.MemberState.LEFT


class _TenantUse:
    """Use of one tenant's quota by this daemon.

    Attributes:
        lease: Tokens of the tenant.
        demand: Requests that this daemon received.
        waiters: Futures of the requests that wait for tokens.
        is_asking: Whether an ask is under way.
    """

    def __init__(self) -> None:
        self.lease = quota.Lease()
        self.demand = quota.DemandMeter()
        self.waiters: list[asyncio.Future[None]] = []
        self.is_asking = False


class Quotas:
    """Tokens that this daemon uses, and those that it gives as a home."""

    def __init__(
        self,
        links: connection_pool.Links,
        peers: peers_module.PeerTable,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the state without tenants.

        Args:
            links: Connections to the other daemons.
            peers: All known daemons, which are the homes of tenants.
            log: Log of decisions.
        """
        self._links = links
        self._peers = peers
        self._log = log
        self._limits: dict[str, quota.Limit] = {}
        self._uses: dict[str, _TenantUse] = {}
        self._buckets: dict[str, quota.Bucket] = {}
        self._rankings: dict[str, list[str]] = {}
        self._ranked_revision = -1
        # Addresses that may be homes, and those of them that are out of reach.
        self._addresses: list[str] = []
        self._unreachable: list[str] = []
        self._unreachable_until: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._home_share = 1.0
        self._deputy_share = 1.0
        self._shares_until = -math.inf
        # Last time at which another daemon may have become a home.
        self._changed_at = time.monotonic()
        self._tasks = futures.Tasks()

    def apply(self, table: tenants.TenantTable) -> None:
        """Applies the limits of the configuration in force."""
        now = time.monotonic()
        self._limits = {
            name: quota.Limit(tenant.rate_per_s, tenant.burst)
            for name, tenant in table.by_name.items()
            if tenant.rate_per_s > 0.0
        }
        for uses in (self._uses, self._buckets):
            for name in uses.keys() - self._limits.keys():
                del uses[name]
        for name, bucket in self._buckets.items():
            bucket.set_limit(self._limit(name), now)

    async def take(self, tenant: generated.Tenant) -> float:
        """Takes a token for a request.

        Returns:
            0 if the request may run; else the time in seconds after which its
            caller may return.
        """
        if tenant.name not in self._limits:
            return 0.0
        use = self._uses.setdefault(tenant.name, _TenantUse())
        use.demand.add(time.monotonic())
        for _ in range(MAX_WAITS):
            now = time.monotonic()
            if use.lease.take(now):
                return 0.0
            if use.lease.hold_s(now) > 0.0:
                break
            # The answer under way may be to an ask of before this request.
            await self._wait_for_answer(tenant.name, use)
        now = time.monotonic()
        if use.lease.take(now):
            return 0.0
        return max(quota.MIN_HOLD_S, use.lease.hold_s(now))

    def restore(self, tenant: generated.Tenant, taken_at: float) -> None:
        """Gives back the token of a request that did not run.

        Args:
            tenant: Tenant of the request.
            taken_at: Time at which the request was received, on the clock of
                ``time.monotonic``, in seconds.
        """
        use = self._uses.get(tenant.name)
        if use is not None:
            use.lease.restore(taken_at, time.monotonic())

    async def serve(
        self, stream: connection_pool.Stream, request: messages.QuotaRequest
    ) -> None:
        """Answers another daemon that asks for tokens."""
        self._record_heard(request.mesh)
        demand_per_s = request.demand / DEMAND_SCALE
        ask = quota.Ask(request.mesh, max(1, request.wanted), demand_per_s)
        grant = self._grant(request.tenant, ask)
        hold_ms = math.ceil(grant.hold_s * 1000)
        await stream.send(messages.QuotaGrant(grant.tokens, hold_ms))

    async def _wait_for_answer(self, name: str, use: _TenantUse) -> None:
        """Asks the home for tokens, or waits for the ask that is under way."""
        waiter = asyncio.get_running_loop().create_future()
        use.waiters.append(waiter)
        if not use.is_asking:
            use.is_asking = True
            # A caller that leaves must not cancel the ask for the others.
            self._tasks.start(self._ask(name, use))
        await waiter

    async def _ask(self, name: str, use: _TenantUse) -> None:
        """Asks for tokens and wakes the requests that wait for them."""
        now = time.monotonic()
        own = self._peers.own.member.mesh
        # Requests that arrive while the ask is under way need tokens, too.
        ask = quota.Ask(own, len(use.waiters), use.demand.per_s(now))
        grant = quota.Grant(0, quota.MIN_HOLD_S)
        try:
            grant = await self._find_grant(name, ask)
        finally:
            use.is_asking = False
            now = time.monotonic()
            use.lease.renew(grant, now)
            if grant.hold_s > 0.0:
                self._record_hold(name, ask, grant)
            waiters, use.waiters = use.waiters, []
            for waiter in waiters:
                futures.wake(waiter)

    async def _find_grant(self, name: str, ask: quota.Ask) -> quota.Grant:
        """Returns the answer of the first home or deputy that can be reached.

        Only one deputy is tried, so that no request waits for long; beyond it
        the daemon uses its own part of the rate.
        """
        own = self._peers.own.member.mesh
        now = time.monotonic()
        reachable = (
            address
            for address in self._ranking(name)
            if self._unreachable_until.get(address, 0.0) <= now
        )
        for address in itertools.islice(reachable, 2):
            if address == own:
                return self._grant(name, ask)
            try:
                return await self._request(address, name, ask)
            except errors.CodedError as error:
                now = time.monotonic()
                until = now + UNREACHABLE_S
                self._unreachable_until[address] = until
                self._changed_at = now
                loguru.logger.debug(
                    "no tokens of {} from {}: {}", name, address, error
                )
        return self._grant(name, ask)

    async def _request(
        self, address: str, name: str, ask: quota.Ask
    ) -> quota.Grant:
        """Asks another daemon for tokens.

        Raises:
            errors.CodedError: It did not answer.
        """
        demand = int(ask.demand_per_s * DEMAND_SCALE)
        request = messages.QuotaRequest(ask.asker, name, ask.wanted, demand)
        reply = await self._links.request(
            address, request, ASK_TIMEOUT_S, connection_pool.SMALL_BODIES
        )
        self._record_heard(address)
        if not isinstance(reply, messages.QuotaGrant):
            return quota.Grant(0, quota.MIN_HOLD_S)
        hold_s = min(quota.MAX_HOLD_S, reply.hold_ms / 1000)
        return quota.Grant(reply.tokens, hold_s)

    def _grant(self, name: str, ask: quota.Ask) -> quota.Grant:
        """Gives tokens of this daemon, as home, deputy or for itself."""
        if name not in self._limits:
            # The configuration of the asker may be older than this one.
            return quota.Grant(ask.wanted, 0.0)
        now = time.monotonic()
        limit = self._limit(name)
        bucket = self._buckets.get(name)
        if bucket is None:
            age_s = now - self._changed_at
            bucket = self._buckets[name] = quota.Bucket(limit, now, age_s)
        bucket.set_limit(limit, now)
        grant = bucket.grant(ask, now)
        refused = max(0, ask.wanted - grant.tokens)
        metrics.observe_tokens(grant.tokens, refused)
        return grant

    def _limit(self, name: str) -> quota.Limit:
        """Returns the part of a tenant's limit that this daemon may give."""
        limit = self._limits[name]
        own = self._peers.own.member.mesh
        ranked = self._ranking(name)
        if own not in ranked:
            return limit.scaled(1.0 / max(1, len(ranked) + 1))
        before = ranked[: ranked.index(own)]
        if any(self._is_reachable(address) for address in before):
            # The home or another deputy gives the rest.
            return limit.scaled(1.0 / len(ranked))
        self._update_shares()
        return limit.scaled(self._deputy_share if before else self._home_share)

    def _record_heard(self, address: str) -> None:
        """Records a message of another daemon."""
        peer = self._peers.get(address)
        if peer is not None:
            self._heard_at[peer.member.zone] = time.monotonic()

    def _update_shares(self) -> None:
        """Updates the shares of the daemons in zones that are not cut off.

        A deputy counts the zones that it has heard since a home may have been
        lost: until then they may have another deputy.
        """
        now = time.monotonic()
        if now < self._shares_until:
            return
        self._shares_until = now + SHARES_TTL_S
        members: dict[str, int] = {}
        own_zone = self._peers.own.member.zone
        heard_at = {**self._heard_at, own_zone: now}
        for peer in self._peers:
            zone = peer.member.zone
            members[zone] = members.get(zone, 0) + 1
            reported_at = now - peer.load_age_s(now)
            heard_at[zone] = max(heard_at.get(zone, -math.inf), reported_at)
        heard = {z for z, at in heard_at.items() if now - at <= HEARD_S}
        since = {z for z in heard if heard_at[z] >= self._changed_at}
        self._home_share = quota.reachable_share(members, heard)
        self._deputy_share = quota.reachable_share(members, since)

    def _is_reachable(self, address: str) -> bool:
        peer = self._peers.get(address)
        if peer is None or peer.failures:
            return False
        return self._unreachable_until.get(address, 0.0) <= time.monotonic()

    def _ranking(self, name: str) -> list[str]:
        """Returns the addresses of all daemons, the tenant's home first."""
        if self._ranked_revision != self._peers.revision:
            self._ranked_revision = self._peers.revision
            self._follow_peers()
        ranked = self._rankings.get(name)
        if ranked is None:
            ranked = quota.ranking(name, self._addresses)
            self._rankings[name] = ranked
        return ranked

    def _follow_peers(self) -> None:
        """Forgets what depends on the daemons, if others are there now.

        Most changes of the peers concern their upstreams alone.
        """
        present = [p for p in self._peers if p.member.state != _LEFT]
        addresses = [peer.member.mesh for peer in present]
        unreachable = [peer.member.mesh for peer in present if peer.failures]
        if addresses != self._addresses:
            self._rankings.clear()
            known = self._unreachable_until.keys() & set(addresses)
            self._unreachable_until = {
                address: self._unreachable_until[address] for address in known
            }
        is_first = not self._addresses
        if (addresses, unreachable) != (self._addresses, self._unreachable):
            self._addresses, self._unreachable = addresses, unreachable
            if unreachable or not is_first:
                self._changed_at = time.monotonic()

    def _record_hold(
        self, name: str, ask: quota.Ask, grant: quota.Grant
    ) -> None:
        self._log.record(
            logevents.QuotaHeld(
                tenant=name,
                wanted=ask.wanted,
                granted=grant.tokens,
                demand_per_s=round(ask.demand_per_s, 1),
                hold_ms=round(grant.hold_s * 1000, 1),
            )
        )
