"""Selection of the daemon from which a newer edition is pulled, and when.

No function here does I/O: time and random numbers are arguments.
"""

import random as random_module
from typing import NamedTuple

# Number of daemons that are remembered as sources of the wanted edition.
MAX_SOURCES = 8
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 30.0


def backoff_s(
    failures: int,
    random: random_module.Random,
    first_s: float = FIRST_BACKOFF_S,
    limit_s: float = MAX_BACKOFF_S,
) -> float:
    """Returns the time to wait after consecutive failures, in seconds.

    The time doubles with each failure. Half of it is random, so that daemons
    which failed at the same time do not retry at the same time.

    Args:
        failures: Number of consecutive failures.
        random: Random numbers for the jitter.
        first_s: Longest time after the first failure, in seconds.
        limit_s: Longest time after any number of failures, in seconds.
    """
    full = min(limit_s, first_s * 2 ** min(failures - 1, 30))
    return full * random.uniform(0.5, 1.0)


class Pull(NamedTuple):
    """An edition to pull and the daemon to request it from.

    Attributes:
        version: Version of the edition.
        digest: Digest of the edition.
        address: Mesh address of the daemon.
        whole: Whether to request the whole edition instead of a delta.
    """

    version: int
    digest: str
    address: str
    is_whole: bool


class _Source(NamedTuple):
    """A daemon that has the wanted edition.

    Attributes:
        not_before: Monotonic time of the next allowed pull, in seconds.
        failures: Number of consecutive failed pulls.
        whole: Whether to request the whole edition instead of a delta.
    """

    not_before: float = 0.0
    failures: int = 0
    whole: bool = False


class WantedEdition:
    """The newest edition that other daemons reported, and its sources."""

    def __init__(self) -> None:
        """Creates an instance that wants no edition."""
        self._version = 0
        self._digest = ""
        self._sources: dict[str, _Source] = {}

    @property
    def version(self) -> int:
        """Wanted version; 0 if none is wanted."""
        return self._version

    @property
    def digest(self) -> str:
        """Digest of the wanted edition; empty if none is wanted."""
        return self._digest

    def add_source(self, version: int, digest: str, address: str) -> bool:
        """Adds a daemon as a source of an edition.

        A newer version replaces the wanted one and its sources.

        Returns:
            Whether the source was added.
        """
        if version < self._version:
            return False
        if version > self._version:
            self._version, self._digest = version, digest
            self._sources = {}
        # Another digest of the same version is a fork. The first one is kept.
        if digest != self._digest or address in self._sources:
            return False
        if len(self._sources) >= MAX_SOURCES:
            return False
        self._sources[address] = _Source()
        return True

    def clear(self) -> None:
        """Clears the wanted edition once it is in force or finally rejected."""
        self._version, self._digest, self._sources = 0, "", {}

    def next(self, now: float, random: random_module.Random) -> Pull | None:
        """Returns a pull from a random source that is due; None if none is."""
        due = [
            address
            for address, source in self._sources.items()
            if source.not_before <= now
        ]
        if not due:
            return None
        address = random.choice(due)
        whole = self._sources[address].whole
        return Pull(self._version, self._digest, address, whole)

    def wait_s(self, now: float) -> float | None:
        """Returns the seconds to the next pull; None if nothing is wanted."""
        if not self._sources:
            return None
        times = [source.not_before for source in self._sources.values()]
        return max(0.0, min(times) - now)

    def record_failure(
        self, address: str, now: float, random: random_module.Random
    ) -> None:
        """Records a failed pull.

        The next pull from that daemon requests the whole edition, since the
        delta may be what failed.
        """
        source = self._sources.get(address)
        if source is not None:
            failures = source.failures + 1
            not_before = now + backoff_s(failures, random)
            self._sources[address] = _Source(not_before, failures, True)

    def record_refusal(
        self,
        address: str,
        now: float,
        retry_after_s: float,
        random: random_module.Random,
    ) -> None:
        """Records that a daemon refused a pull because it was busy.

        Args:
            address: Mesh address of the daemon.
            now: Monotonic time in seconds.
            retry_after_s: Time after which the daemon accepts pulls again, in
                seconds.
            random: Random numbers for the jitter.
        """
        source = self._sources.get(address)
        if source is not None:
            wait_s = retry_after_s * random.uniform(1.0, 1.5)
            self._sources[address] = source._replace(not_before=now + wait_s)
