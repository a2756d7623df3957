"""Interface of the store; the adapter of each platform implements it."""

from typing import NamedTuple
from typing import Protocol

from rattangauge.config import objects as objects_module


class ConfigurationResult(NamedTuple):
    """Result of a read or a watch of the configuration.

    Attributes:
        revision: Revision of the store at which the configuration was read.
        version: Version of the configuration; 0 if there is none, or none that
            is newer than the watched revision.
        objects: Objects of the configuration; None if the version is 0.
        answered_versions: Versions of the configuration in the answer of the
            store, each of them whole. The newest one is that of the objects.
    """

    revision: int
    version: int
    objects: objects_module.ObjectSet | None
    answered_versions: int


class DirectoryEntry(NamedTuple):
    """Entry of a daemon in the directory.

    The names of the attributes are the names of the stored fields.

    Attributes:
        mesh: Address at which the daemon accepts connections of its peers.
        zone: Availability zone of the daemon.
        region: Region of that zone.
    """

    mesh: str
    zone: str
    region: str


class Store(Protocol):
    """Store of the configuration and of the directory of daemons."""

    async def read_configuration(self) -> ConfigurationResult:
        """Reads the newest configuration.

        Raises:
            errors.CodedError: The store did not answer.
        """

    async def watch_configuration(
        self, revision: int, wait_s: float
    ) -> ConfigurationResult:
        """Waits for a change of the configuration after a revision.

        Args:
            revision: Revision of the store up to which changes are known.
            wait_s: Longest wait, in seconds.

        Returns:
            The changed configuration; without objects if the wait has ended.

        Raises:
            errors.CodedError: The store did not answer, or, with the code
                ``store.compacted``, it no longer has the changes since that
                revision.
        """

    async def add_daemon(self, entry: DirectoryEntry) -> None:
        """Adds a daemon to the directory, unless it is listed there.

        Raises:
            errors.CodedError: The store did not answer.
        """

    async def list_daemons(self, may_be_stale: bool) -> list[DirectoryEntry]:
        """Returns the entries of all daemons in the directory.

        Args:
            may_be_stale: Whether the answer may be some seconds old, which
                costs the store less.

        Raises:
            errors.CodedError: The store did not answer.
        """

    async def remove_daemon(self, mesh: str) -> None:
        """Removes a daemon from the directory, if it is listed there.

        Args:
            mesh: Mesh address of the daemon.

        Raises:
            errors.CodedError: The store did not answer.
        """
