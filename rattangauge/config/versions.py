"""The edition that a daemon has in force and the rules for replacing it.

A daemon never goes back to an older version, not even after a restart, and
never uses an edition that is damaged or inconsistent.
"""

import collections
import enum
from typing import NamedTuple

from rattangauge import errors
from rattangauge.config import delta as delta_module
from rattangauge.config import edition as edition_module
from rattangauge.generated import errorcodes

# Number of previous editions that are kept as bases of deltas for other
# daemons.
MAX_DELTA_BASES = 8
# Number of invalid editions that are remembered, so that they are not fetched
# again.
MAX_REJECTED_EDITIONS = 64


class Decision(enum.Enum):
    """What to do with an offered edition."""

    # The edition is newer than the one in force.
    ADOPT = "adopt"
    # The edition is already in force.
    IGNORE = "ignore"
    # The version is older than the one in force.
    OLDER = "older"
    # The version is the one in force, but its content differs.
    FORK = "fork"
    # The version is older than one that this instance had before a restart.
    BELOW_FLOOR = "below_floor"


REJECTION_CODES = {
    Decision.OLDER: errorcodes.EDITION_OLDER,
    Decision.FORK: errorcodes.EDITION_FORK,
    Decision.BELOW_FLOOR: errorcodes.EDITION_BELOW_FLOOR,
}

# Errors of one received copy, such as a truncated transfer. Another copy of the
# same edition may be valid.
TRANSFER_ERROR_CODES = frozenset(
    (
        errorcodes.EDITION_DIGEST,
        errorcodes.EDITION_MALFORMED,
        errorcodes.EDITION_DELTA_BASE,
    )
)


class OfferedEdition(NamedTuple):
    """An edition, or a delta to it, from the store or from another daemon.

    Attributes:
        version: Version of the edition.
        digest: Digest of the whole edition.
        data: The encoded edition or delta.
        is_delta: Whether the data are a delta from the edition in force.
    """

    version: int
    digest: str
    data: bytes
    is_delta: bool = False


class AdoptionResult(NamedTuple):
    """The result of offering an edition.

    Attributes:
        decision: What was decided; None if the data were invalid.
        code: Error code if the edition was rejected, or empty.
        reason: Message for operators that says why it was rejected.
        is_final: Whether another copy of it would be rejected as well.
    """

    decision: Decision | None
    code: str = ""
    reason: str = ""
    is_final: bool = False


def decide(
    current: edition_module.Edition | None,
    version: int,
    digest: str,
    floor: int,
) -> Decision:
    """Decides whether to use an offered edition.

    Args:
        current: Edition in force, if any.
        version: Version of the offered edition.
        digest: Digest of the offered edition.
        floor: Highest version that the instance is known to have had.
    """
    if current is not None and version == current.version:
        if digest != current.digest:
            return Decision.FORK
        return Decision.IGNORE
    if current is not None and version < current.version:
        return Decision.OLDER
    if version < floor:
        return Decision.BELOW_FLOOR
    return Decision.ADOPT


class ActiveEdition:
    """The edition that one daemon has in force; does no I/O."""

    def __init__(self) -> None:
        """Creates a holder without an edition."""
        self._current: edition_module.Edition | None = None
        self._floor = 0
        self._delta_bases: collections.deque[edition_module.Edition] = (
            collections.deque(maxlen=MAX_DELTA_BASES)
        )
        self._rejected: dict[tuple[int, str], str] = {}

    @property
    def current(self) -> edition_module.Edition | None:
        """Edition in force, if any."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none."""
        return self._current.version if self._current else 0

    @property
    def digest(self) -> str:
        """Digest of the edition in force; empty if there is none."""
        return self._current.digest if self._current else ""

    @property
    def floor(self) -> int:
        """Version below which every edition is rejected."""
        return self._floor

    def raise_floor(self, version: int) -> None:
        """Raises the floor to a version that this instance had in force."""
        self._floor = max(self._floor, version)

    def wants(self, version: int, digest: str) -> bool:
        """Returns whether an edition should be fetched."""
        if not version or (version, digest) in self._rejected:
            return False
        decision = decide(self._current, version, digest, self._floor)
        return decision is Decision.ADOPT

    def evaluate(self, version: int, digest: str) -> AdoptionResult:
        """Decides on an edition by its version and digest, without its data."""
        decision = decide(self._current, version, digest, self._floor)
        code = REJECTION_CODES.get(decision, "")
        if not code:
            return AdoptionResult(decision)
        reason = (
            f"version {version} with digest {digest[:12]} was offered; "
            f"version {self.version} with digest {self.digest[:12]} "
            f"is in force and {self._floor} is the floor"
        )
        return AdoptionResult(decision, code, reason, True)

    def take(self, offered: OfferedEdition) -> AdoptionResult:
        """Puts an edition in force if it is newer, complete and consistent."""
        decided = self.evaluate(offered.version, offered.digest)
        if decided.decision is not Decision.ADOPT:
            return decided
        try:
            edition = self._decode(offered)
        except errors.FindingsError as error:
            return self._reject(offered, error)
        if self._current is not None:
            self._delta_bases.append(self._current)
        self._current = edition
        return AdoptionResult(Decision.ADOPT)

    def _decode(self, offered: OfferedEdition) -> edition_module.Edition:
        version, digest, data, is_delta = offered
        if not is_delta:
            return edition_module.decode(version, digest, data)
        if self._current is None:
            place = f"delta to version {version}"
            text = "there is no edition that the delta could start from"
            code = errorcodes.EDITION_DELTA_BASE
            raise errors.FindingsError([errors.Finding(place, "", text, code)])
        return delta_module.apply_delta(self._current, version, digest, data)

    def _reject(
        self, offered: OfferedEdition, error: errors.FindingsError
    ) -> AdoptionResult:
        code = error.findings[0].code
        is_final = code not in TRANSFER_ERROR_CODES
        if is_final:
            self._rejected[offered.version, offered.digest] = code
            if len(self._rejected) > MAX_REJECTED_EDITIONS:
                del self._rejected[next(iter(self._rejected))]
        return AdoptionResult(None, code, str(error), is_final)

    def delta_from(self, version: int, digest: str) -> bytes | None:
        """Returns the delta from an older edition to the one in force.

        Returns None if there is no edition in force or if the older edition is
        not kept.
        """
        if self._current is None:
            return None
        for base in self._delta_bases:
            if (base.version, base.digest) == (version, digest):
                return delta_module.encode_delta(base, self._current)
        return None
