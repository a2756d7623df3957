"""The configuration in force and the last ones before it, for the peers.

A peer that has one of these versions is sent the changes since then, any other
peer the whole configuration.
"""

from collections import deque

from rattangauge.config import delta
from rattangauge.config import edition as edition_module
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import connection_pool

# Earlier configurations that are kept in order to send peers only the changes.
MAX_DELTA_BASES = 8
# Time after which a peer may ask again while there is no configuration.
NOT_READY_RETRY_MS = 1000


class EditionHistory:
    """Keeps the newest configurations and sends them to peers."""

    def __init__(self) -> None:
        """Creates an empty history."""
        self._current: edition_module.Edition | None = None
        self._bases: deque[edition_module.Edition] = deque(
            maxlen=MAX_DELTA_BASES
        )
        # Encoded changes from an earlier version to the current one, by the
        # earlier version.
        self._changes: dict[int, bytes] = {}

    @property
    def current(self) -> edition_module.Edition | None:
        """The configuration in force; None if there is none."""
        return self._current

    def add(self, edition: edition_module.Edition) -> None:
        """Replaces the configuration in force by a newer one."""
        if self._current is not None:
            self._bases.append(self._current._replace(data=b""))
        self._changes.clear()
        self._current = edition

    async def serve(
        self, stream: connection_pool.Stream, request: messages.EditionRequest
    ) -> None:
        """Sends the configuration in force to a peer.

        Args:
            stream: Stream on which the peer asked.
            request: The question, with the version that the peer has.
        """
        current = self._current
        if current is None:
            code = errorcodes.CALL_NOT_READY
            await stream.send(messages.EditionRefused(code, NOT_READY_RETRY_MS))
            return
        changes = self._changes_since(current, request.have_version)
        if changes is None:
            await self._send_whole(stream, current)
            return
        await stream.send(
            messages.EditionPart(current.version, "", True, changes, True)
        )

    async def _send_whole(
        self,
        stream: connection_pool.Stream,
        current: edition_module.Edition,
    ) -> None:
        if not current.data:
            current = self._current = _encoded(current)
        parts = edition_module.split(current.data)
        for number, data in enumerate(parts, 1):
            is_last = number == len(parts)
            await stream.send(
                messages.EditionPart(
                    current.version, current.digest, False, data, is_last
                )
            )

    def _changes_since(
        self, current: edition_module.Edition, version: int
    ) -> bytes | None:
        """Returns the encoded changes from a version to the current one.

        Returns:
            The changes; None if the configuration of that version is not kept,
            or if they do not fit into one message.
        """
        if version not in self._changes:
            bases = [base for base in self._bases if base.version == version]
            if not bases:
                return None
            changes = delta.encode_delta_by_version(bases[-1], current)
            self._changes[version] = changes
        changes = self._changes[version]
        return changes if len(changes) <= edition_module.PART_BYTES else None


def _encoded(edition: edition_module.Edition) -> edition_module.Edition:
    """Returns a configuration with its encoded data and its digest."""
    data = edition_module.encode(edition.objects)
    return edition._replace(data=data, digest=edition_module.digest_of(data))
