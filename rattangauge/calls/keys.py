"""Idempotency keys issued by daemons.

An issued key names the daemon that will run the call and the incarnation of
its process: ``rg1.<zone>.<instance>.<incarnation>.<issued_ms>.<nonce>``. The
nonce starts with a digest of the service's name, so that a daemon does not run
the call on an upstream of another service. Any other key is a plain key, which
the caller has chosen.
"""

import hashlib
import re
from typing import NamedTuple
import urllib.parse

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.generated import messages

PREFIX = "rg1"
# Longest plain key.
MAX_KEY_CHARACTERS = 200

_NONCE = re.compile(r"[0-9a-zA-Z]{1,64}")
# Messages carry the incarnation and the issue time as 64-bit integers, which
# have up to 19 digits.
_NUMBER = re.compile(r"[0-9]{1,19}")


class IssuedKey(NamedTuple):
    """The parts of an issued key.

    Attributes:
        zone: Availability zone of the daemon that runs the call.
        instance: Instance of that daemon.
        incarnation: Start time of its process, in milliseconds since 1970.
        issued_ms: Issue time, in milliseconds since 1970 on the clock of the
            daemon that issued the key.
        nonce: Digest of the service's name, followed by characters that make
            the key unique.
    """

    zone: str
    instance: str
    incarnation: int
    issued_ms: int
    nonce: str


def _quote(name: str) -> str:
    # Dots separate the parts of a key, and ``quote`` leaves them as they are.
    return urllib.parse.quote(name, safe="").replace(".", "%2E")


def format_key(key: IssuedKey) -> str:
    """Returns the text of an issued key.

    >>> format_key(IssuedKey("zone-1", "a.b", 17, 42, "x"))
    'rg1.zone-1.a%2Eb.17.42.x'
    """
    return ".".join(
        (
            PREFIX,
            _quote(key.zone),
            _quote(key.instance),
            str(key.incarnation),
            str(key.issued_ms),
            key.nonce,
        )
    )


def _service_tag(service: str) -> str:
    return hashlib.blake2b(service.encode(), digest_size=4).hexdigest()


def issue(
    member: messages.Member, service: str, issued_ms: int, nonce: str
) -> IssuedKey:
    """Returns a new key for a call of a service.

    Args:
        member: Member that will run the call.
        service: Name of the service.
        issued_ms: Issue time, in milliseconds since 1970.
        nonce: Characters that make the key unique.
    """
    return IssuedKey(
        member.zone,
        member.instance,
        member.incarnation,
        issued_ms,
        _service_tag(service) + nonce,
    )


def is_for(key: IssuedKey, service: str) -> bool:
    """Tells whether a key was issued for a service."""
    return key.nonce.startswith(_service_tag(service))


def _malformed(text: str, reason: str) -> errors.CodedError:
    message = f"idempotency key {text[:80]!r} {reason}"
    return errors.CodedError(errorcodes.KEY_MALFORMED, message)


def is_issued(text: str) -> bool:
    """Tells whether a key has the prefix of issued keys."""
    return text.split(".", 1)[0] == PREFIX


def parse(text: str) -> IssuedKey:
    """Parses an issued key.

    Raises:
        errors.CodedError: The key is malformed.

    >>> parse("rg1.zone-1.a%2Eb.17.42.x")
    IssuedKey(zone='zone-1', instance='a.b', incarnation=17, issued_ms=42, \
nonce='x')
    """
    parts = text.split(".")
    if len(parts) != 6 or parts[0] != PREFIX:
        raise _malformed(text, "does not have the parts of an issued key")
    zone, instance = (urllib.parse.unquote(part) for part in parts[1:3])
    if not zone or not instance:
        raise _malformed(text, "names no zone or no instance")
    if not all(_NUMBER.fullmatch(part) for part in parts[3:5]):
        raise _malformed(text, "has an invalid incarnation or issue time")
    if not _NONCE.fullmatch(parts[5]):
        raise _malformed(text, "has an invalid nonce")
    key = IssuedKey(zone, instance, int(parts[3]), int(parts[4]), parts[5])
    if format_key(key) != text:
        # Keys are compared as texts, so one key must not have two of them.
        raise _malformed(text, "is not in its canonical form")
    return key


def check_plain(text: str) -> None:
    """Checks a key that a caller chose.

    Raises:
        errors.CodedError: The key is malformed.
    """
    if not 0 < len(text) <= MAX_KEY_CHARACTERS:
        raise _malformed(text, f"is not 1 to {MAX_KEY_CHARACTERS} characters")
    if not (text.isascii() and text.isprintable()):
        raise _malformed(text, "has characters that are not printable ASCII")
