"""Compiles the tenants of an edition for the look-up of keys."""

from collections.abc import Iterator
from typing import NamedTuple

from rattangauge import errors
from rattangauge import fields
from rattangauge.config import objects as objects_module
from rattangauge.generated import errorcodes
from rattangauge.generated import objects as generated


class TenantTable(NamedTuple):
    """The tenants of an edition.

    Attributes:
        by_key: Tenants by key.
        by_name: Tenants by name. If it is empty, no request needs a key.
    """

    by_key: dict[bytes, generated.Tenant]
    by_name: dict[str, generated.Tenant]


NO_TENANTS = TenantTable({}, {})


def compile_tenants(objects: objects_module.ObjectSet) -> TenantTable:
    """Compiles the tenants of a set that has been checked."""
    by_name = {
        name: tenant
        for name, tenant in objects["tenant"].items()
        if isinstance(tenant, generated.Tenant)
    }
    by_key = {
        key.encode(): tenant
        for tenant in by_name.values()
        for key in tenant.keys
    }
    return TenantTable(by_key, by_name)


def check_tenants(
    objects: objects_module.ObjectSet,
) -> Iterator[tuple[str, errors.Finding]]:
    """Checks that names fit into a header, and that keys have one tenant each.

    Findings tell the position of a key, as the key itself is a secret.

    Args:
        objects: The set.

    Yields:
        The name of a tenant with a finding whose place is still empty.
    """
    owners: dict[str, str] = {}
    for name, tenant in sorted(objects["tenant"].items()):
        if not name or not name.isprintable():
            message = "the name is empty or has control characters"
            code = errorcodes.OBJECT_NAME
            yield fields.label(name), errors.Finding("", "name", message, code)
        for index, key in enumerate(getattr(tenant, "keys", ())):
            field = f"keys[{index}]"
            if not _is_key(key):
                message = "the key is not a word of printable ASCII characters"
                code = errorcodes.OBJECT_RANGE
                yield name, errors.Finding("", field, message, code)
                continue
            other = owners.setdefault(key, name)
            if other != name:
                message = f"tenant {other!r} has the same key"
                code = errorcodes.OBJECT_AMBIGUOUS
                yield name, errors.Finding("", field, message, code)


def _is_key(text: str) -> bool:
    """Tells whether a caller can send a text as the key in a header."""
    return (
        bool(text)
        and text.isascii()
        and text.isprintable()
        and (" " not in text)
    )
