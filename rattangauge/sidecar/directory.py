"""Registers the daemon in the store's directory and finds the others there."""

from collections.abc import Callable
import random as random_module

import anyio
import loguru

from rattangauge import decisionlog
from rattangauge import errors
from rattangauge.generated import logevents
from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module
from rattangauge.sidecar import stores

# Time between two reads of the directory.
PERIOD_S = 10.0
# Time from a failed read to the next one. It doubles with each failure in a
# row, up to the second value, or the third once there has been a read.
RETRY_S = 0.3
MAX_FIRST_RETRY_S = 1.0
MAX_RETRY_S = 5.0


def longest_retry_s(failures: int, has_read: bool) -> float:
    """Returns the longest time from a failed read to the next one, in seconds.

    A daemon that has its peers can wait, so that a store that comes back is
    not called by the whole fleet at once.

    Args:
        failures: Failures in a row.
        has_read: Whether the directory has been read before.

    >>> [longest_retry_s(failures, True) for failures in (1, 2, 3, 9)]
    [0.3, 0.6, 1.2, 5.0]
    >>> longest_retry_s(9, False)
    1.0
    """
    limit_s = MAX_RETRY_S if has_read else MAX_FIRST_RETRY_S
    return min(limit_s, RETRY_S * 2 ** min(failures - 1, 8))


class Directory:
    """Keeps the daemon's own entry and adds the daemons of the others."""

    def __init__(
        self,
        store: stores.Store,
        peers: peers_module.PeerTable,
        start_exchange: Callable[[str], None],
        log: decisionlog.DecisionLog,
    ) -> None:
        """Creates the state before the first read.

        Args:
            store: Store with the directory.
            peers: Table to which listed daemons are added.
            start_exchange: Starts the exchange with a new peer, by address.
            log: Log of decisions.
        """
        self._store = store
        self._peers = peers
        self._start_exchange = start_exchange
        self._log = log
        self._random = random_module.Random()
        self._has_read = False
        self._is_stopping = False

    def stop(self) -> None:
        """Lets the entry be missing from now on."""
        self._is_stopping = True

    async def follow(self) -> None:
        """Reads the directory again and again until cancelled."""
        failures = 0
        while True:
            try:
                await self._read()
            except errors.CodedError as error:
                loguru.logger.debug(
                    "cannot read the directory of daemons: {}", error
                )
                failures += 1
                pause_s = longest_retry_s(failures, self._has_read)
                share = self._random.uniform(0.5, 1.0)
            else:
                failures = 0
                pause_s = PERIOD_S
                share = self._random.uniform(0.7, 1.3)
            await anyio.sleep(pause_s * share)

    async def _read(self) -> None:
        """Reads the directory once, and adds the daemon if it is missing.

        A listed daemon that is missing later is no reason to remove a peer: the
        store may have come back from an older copy.

        Raises:
            errors.CodedError: The store did not answer.
        """
        own = self._peers.own.member
        entry = stores.DirectoryEntry(own.mesh, own.zone, own.region)
        is_first = not self._has_read
        if is_first:
            # Writes before it reads: if two daemons start together, at least
            # the one that reads later sees the other.
            await self._store.add_daemon(entry)
        entries = await self._store.list_daemons(may_be_stale=not is_first)
        self._has_read = True
        if entry not in entries and not self._is_stopping:
            await self._store.add_daemon(entry)
            self._log.record(logevents.DirectoryEntryRestored(len(entries)))
        for other in entries:
            self._add_peer(other)

    def _add_peer(self, entry: stores.DirectoryEntry) -> None:
        member = messages.Member(
            mesh=entry.mesh, zone=entry.zone, region=entry.region
        )
        if self._peers.add(member) is not None:
            self._start_exchange(entry.mesh)
