"""Limits on what callers may send to the HTTP server."""

from typing import NamedTuple

from rattangauge.http import parsing

# Limit of a request beside its headers and body. A caller may send a body of
# 800 kB in chunks of one byte.
FRAMING_BYTES = 4 * 1024 * 1024


class Limits(NamedTuple):
    """Limits on what callers may send.

    Attributes:
        header_bytes: Maximum size of the headers.
        body_bytes: Maximum size of a body.
        header_s: Time within which the headers must arrive, in seconds.
        idle_s: Time after which an idle connection is closed, in seconds.
        body_s: Longest time between two pieces of a body, in seconds.
    """

    header_bytes: int = 32_768
    body_bytes: int = 64 * 1024 * 1024
    header_s: float = 10.0
    idle_s: float = 60.0
    body_s: float = 30.0


def message_limits(limits: Limits) -> parsing.MessageLimits:
    """Returns the limits of one request."""
    return parsing.MessageLimits(
        limits.header_bytes, limits.body_bytes, FRAMING_BYTES
    )
