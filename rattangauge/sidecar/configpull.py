"""Receives the configuration of a peer."""

import enum
import time
from typing import NamedTuple

from rattangauge import errors
from rattangauge.config import delta
from rattangauge.config import edition as edition_module
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import connection_pool


class Form(enum.Enum):
    """How a configuration reached the daemon; the values stand in the log."""

    # Whole, by a read of the store.
    READ = "read"
    # Whole, by a watch of the store.
    WATCH = "watch"
    # Whole, from a peer.
    WHOLE = "whole"
    # As changes since the version in force, from a peer.
    CHANGES = "changes"


class Delivery(NamedTuple):
    """A configuration and the way it reached the daemon.

    Attributes:
        edition: The configuration.
        source: ``store`` or the mesh address of a peer.
        form: How it was transferred.
        versions: Number of versions in the answer that carried it.
        requested_at: Time of the request, on the clock of ``time.monotonic``,
            in seconds.
    """

    edition: edition_module.Edition
    source: str
    form: Form
    versions: int
    requested_at: float


async def receive(
    links: connection_pool.Links,
    address: str,
    current: edition_module.Edition | None,
) -> Delivery | None:
    """Asks a peer for the configuration and receives the reply.

    Args:
        links: Connections to the peers.
        address: Mesh address of the peer.
        current: The configuration in force; None if there is none.

    Returns:
        The configuration; None if the peer refused, or sent changes that do not
        lead to a newer version.

    Raises:
        errors.CodedError: The connection failed or the data is damaged.
        errors.FindingsError: The configuration is not valid.
    """
    requested_at = time.monotonic()
    version = current.version if current else 0
    async with links.stream(address, connection_pool.SMALL_BODIES) as stream:
        await stream.send(messages.EditionRequest(version))
        part, data = await _receive_parts(stream, address)
    if part is None:
        return None
    if not part.delta:
        edition = edition_module.decode_received(
            part.version, part.digest, data
        )
        return Delivery(edition, address, Form.WHOLE, 1, requested_at)
    if current is None or part.version <= current.version:
        return None
    edition = delta.apply_delta_by_version(current, part.version, data)
    return Delivery(edition, address, Form.CHANGES, 1, requested_at)


async def _receive_parts(
    stream: connection_pool.Stream, address: str
) -> tuple[messages.EditionPart | None, bytes]:
    """Receives all parts of a version.

    Returns:
        The last part, or None if the peer refused, and the data of all parts.

    Raises:
        errors.CodedError: The connection failed or the version is too large.
    """
    data = bytearray()
    while True:
        part = await stream.receive()
        if not isinstance(part, messages.EditionPart):
            return None, b""
        data += part.data
        if len(data) > edition_module.max_edition_bytes():
            text = f"{address} sent {len(data)} bytes of one version"
            raise errors.CodedError(errorcodes.FRAME_OVERSIZED, text)
        if part.last:
            return part, bytes(data)
