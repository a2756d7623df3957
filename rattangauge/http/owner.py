"""What the connection of a caller needs of its server."""

from typing import NamedTuple
from typing import Protocol

from rattangauge import receivememory
from rattangauge.http import limits as limits_module
from rattangauge.http import messages


class Cut(NamedTuple):
    """A connection that the server closed while its caller waited.

    Attributes:
        reason: Why it was closed.
        running: Number of requests that were handled.
        waiting: Number of complete requests that were not handled yet.
        has_partial: Whether a further request had arrived in part.
        unsent_bytes: Bytes of responses that had not been sent.
    """

    reason: str
    running: int
    waiting: int
    has_partial: bool
    unsent_bytes: int


class OwnedConnection(Protocol):
    """A connection as its server knows it."""

    def end_linger(self) -> None:
        """Closes a lingering connection once its responses have been sent."""


class Owner(Protocol):
    """What a connection needs of its server."""

    @property
    def limits(self) -> limits_module.Limits:
        """Limits in force."""

    @property
    def memory(self) -> receivememory.ReceiveMemory:
        """Memory of all messages that have been received in part."""

    @property
    def is_closing(self) -> bool:
        """Whether each connection is closed once its requests have ended."""

    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the response to a request."""

    def record_cut(self, cut: Cut) -> None:
        """Records a connection that was closed while its caller waited."""

    def bound_unread(self) -> None:
        """Cuts connections if callers leave too many bytes unread."""

    def add(self, connection: OwnedConnection) -> None:
        """Adds a new connection."""

    def add_lingering(self, connection: OwnedConnection) -> None:
        """Adds a connection that lingers; the earliest may have to end."""

    def discard(self, connection: OwnedConnection) -> None:
        """Removes a connection that has ended."""
