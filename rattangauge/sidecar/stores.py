"""What the daemon uses of a platform's store; an adapter provides it."""

from typing import NamedTuple
from typing import Protocol

from rattangauge.config import objects as objects_module


class Published(NamedTuple):
    """The configuration as it stands in the store.

    Attributes:
        revision: Revision of the store at which it was read.
        version: Its version; 0 if there is none yet.
        objects: Its objects; None if there is no newer one.
    """

    revision: int
    version: int
    objects: objects_module.ObjectSet | None


class Entry(NamedTuple):
    """A daemon in the directory.

    Attributes:
        mesh: Its mesh address.
        zone: Its availability zone.
        region: Region of that zone.
    """

    mesh: str
    zone: str
    region: str


class Store(Protocol):
    """The configuration and the directory of the daemons."""

    async def read_configuration(self) -> Published:
        """Returns the configuration in force.

        Raises:
            errors.CodedError: The store did not answer.
        """

    async def watch_configuration(
        self, revision: int, wait_s: float
    ) -> Published:
        """Waits for a change of the configuration after a revision.

        Raises:
            errors.CodedError: The store did not answer, or, with
                ``store.compacted``, the history is gone.
        """

    async def enter(self, entry: Entry) -> None:
        """Adds a daemon to the directory, if it is not there.

        Raises:
            errors.CodedError: The store did not answer.
        """

    async def entries(self, may_be_old: bool) -> list[Entry]:
        """Returns all daemons of the directory.

        Args:
            may_be_old: Whether an answer that is seconds old will do; it
                costs the store less.

        Raises:
            errors.CodedError: The store did not answer.
        """

    async def leave(self, mesh: str) -> None:
        """Removes a daemon from the directory, if it is there.

        Raises:
            errors.CodedError: The store did not answer.
        """
