"""Configuration of a soak: routes, tenants and who sends which request."""

from collections.abc import Sequence
from typing import Any
import zlib

from standins import configurations

SERVICES = ("skladby", "objednavky")

CHOIR = "choir"
# Has a quota, and sends more than it.
SCHOOL = "school"
# Sends a key that no configuration has.
STRANGER = "stranger"
_SHARES = ((STRANGER, 0.05), (SCHOOL, 0.2))

RATE_PER_S = 8.0
BURST = 8.0
# Window of the bound on what runs, and what may exceed it: requests that run
# again after a lost answer, and the tokens of daemons that are cut off.
WINDOW_S = 5.0
OVER_SHARE = 0.1
SLACK = 20


def key(tenant: str) -> str:
    """Returns the header value with the key of a tenant."""
    return f"Bearer soak-{tenant}"


def of(identity: str) -> str:
    """Returns the tenant that sends a request."""
    fraction = zlib.crc32(f"tenant {identity}".encode()) / 2**32
    for tenant, share in _SHARES:
        if fraction < share:
            return tenant
        fraction -= share
    return CHOIR


TENANTS: tuple[dict[str, Any], ...] = (
    {"name": CHOIR, "api-keys": ["soak-choir"]},
    {
        "name": SCHOOL,
        "api-keys": ["soak-school"],
        "rate-per-s": RATE_PER_S,
        "burst": BURST,
    },
)


def paths(version: int) -> list[dict[str, Any]]:
    """Returns the routes of a version; each differs from the one before."""
    moved = SERVICES[version % len(SERVICES)]
    return [
        configurations.path("/track/", "skladby", **{"timeout-s": 3.0}),
        configurations.path("/order/", "objednavky", kind="unsafe"),
        configurations.path(
            "/upload/", "skladby", kind="upload", **{"timeout-s": 3.0}
        ),
        configurations.path("/large/", "skladby", kind="download"),
        configurations.path(f"/moved-{version}/", moved),
    ]


def excess(times: Sequence[float]) -> tuple[float, int] | None:
    """Returns time and size of the first window with too many requests.

    Args:
        times: Times in seconds at which requests of ``SCHOOL`` ran.
    """
    allowed = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVER_SHARE) + SLACK
    ordered = sorted(times)
    begin = 0
    for end, now in enumerate(ordered):
        while now - ordered[begin] > WINDOW_S:
            begin += 1
        if end - begin + 1 > allowed:
            return ordered[begin], end - begin + 1
    return None
