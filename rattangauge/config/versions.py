"""Decides whether a daemon takes an edition that it was offered."""

import enum

from rattangauge.config import edition as edition_module


class Decision(enum.Enum):
    """What to do with an offered edition."""

    ADOPT = "adopt"
    IGNORE = "ignore"
    # The same version number came with another content.
    FORK = "fork"
    # The version is older than one that this instance had before a restart.
    BELOW_FLOOR = "below_floor"


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
        return Decision.IGNORE
    if version < floor:
        return Decision.BELOW_FLOOR
    return Decision.ADOPT
