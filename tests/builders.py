"""Builders of test data."""

from typing import Any

from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import messages
from rattangauge.generated import objects as generated

SERVICES = ("skladby", "objednavky", "nahravky")


def object_set(
    services: tuple[str, ...] = SERVICES, **policy: Any
) -> objects_module.ObjectSet:
    """Returns a pool, a service and a route ``/NAME`` for each service."""
    objects = objects_module.empty()
    objects["policy"]["default"] = generated.Policy("default", **policy)
    for name in services:
        objects["pool"][name] = generated.Pool(name, name)
        objects["service"][name] = generated.Service(name, (name,), "default")
        objects["route"][name] = generated.Route(name, name, f"/{name}")
    return objects


def edition(
    version: int, objects: objects_module.ObjectSet | None = None
) -> edition_module.Edition:
    """Returns an edition of a version."""
    data = edition_module.encode(objects or object_set())
    digest = edition_module.digest_of(data)
    return edition_module.decode(version, digest, data)


def member(instance: str, **fields: Any) -> messages.Member:
    """Returns a member that serves ``skladby`` in zone-1."""
    values = {
        "zone": "zone-1",
        "region": "sk-west",
        "mesh": "127.0.1.1:7000",
        "service": "skladby",
        "incarnation": 1,
        "upstream": messages.UpstreamState.SERVING,
        "slots": 9,
    }
    return messages.Member(instance, **{**values, **fields})


def encoded(objects: objects_module.ObjectSet) -> tuple[str, bytes]:
    """Returns the digest and the data of an encoded set, unchecked."""
    data = edition_module.encode(objects)
    return edition_module.digest_of(data), data
