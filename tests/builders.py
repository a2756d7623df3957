"""Builders of test data."""

from typing import Any

from rattangauge import util
from rattangauge.calls import call_queue
from rattangauge.calls import placement
from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import messages
from rattangauge.generated import objects as generated
from rattangauge.membership import heartbeats

SERVICES = ("skladby", "objednavky", "nahravky")


def object_set(
    services: tuple[str, ...] = SERVICES, **policy: Any
) -> objects_module.ObjectSet:
    """Returns a pool, a service and a route ``/NAME`` for each service."""
    objects = objects_module.empty_set()
    objects["policy"]["default"] = generated.Policy("default", **policy)
    for name in services:
        objects["pool"][name] = generated.Pool(name, name)
        objects["service"][name] = generated.Service(name, (name,), "default")
        objects["route"][name] = generated.Route(name, name, f"/{name}")
    return objects


def edition(
    version: int, objects: objects_module.ObjectSet | None = None
) -> edition_module.Edition:
    """Returns a checked edition with the given version."""
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
    """Returns the digest and the data of an encoded set without a check."""
    data = edition_module.encode(objects)
    return edition_module.digest_of(data), data


def waiter(number: int, **fields: Any) -> call_queue.QueuedCall:
    """Returns a call that waits for a slot."""
    values = {
        "kind": "track-play",
        "priority": 5,
        "returned": False,
        "inner": False,
        "target_at": 0.0,
        "deadline": 1.0,
    }
    return call_queue.QueuedCall(number, **{**values, **fields})


def candidate(address: str, **fields: Any) -> placement.Candidate:
    """Returns an idle instance in the caller's zone."""
    values = {
        "is_local": True,
        "should_avoid": False,
        "outstanding": 0,
        "slots": 9,
        "hold_s": 0.05,
    }
    return placement.Candidate(address, **{**values, **fields})


def heartbeat(instance: str = "i-1", **fields: Any) -> heartbeats.Heartbeat:
    """Returns a heartbeat of a serving upstream."""
    values = {
        "started_ms": 1000,
        "sequence": 1,
        "service": "skladby",
        "address": util.Address("127.0.0.1", 8080),
        "slots": 9,
        "is_draining": False,
        "cold_left_s": 0.0,
    }
    return heartbeats.Heartbeat(instance, **{**values, **fields})


def load(**fields: Any) -> messages.Load:
    """Returns a load report of a serving upstream."""
    values = {"limit": 9, "state": messages.UpstreamState.SERVING}
    return messages.Load(**{**values, **fields})


def news(mesh: str, **fields: Any) -> messages.PeerNews:
    """Returns the peer message of a daemon whose upstream is serving."""
    record = member(mesh, mesh=mesh, **fields)
    return messages.PeerNews(record, load(state=record.upstream))
