"""Quotas of tenants: load patterns without a network, and small meshes."""

import random
import time

import anyio
import pytest

from rattangauge import decisionlog
from rattangauge.calls import quota
from rattangauge.config import tenants as tenants_module
from rattangauge.generated import messages
from rattangauge.generated import objects as generated
from rattangauge.membership import peers
from rattangauge.sidecar import quotas as quotas_module
from tests import builders
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
# A window of the bound and what may exceed it, as on the users' platform.
WINDOW_S = 5.0
OVER = 0.1
SLACK = 20


@pytest.fixture
def anyio_backend():
    """Event loop that the daemons use on the platform."""
    return "asyncio", {"use_uvloop": True}


class Daemon:
    """A daemon whose asks are answered at once."""

    def __init__(self, name):
        """Creates a daemon without tokens."""
        self.name = name
        self.lease = quota.Lease()
        self.demand = quota.DemandMeter()
        self.asks = 0

    def handle(self, bucket, now):
        """Tells whether a request may run."""
        self.demand.add(now)
        if self.lease.take(now):
            return True
        if self.lease.hold_s(now) > 0.0:
            return False
        self.asks += 1
        ask = quota.Ask(self.name, 1, self.demand.per_s(now))
        self.lease.renew(bucket.grant(ask, now), now)
        return self.lease.take(now)


def _arrivals(pattern, seed):
    """Yields time and daemon of each request; a pattern gives the rate."""
    source, chooser, now = random.Random(seed), random.Random(seed), 0.0
    while now < 15.0:
        rate_per_s, daemons = pattern(now)
        now += source.expovariate(rate_per_s)
        yield now, chooser.choice(daemons)


def _run(limit, pattern, seed=1, lower=None):
    """Returns the times of the requests that ran, and those refused."""
    bucket = quota.Bucket(limit, 0.0, 100.0)
    ran, refused = [], []
    for now, daemon in _arrivals(pattern, seed):
        if lower is not None and now > 7.0:
            bucket.set_limit(lower, now)
        (ran if daemon.handle(bucket, now) else refused).append(now)
    return ran, refused


def _most_in_a_window(times):
    ends = range(len(times))
    most = begin = 0
    for end in ends:
        while times[end] - times[begin] > WINDOW_S:
            begin += 1
        most = max(most, end - begin + 1)
    return most


def _bound(limit):
    allowed = limit.rate_per_s * WINDOW_S + limit.burst
    return allowed * (1 + OVER) + SLACK


def _daemons(count=79):
    return [Daemon(f"10.0.0.{n}:1") for n in range(count)]


@pytest.mark.parametrize("rate_per_s", [2.0, 20.0, 330.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_tenant_at_seven_times_its_rate_keeps_to_the_bound(
    rate_per_s, seed
):
    """Guards against a tenant that gets its rate at each daemon."""
    daemons = _daemons()
    limit = quota.Limit(rate_per_s, rate_per_s)

    def pattern(now):
        return rate_per_s * (4.7 if 4.0 < now < 11.0 else 0.6), daemons

    ran, _refused = _run(limit, pattern, seed)
    assert _most_in_a_window(ran) <= _bound(limit)
    in_peak = [now for now in ran if 5.0 < now < 11.0]
    assert len(in_peak) > 0.8 * rate_per_s * 6.0


@pytest.mark.parametrize("rate_per_s", [2.0, 20.0, 330.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_what_lies_within_the_rate_is_not_refused(rate_per_s, seed):
    """Guards against requests that are refused below the limit.

    The demand moves from one zone to another meanwhile.
    """
    daemons = _daemons()
    zones = daemons[:26], daemons[26:]

    def pattern(now):
        return rate_per_s * 0.62, zones[now > 5.0]

    limit = quota.Limit(rate_per_s, rate_per_s)
    ran, refused = _run(limit, pattern, seed)
    # A bucket beside all requests refuses what is beyond the burst.
    single = [Daemon("10.0.0.1:1")]
    _ran, beyond = _run(limit, lambda now: (pattern(now)[0], single), seed)
    assert len(refused) <= len(beyond) + max(1, 0.01 * len(ran))


def test_a_lowered_limit_binds_within_a_window():
    """Guards against a limit that old leases outlive."""
    daemons = _daemons()
    lower = quota.Limit(20.0, 20.0)
    ran, _refused = _run(
        quota.Limit(200.0, 200.0), lambda _now: (180.0, daemons), lower=lower
    )
    after = [now for now in ran if now > 7.0 + quota.LEASE_S]
    assert _most_in_a_window(after) <= _bound(lower)


def test_a_hot_tenant_asks_seldom():
    """Guards against a home that is busy with asks it must refuse."""
    daemons = _daemons()
    limit = quota.Limit(330.0, 330.0)
    _run(limit, lambda _now: (330.0 * 4.7, daemons))
    assert sum(daemon.asks for daemon in daemons) / 15.0 < 79 * 8


def test_two_parts_of_a_cut_mesh_together_keep_to_the_bound():
    """Guards against each part of a cut mesh giving the whole rate."""
    limit = quota.Limit(100.0, 100.0)
    members = {"a": 26, "b": 27, "c": 26}
    ran = []
    for heard, count in (({"a", "b"}, 53), ({"c"}, 26)):
        share = quota.reachable_share(members, heard)
        part, daemons = limit.scaled(share), _daemons(count)
        demand = 4.7 * 100.0 * len(daemons) / 79
        ran += _run(part, lambda _now, d=daemons, r=demand: (r, d))[0]
    assert _most_in_a_window(sorted(ran)) <= _bound(limit)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_third_of_the_daemons_killed_keeps_to_the_bound(seed):
    """Guards against a second burst, and against refusals after the kill.

    The home is one of them, and its requests come to the others from then on.
    """
    limit, killed_at, daemons = quota.Limit(330.0, 330.0), 7.0, _daemons()
    left = daemons[26:]
    for factor in (0.62, 4.7):
        buckets = [quota.Bucket(limit, 0.0, 100.0), None]
        ran, refused = [], []

        def pattern(now, factor=factor):
            here = left if now > killed_at else daemons
            return limit.rate_per_s * factor, here

        for now, daemon in _arrivals(pattern, seed):
            if now > killed_at and buckets[1] is None:
                buckets[1] = quota.Bucket(limit, now)
            is_run = daemon.handle(buckets[now > killed_at], now)
            (ran if is_run else refused).append(now)
        assert _most_in_a_window(ran) <= _bound(limit)
        if factor < 1.0:
            assert len(refused) <= 0.01 * len(ran)


def test_homes_are_spread_and_stay_when_a_daemon_leaves():
    """Guards against tenants that all move when one daemon ends."""
    addresses = [daemon.name for daemon in _daemons()]
    tenants = [f"tenant-{n}" for n in range(200)]
    before = {t: quota.ranking(t, addresses)[0] for t in tenants}
    assert len(set(before.values())) > 50
    left = [address for address in addresses if address != before["tenant-0"]]
    moved = [t for t in tenants if quota.ranking(t, left)[0] != before[t]]
    assert all(before[t] == before["tenant-0"] for t in moved)


CHOIR = generated.Tenant("choir", ("k1",), rate_per_s=100.0, burst=100.0)


class Links:
    """Connections to the home of all tenants, which answers when it is let."""

    def __init__(self):
        """Creates connections whose home does not answer yet."""
        self.may_answer = anyio.Event()
        self.bucket = quota.Bucket(quota.Limit(100.0, 100.0), 0.0, 100.0)
        self.asks = 0

    async def request(self, _address, message, *_args):
        """Returns the answer of the home."""
        self.asks += 1
        await self.may_answer.wait()
        ask = quota.Ask(message.mesh, message.wanted, message.demand / 1000)
        return messages.QuotaGrant(self.bucket.grant(ask, 0.0).tokens, 0)


def _quotas(links, own="10.0.0.1:1", others=("10.0.0.2:1",), tenant=CHOIR):
    """Returns the quotas of a daemon that knows other daemons."""
    table = peers.PeerTable(builders.member("a", mesh=own))
    for address in others:
        table.add(builders.member("b", mesh=address))
    log = decisionlog.DecisionLog("a", "zone-1", len)
    made = quotas_module.Quotas(links, table, log)
    objects = builders.object_set()
    objects["tenant"] = {tenant.name: tenant}
    made.apply(tenants_module.compile_tenants(objects))
    return made, table


def _own_that_is(place):
    """Returns an own address that has a place in the ranking of a tenant."""
    return next(
        own
        for own in (f"10.0.1.{n}:1" for n in range(250))
        if quota.ranking("choir", [own, "10.0.0.2:1"])[place] == own
    )


async def test_requests_that_come_during_an_ask_are_not_refused():
    """Guards against 429 within the rate while the home answers."""
    links = Links()
    quotas, _table = _quotas(links, _own_that_is(1))
    holds = []

    async def take():
        holds.append(await quotas.take(CHOIR))

    async with anyio.create_task_group() as tasks:
        for _ in range(10):
            tasks.start_soon(take)
            await anyio.sleep(0.005)
        links.may_answer.set()
    assert holds == [0.0] * 10
    assert links.asks <= 3


async def test_a_new_home_begins_with_half_of_the_burst():
    """Guards against a burst of the old home and one of the new home."""
    home = "10.0.0.2:1"
    own = _own_that_is(1)
    quotas, table = _quotas(Links(), own)
    # The daemon has been up for long.
    quotas._changed_at -= 100.0
    assert quotas._ranking("choir") == [home, own]
    table.remove(home)
    quotas._grant("choir", quota.Ask(own, 1, 0.0))
    assert quotas._buckets["choir"].tokens <= CHOIR.burst / 2


async def test_a_deputy_counts_zones_that_it_heard_since_the_home_was_lost():
    """Guards against both sides of a cut giving the whole rate."""
    home, other = "10.0.0.2:1", "10.0.0.3:1"
    own = _own_that_is(1)
    quotas, table = _quotas(Links(), own)
    table.add(builders.member("c", mesh=other, zone="zone-2"))
    ranked = quota.ranking("choir", [own, home, other])
    for address in ranked[: ranked.index(own)]:
        table.get(address).member = builders.member(
            "b", mesh=address, zone="zone-2"
        )
        quotas._record_heard(address)
        table.get(address).record_failure(time.monotonic())
    assert quotas._limit("choir").rate_per_s < CHOIR.rate_per_s
    quotas._record_heard(other)
    quotas._shares_until = 0.0
    assert quotas._limit("choir").rate_per_s == CHOIR.rate_per_s


async def test_a_home_that_was_never_asked_has_its_whole_burst():
    """Guards against requests that are refused below the limit."""
    own = _own_that_is(0)
    quotas, _table = _quotas(Links(), own)
    quotas._changed_at -= 100.0
    quotas._shares_until = float("inf")
    assert quotas._grant("choir", quota.Ask(own, 40, 0.0)).tokens == 40


async def test_the_token_of_a_request_that_waited_long_is_not_used_again():
    """Guards against tokens of an earlier window on top of a later one."""
    quotas, _table = _quotas(Links(), _own_that_is(0))
    now = time.monotonic()
    assert await quotas.take(CHOIR) == 0.0
    lease = quotas._uses["choir"].lease
    before = lease._tokens
    quotas.restore(CHOIR, now - quota.LEASE_S)
    assert lease._tokens == before
    quotas.restore(CHOIR, now)
    assert lease._tokens == before + 1


async def test_a_wrong_answer_of_a_home_holds_a_tenant_for_a_moment():
    """Guards against a time of weeks that another daemon names."""
    links = Links()
    links.request = _answer_with_a_long_hold
    quotas, _table = _quotas(links, _own_that_is(1))
    assert await quotas.take(CHOIR) <= quota.MAX_HOLD_S


async def _answer_with_a_long_hold(*_args):
    return messages.QuotaGrant(0, 2**32 - 1)


def test_daemons_that_have_gone_are_forgotten():
    """Guards against state that grows with each replaced daemon."""
    bucket = quota.Bucket(quota.Limit(100.0, 100.0), 0.0, 100.0)
    for number in range(10_000):
        bucket.grant(quota.Ask(f"daemon-{number}", 1, 0.1), number / 10.0)
    assert len(bucket._demands) < 200


async def _start(mesh, rate_per_s, *names):
    choir = {
        "name": "choir",
        "api-keys": ["k1"],
        "rate-per-s": rate_per_s,
        "burst": rate_per_s,
    }
    mesh.version += 1
    spec = meshes.configuration(mesh.version, [TRACK], ("skladby",))
    mesh.store.put("config", "main", spec | {"tenants": [choir]})
    for name in names:
        await mesh.add(name)
    await mesh.wait_ready()
    await mesh.send_heartbeats()


async def _call(mesh, name):
    return await mesh.call(name, "/track/1", authorization="Bearer k1")


async def test_requests_at_all_daemons_share_one_quota():
    """Guards against a quota for each daemon; the Retry-After is given."""
    async with meshes.running() as mesh:
        await _start(mesh, 4, "a", "b", "c")
        await anyio.sleep(1.0)
        answers = [await _call(mesh, name) for name in "abc" * 6]
        statuses = [answer[0] for answer in answers]
        assert 4 <= statuses.count(200) <= 10
        refused = [answer for answer in answers if answer[0] == 429]
        assert all(
            float(headers[b"retry-after"]) > 0 for _, headers, _ in refused
        )


async def test_a_killed_home_refuses_no_request_within_the_rate():
    """Guards against requests that wait for a home that is gone."""
    async with meshes.running() as mesh:
        await _start(mesh, 400, "a", "b", "c")
        instance = mesh.instances["a"]
        (home, *_rest) = instance.node._dispatcher.quotas._ranking("choir")
        killed = next(
            name
            for name, i in mesh.instances.items()
            if i.settings.listen.mesh == home
        )
        mesh.instances[killed].kill()
        for name in "abc".replace(killed, ""):
            assert (await _call(mesh, name))[0] == 200
