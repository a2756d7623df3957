"""Decides whether a daemon takes an edition, and keeps the one in force."""

import collections
import enum
from typing import NamedTuple

from rattangauge import errors
from rattangauge.config import delta as delta_module
from rattangauge.config import edition as edition_module
from rattangauge.generated import errorcodes

# Older editions that are kept as the base of deltas for other daemons.
KEPT_EDITIONS = 8
# Refused editions that are remembered so that they are not tried again.
KEPT_REFUSALS = 64


class Decision(enum.Enum):
    """What to do with an offered edition."""

    ADOPT = "adopt"
    IGNORE = "ignore"
    # The version is older than the one in force.
    OLDER = "older"
    # The same version number came with another content.
    FORK = "fork"
    # The version is older than one that this instance had before a restart.
    BELOW_FLOOR = "below_floor"


CODES = {
    Decision.OLDER: errorcodes.EDITION_OLDER,
    Decision.FORK: errorcodes.EDITION_FORK,
    Decision.BELOW_FLOOR: errorcodes.EDITION_BELOW_FLOOR,
}

# These findings say that a copy is bad, not that the edition is.
COPY_FAULTS = frozenset(
    (
        errorcodes.EDITION_DIGEST,
        errorcodes.EDITION_MALFORMED,
        errorcodes.EDITION_DELTA_BASE,
    )
)


class Offered(NamedTuple):
    """An edition, or a delta to it, as it came from elsewhere.

    Attributes:
        version: Its version.
        digest: Digest of the whole edition.
        data: The encoded edition or delta.
        is_delta: Whether the data are a delta from the edition in force.
    """

    version: int
    digest: str
    data: bytes
    is_delta: bool = False


class Taken(NamedTuple):
    """What became of an offered edition.

    Attributes:
        decision: What was decided.
        code: Error code if it was rejected, or empty.
        reason: Why it was rejected, for people.
        is_final: Whether another copy would be rejected as well.
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
    """Decides on an offered edition.

    Args:
        current: Edition in force, if any.
        version: Version that is offered.
        digest: Digest that is offered.
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


class Holder:
    """The edition in force of one daemon, without any I/O."""

    def __init__(self) -> None:
        """Creates a holder without an edition."""
        self._current: edition_module.Edition | None = None
        self._floor = 0
        self._kept: collections.deque[edition_module.Edition] = (
            collections.deque(maxlen=KEPT_EDITIONS)
        )
        self._refused: dict[tuple[int, str], str] = {}

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
        """Version below which nothing is taken."""
        return self._floor

    def raise_floor(self, version: int) -> None:
        """Notes a version that this instance had before it restarted."""
        self._floor = max(self._floor, version)

    def wants(self, version: int, digest: str) -> bool:
        """Tells whether an edition should be fetched."""
        if not version or (version, digest) in self._refused:
            return False
        decision = decide(self._current, version, digest, self._floor)
        return decision is Decision.ADOPT

    def judge(self, version: int, digest: str) -> Taken:
        """Decides on an edition before its data are known."""
        decision = decide(self._current, version, digest, self._floor)
        code = CODES.get(decision, "")
        if not code:
            return Taken(decision)
        text = (
            f"version {version} with digest {digest[:12]} was offered; "
            f"version {self.version} with digest {self.digest[:12]} "
            f"is in force and {self._floor} is the floor"
        )
        return Taken(decision, code, text, True)

    def take(self, offered: Offered) -> Taken:
        """Puts an edition in force if it is newer, whole and consistent."""
        judged = self.judge(offered.version, offered.digest)
        if judged.decision is not Decision.ADOPT:
            return judged
        try:
            edition = self._decode(offered)
        except errors.FindingsError as error:
            return self._refuse(offered, error)
        if self._current is not None:
            self._kept.append(self._current)
        self._current = edition
        return Taken(Decision.ADOPT)

    def _decode(self, offered: Offered) -> edition_module.Edition:
        version, digest, data, is_delta = offered
        if not is_delta:
            return edition_module.decode(version, digest, data)
        if self._current is None:
            place = f"delta to version {version}"
            text = "there is no edition that the delta could start from"
            code = errorcodes.EDITION_DELTA_BASE
            raise errors.FindingsError([errors.Finding(place, "", text, code)])
        return delta_module.apply(self._current, version, digest, data)

    def _refuse(self, offered: Offered, error: errors.FindingsError) -> Taken:
        code = error.findings[0].code
        is_final = code not in COPY_FAULTS
        if is_final:
            self._refused[offered.version, offered.digest] = code
            if len(self._refused) > KEPT_REFUSALS:
                del self._refused[next(iter(self._refused))]
        return Taken(None, code, str(error), is_final)

    def delta_from(self, version: int, digest: str) -> bytes | None:
        """Returns the delta from an older edition, if it is kept."""
        if self._current is None:
            return None
        for base in self._kept:
            if (base.version, base.digest) == (version, digest):
                return delta_module.make(base, self._current)
        return None
