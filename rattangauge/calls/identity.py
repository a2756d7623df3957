"""Decides to which tenant a request belongs, and whether it may run."""

from typing import NamedTuple

from rattangauge.config import tenants
from rattangauge.generated import objects as generated

_SCHEME = b"bearer"


class Identity(NamedTuple):
    """Result of the check of a request's key.

    Attributes:
        is_accepted: Whether the request may run.
        tenant: Tenant of the request; None if it has none.
    """

    is_accepted: bool
    tenant: generated.Tenant | None = None


def key_of(authorization: bytes) -> bytes:
    """Returns the key in a header value; empty if there is none.

    >>> key_of(b"Bearer abc"), key_of(b"Basic abc")
    (b'abc', b'')
    """
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == _SCHEME else b""


def identify(
    table: tenants.TenantTable, authorization: bytes, is_exempt: bool
) -> Identity:
    """Returns the tenant of a caller's request.

    Args:
        table: Tenants of the configuration in force.
        authorization: Value of the header with the key; empty if there is none.
        is_exempt: Whether the route needs no key.
    """
    tenant = table.by_key.get(key_of(authorization))
    is_accepted = tenant is not None or is_exempt or not table.by_name
    return Identity(is_accepted, tenant)


def identify_inner(table: tenants.TenantTable, running_tenant: str) -> Identity:
    """Returns the tenant of a call that an upstream makes for a request.

    Args:
        table: Tenants of the configuration in force.
        running_tenant: Name of the tenant of the request that the upstream
            runs; empty if it has none.
    """
    return Identity(True, table.by_name.get(running_tenant))
