"""Claims of plain idempotency keys in a store that fails."""

import random

import anyio
import pytest

from rattangauge import errors
from rattangauge.calls import exchange
from rattangauge.calls import keys
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import claims as claims_module
from rattangauge.net import object_store
from tests import peers

pytestmark = pytest.mark.anyio


class RandomStore:
    """In-memory store with random delays and lost replies."""

    def __init__(self, seed, lose=0.0):
        """Creates an empty store that loses a share of the write replies."""
        self.objects = {}
        self.writes = 0
        self._random = random.Random(seed)
        self._lost_share = lose

    async def get(self, path):
        """See ``object_store.Store``."""
        await anyio.sleep(self._random.random() * 0.004)
        return self.objects.get(path)

    async def put(self, path, data, expected):
        """See ``object_store.Store``."""
        await anyio.sleep(self._random.random() * 0.004)
        old = self.objects.get(path)
        if (old.version if old else 0) != expected:
            raise errors.CodedError(errorcodes.STORE_CONFLICT, "", path)
        self.writes += 1
        self.objects[path] = object_store.Stored(path, expected + 1, data)
        if self._random.random() < self._lost_share:
            raise errors.CodedError(errorcodes.STORE_OUTCOME_UNKNOWN, "", path)
        return expected + 1


def issued(instance, issued_ms):
    return f"rg1.zone-1.{instance}.1.{issued_ms}.n"


@pytest.mark.parametrize("seed", range(6))
async def test_racing_daemons_agree(seed, monkeypatch):
    """Guards against daemons that get different claims for one key."""
    monkeypatch.setattr(claims_module, "BUCKETS", 2)
    store = RandomStore(seed, lose=0.3)
    now = claims_module.util.now_ms()
    claimed = {}

    async def claim(claims, instance, name):
        value = await claims.claim(name, issued(instance, now), 30.0)
        claimed.setdefault(name, []).append(value)

    names = [claims_module.claim_name("t", f"k{n}") for n in range(10)]
    async with anyio.create_task_group() as tasks:
        for instance in ("a", "b", "c"):
            claims = claims_module.KeyClaims(peers.settings(), store, tasks)
            for name in names:
                tasks.start_soon(claim, claims, instance, name)
    assert {len(values) for values in claimed.values()} == {3}
    assert all(len(set(values)) == 1 for values in claimed.values())
    # There are 30 claims; those of one daemon and bucket share a write.
    assert store.writes <= 15


async def test_store_that_does_not_answer():
    """Guards against a call that runs though its key is not claimed."""

    class SilentStore(RandomStore):
        async def get(self, _path):
            await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        claims = claims_module.KeyClaims(
            peers.settings(), SilentStore(1), tasks
        )
        with pytest.raises(exchange.CallFailed) as caught:
            await claims.claim("00000000", issued("a", 1), 0.1)
        tasks.cancel_scope.cancel()
    assert caught.value.code == errorcodes.KEY_UNCLAIMED
    assert caught.value.outcome == messages.Outcome.NOT_RUN


def test_old_claims_are_removed():
    """Guards against old claims that stay, and claims removed too early."""
    now = claims_module.RETENTION_MS + 1000
    present = {"old": issued("a", 999), "kept": issued("a", 1000)}
    wanted = {"old": issued("b", now), "kept": issued("b", now)}
    merged = claims_module.merge_claims(present, wanted, now)
    assert keys.parse(merged["old"]).instance == "b"
    assert keys.parse(merged["kept"]).instance == "a"
