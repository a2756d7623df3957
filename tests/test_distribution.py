"""Tests of the distribution of editions, also against a reference model."""

import random

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from rattangauge.config import check
from rattangauge.config import delta
from rattangauge.config import edition as edition_module
from rattangauge.config import pulls
from rattangauge.config import versions
from rattangauge.generated import objects as generated
from tests import builders

PROXIES = 4


class ReferenceProxy:
    """A proxy that reads the store at each step: the expected behaviour."""

    def __init__(self):
        """Creates a proxy without an edition."""
        self.current = None

    def read(self, offered):
        """Uses the edition in the store if it is newer and valid."""
        if self.current and offered.version <= self.current.version:
            return
        objects = check_and_decode(offered)
        if objects is not None:
            self.current = offered


def check_and_decode(offered):
    """Returns the objects of a complete and consistent edition, else None."""
    if edition_module.digest_of(offered.data) != offered.digest:
        return None
    try:
        edition = edition_module.decode(*offered[:3])
    except Exception:
        return None
    return edition.objects


class SimulatedMesh:
    """Proxies whose messages are reordered, lost, damaged or repeated."""

    def __init__(self, seed):
        """Creates proxies without an edition."""
        self.random = random.Random(seed)
        self.head = None
        self.published = {}
        self.now = 0.0
        self.holders = [versions.ActiveEdition() for _ in range(PROXIES)]
        self.wanted = [pulls.WantedEdition() for _ in range(PROXIES)]
        self.reference_proxies = [ReferenceProxy() for _ in range(PROXIES)]
        self.floors = [0] * PROXIES
        self.inbox = []

    def publish(self, services, bad):
        """Writes an edition to the store, with a bad reference if asked."""
        version = len(self.published) + 1
        names = tuple(f"s{index}" for index in range(services))
        objects = builders.object_set(names, timeout_ms=version)
        if bad:
            route = generated.Route("bad", "missing", "/bad")
            objects["route"]["bad"] = route
        self.head = versions.OfferedEdition(version, *builders.encoded(objects))
        self.published[version] = self.head, bad

    def read_store(self, proxy):
        """Lets a proxy read the edition in the store, as a gateway does."""
        if self.head is not None:
            self.holders[proxy].take(self.head)

    def hint(self, sender, receiver):
        """Sends a proxy's version to another proxy."""
        holder = self.holders[sender]
        if self.holders[receiver].wants(holder.version, holder.digest):
            self.wanted[receiver].add_source(
                holder.version, holder.digest, str(sender)
            )

    def pull(self, proxy):
        """Lets a proxy request an edition; the answer goes to the inbox."""
        self.now += 60.0
        pull = self.wanted[proxy].next(self.now, self.random)
        if pull is None:
            return
        holder = self.holders[proxy]
        source = self.holders[int(pull.address)]
        if source.current is None:
            self.wanted[proxy].record_failure(
                pull.address, self.now, self.random
            )
            return
        data = source.delta_from(holder.version, holder.digest)
        is_delta = data is not None and not pull.is_whole
        answer = versions.OfferedEdition(
            source.version,
            source.digest,
            data if is_delta else source.current.data,
            is_delta,
        )
        self.inbox.append((proxy, pull.address, answer))

    def deliver(self, position, damage, duplicate):
        """Delivers an answer from the inbox, damaged or repeated on request."""
        if not self.inbox:
            return
        proxy, address, answer = self.inbox.pop(position % len(self.inbox))
        if duplicate:
            self.inbox.append((proxy, address, answer))
        if damage:
            answer = answer._replace(data=answer.data[:-damage])
        taken = self.holders[proxy].take(answer)
        if taken.decision is versions.Decision.ADOPT:
            self.wanted[proxy].clear()
        else:
            self.wanted[proxy].record_failure(address, self.now, self.random)

    def restart(self, proxy):
        """Restarts a proxy, which receives its floor from another daemon."""
        self.holders[proxy] = versions.ActiveEdition()
        self.wanted[proxy] = pulls.WantedEdition()
        self.holders[proxy].raise_floor(self.floors[proxy])

    def check(self):
        """Checks the invariants that must hold after every step."""
        for proxy, holder in enumerate(self.holders):
            if self.head is not None:
                self.reference_proxies[proxy].read(self.head)
            # The reference proxy is always up to date, so no proxy may have a
            # higher version.
            expected = self.reference_proxies[proxy].current
            assert holder.version <= (expected.version if expected else 0)
            if holder.current is None:
                continue
            edition = holder.current
            # The version of a proxy never decreases, not even by a restart.
            assert edition.version >= self.floors[proxy]
            self.floors[proxy] = edition.version
            # The edition has no dangling reference.
            assert not check.check_objects(edition.objects)
            # The edition is exactly the one that was published.
            published, bad = self.published[edition.version]
            assert not bad
            assert (edition.digest, edition.data) == published[1:3]

    def settle(self):
        """Delivers all messages while every proxy pulls three times."""
        self.inbox.clear()
        self.read_store(0)
        for _ in range(3):
            for proxy in range(1, PROXIES):
                self.hint(0, proxy)
                self.pull(proxy)
                while self.inbox:
                    self.deliver(0, 0, False)
                self.check()


_proxy = strategies.integers(0, PROXIES - 1)
_step = strategies.one_of(
    strategies.tuples(
        strategies.just("publish"),
        strategies.integers(1, 5),
        strategies.booleans(),
    ),
    strategies.tuples(strategies.just("read_store"), _proxy),
    strategies.tuples(strategies.just("hint"), _proxy, _proxy),
    strategies.tuples(strategies.just("pull"), _proxy),
    strategies.tuples(
        strategies.just("deliver"),
        strategies.integers(0, 9),
        strategies.sampled_from((0, 0, 1, 20)),
        strategies.booleans(),
    ),
    strategies.tuples(strategies.just("restart"), _proxy),
)


# A daemon with an older version offers it to a daemon that has restarted.
# Random steps rarely reach this case.
_OLDER_AFTER_RESTART = [
    ("publish", 1, False),
    ("read_store", 0),
    ("publish", 2, False),
    ("read_store", 1),
    ("restart", 1),
    ("hint", 0, 1),
    ("pull", 1),
    ("deliver", 0, 0, False),
]


@settings(max_examples=200, deadline=None)
@example(_OLDER_AFTER_RESTART, 1)
@given(strategies.lists(_step, max_size=40), strategies.integers(0, 99))
def test_histories_keep_the_invariants_and_converge(steps, seed):
    """Guards against proxies that go back, diverge or use a bad edition.

    These are the properties P1 to P3, here with reordered, lost, damaged and
    repeated messages. At the end another valid edition is published, and all
    proxies must then have the same edition as the reference proxies.
    """
    mesh = SimulatedMesh(seed)
    for name, *arguments in steps:
        getattr(mesh, name)(*arguments)
        mesh.check()
    mesh.publish(3, False)
    mesh.settle()
    assert mesh.reference_proxies[0].current == mesh.head
    for holder, reference in zip(
        mesh.holders, mesh.reference_proxies, strict=True
    ):
        assert (holder.version, holder.digest) == reference.current[:2]


def test_delta_is_refused_by_an_empty_proxy():
    """Guards against a crash on a delta that an earlier process requested."""
    old, new = builders.edition(1), builders.edition(2)
    offered = versions.OfferedEdition(
        2, new.digest, delta.encode_delta(old, new), True
    )
    assert versions.ActiveEdition().take(offered).code == "edition.delta_base"


def test_refused_teller_is_not_asked_before_its_time():
    """Guards against requests to a busy daemon without a pause."""
    wanted = pulls.WantedEdition()
    rng = random.Random(1)
    wanted.add_source(2, "d", "a")
    wanted.record_refusal("a", 10.0, 0.2, rng)
    assert wanted.next(10.1, rng) is None
    assert wanted.next(10.4, rng).address == "a"


def test_newer_version_replaces_a_wanted_one():
    """Guards against a proxy that keeps requesting an outdated version."""
    wanted = pulls.WantedEdition()
    rng = random.Random(1)
    wanted.add_source(2, "two", "a")
    assert wanted.add_source(3, "three", "b")
    assert not wanted.add_source(2, "two", "c")
    assert wanted.next(0.0, rng) == pulls.Pull(3, "three", "b", False)


def test_failures_back_off_with_jitter_and_a_limit():
    """Guards against many simultaneous retries after a long outage."""
    rng = random.Random(1)
    waits = [pulls.backoff_s(count, rng) for count in range(1, 60)]
    assert waits[0] <= pulls.FIRST_BACKOFF_S
    assert max(waits) <= pulls.MAX_BACKOFF_S
    assert min(waits[20:]) >= pulls.MAX_BACKOFF_S / 2
    assert len(set(waits[20:])) > 30
