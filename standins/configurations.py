"""Configurations in the format of the users' platform, for tests and tools."""

from typing import Any

# Host of all routes.
HOST = "shop.example"


def path(prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a path of a configuration; fields replace defaults."""
    values = {
        "name": f"r-{prefix.strip('/').replace('/', '-')}",
        "path-prefix": prefix,
        "kind": "safe",
        "timeout-s": 1.0,
        "target-latency-s": 0.5,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
    }
    return {**values, **fields}


def configuration(
    version: int, paths: list[dict[str, Any]], services: tuple[str, ...]
) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    return {
        "version": f"r{version}",
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 120,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1_000_000,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
        "virtual-hosts": [{"host": HOST, "paths": paths}],
    }
