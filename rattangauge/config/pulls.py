"""Decides from whom a daemon pulls a newer edition, and when.

No function here does I/O: time and random numbers are arguments.
"""

import random as random_module
from typing import NamedTuple

# Daemons that are remembered as having an edition.
MAX_TELLERS = 8
FIRST_DELAY_S = 0.1
MAX_DELAY_S = 30.0


def backoff_s(
    failures: int,
    random: random_module.Random,
    first_s: float = FIRST_DELAY_S,
    limit_s: float = MAX_DELAY_S,
) -> float:
    """Returns the time to wait after some failures in a row, in seconds.

    The time doubles with each failure. Half of it is random, so that daemons
    that failed together do not return together.
    """
    full = min(limit_s, first_s * 2 ** min(failures - 1, 30))
    return full * random.uniform(0.5, 1.0)


class Pull(NamedTuple):
    """An edition to pull and the daemon to ask.

    Attributes:
        version: Version that the daemon has.
        digest: Digest of that edition.
        address: Mesh address of the daemon.
        whole: Whether a delta must not be asked for.
    """

    version: int
    digest: str
    address: str
    whole: bool


class _Teller(NamedTuple):
    """A daemon that has the wanted edition."""

    not_before: float = 0.0
    failures: int = 0
    whole: bool = False


class Wanted:
    """The newest edition that was heard of, and who has it."""

    def __init__(self) -> None:
        """Creates it without an edition."""
        self._version = 0
        self._digest = ""
        self._tellers: dict[str, _Teller] = {}

    @property
    def version(self) -> int:
        """Version that is wanted; 0 if none is."""
        return self._version

    @property
    def digest(self) -> str:
        """Digest of the wanted edition."""
        return self._digest

    def offer(self, version: int, digest: str, address: str) -> bool:
        """Notes who has an edition; returns whether this is news."""
        if version < self._version:
            return False
        if version > self._version:
            self._version, self._digest = version, digest
            self._tellers = {}
        # A second digest of the version is a fork: the first one stays.
        if digest != self._digest or address in self._tellers:
            return False
        if len(self._tellers) >= MAX_TELLERS:
            return False
        self._tellers[address] = _Teller()
        return True

    def clear(self) -> None:
        """Forgets the edition, because it was taken or refused for good."""
        self._version, self._digest, self._tellers = 0, "", {}

    def next(self, now: float, random: random_module.Random) -> Pull | None:
        """Returns the next pull that is due; None if there is none."""
        due = [
            address
            for address, teller in self._tellers.items()
            if teller.not_before <= now
        ]
        if not due:
            return None
        address = random.choice(due)
        whole = self._tellers[address].whole
        return Pull(self._version, self._digest, address, whole)

    def wait_s(self, now: float) -> float | None:
        """Returns the time to the next pull; None if nothing is wanted."""
        if not self._tellers:
            return None
        times = [teller.not_before for teller in self._tellers.values()]
        return max(0.0, min(times) - now)

    def failed(
        self, address: str, now: float, random: random_module.Random
    ) -> None:
        """Notes that a pull failed; the next one asks for the whole."""
        teller = self._tellers.get(address)
        if teller is not None:
            failures = teller.failures + 1
            not_before = now + backoff_s(failures, random)
            self._tellers[address] = _Teller(not_before, failures, True)

    def refused(
        self,
        address: str,
        now: float,
        retry_after_s: float,
        random: random_module.Random,
    ) -> None:
        """Notes that a daemon is busy and when it may be asked again."""
        teller = self._tellers.get(address)
        if teller is not None:
            wait_s = retry_after_s * random.uniform(1.0, 1.5)
            self._tellers[address] = teller._replace(not_before=now + wait_s)
