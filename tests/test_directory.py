"""Reads of the directory of daemons while the store is away."""

import anyio
import pytest

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.membership import peers as peers_module
from rattangauge.sidecar import directory
from rattangauge.sidecar import stores
from tests import builders

# Time for which the store is away, in seconds.
AWAY_S = 60.0
DAEMONS = 100


class AwayStore:
    """Store that is away until a time and then lists nobody.

    Attributes:
        now: Time in seconds.
        calls: Times of the calls.
        writes: Entries that were written.
    """

    def __init__(self):
        """Creates a store at time 0."""
        self.now = 0.0
        self.calls = []
        self.writes = []

    def _answer(self):
        self.calls.append(self.now)
        if self.now < AWAY_S:
            raise errors.CodedError(errorcodes.STORE_UNAVAILABLE, "away")

    async def add_daemon(self, entry):
        """Writes an entry."""
        self._answer()
        self.writes.append(entry)

    async def list_daemons(self, may_be_stale):
        """Returns the entry of a daemon whose write was not lost."""
        self._answer()
        return [stores.DirectoryEntry("10.0.0.2:80", "z", "r")]


class StopError(Exception):
    """Ends a loop."""


async def follow(monkeypatch, has_read):
    """Follows the directory until the first read.

    Returns:
        The store, and the time of that read after its return, in seconds.
    """
    store = AwayStore()

    async def sleep(pause_s):
        store.now += pause_s
        if store.writes:
            raise StopError

    monkeypatch.setattr(anyio, "sleep", sleep)
    peers = peers_module.PeerTable(builders.member("own"))
    started = []
    followed = directory.Directory(
        store,
        peers,
        started.append,
        decisionlog.DecisionLog("own", "zone-1", len),
    )
    followed._has_read = has_read
    with pytest.raises(StopError):
        await followed.follow()
    assert started == ["10.0.0.2:80"]
    return store, min(at for at in store.calls if at >= AWAY_S) - AWAY_S


async def test_a_store_that_returns_is_not_called_by_all_at_once(monkeypatch):
    """Guards against a storm of reads and writes after the store was away."""
    returns = []
    for _ in range(DAEMONS):
        store, returned_s = await follow(monkeypatch, True)
        assert len(store.calls) <= AWAY_S / directory.MAX_RETRY_S * 2 + 8
        assert len(store.writes) == 1
        returns.append(returned_s)
    width_s = directory.MAX_RETRY_S / 10
    for begin in returns:
        near = [r for r in returns if begin <= r < begin + width_s]
        assert len(near) <= 0.3 * DAEMONS


async def test_a_daemon_that_has_just_started_asks_more_often(monkeypatch):
    """Guards against a daemon that finds its peers late."""
    _store, returned_s = await follow(monkeypatch, False)
    assert returned_s <= directory.MAX_FIRST_RETRY_S
