"""Objects, member records and summaries of the target's sizes."""

from rattangauge.config import objects as objects_module
from rattangauge.generated import messages
from rattangauge.generated import objects as generated
from rattangauge.membership import members as members_module
from rattangauge.membership import zone_summary as summary_module

SERVICES = 66
WORKERS = 2_600
ZONES = 12
# 2,600 workers in 12 zones.
ZONE_MEMBERS = 217
STARTED_MS = 1_764_000_000_000


def object_set(count: int, timeout_ms: int = 0) -> objects_module.ObjectSet:
    """Returns a pool, a service, a policy and a route for each service.

    Args:
        count: Number of services.
        timeout_ms: Time-out of the first policy, if it is not the default.
    """
    objects = objects_module.empty_set()
    for number in range(count):
        name = f"service-{number}"
        objects["policy"][name] = generated.Policy(name)
        objects["pool"][name] = generated.Pool(name, name)
        objects["service"][name] = generated.Service(name, (name,), name)
        objects["route"][name] = generated.Route(name, name, f"/{name}")
    if timeout_ms:
        policy = generated.Policy("service-0", timeout_ms=timeout_ms)
        objects["policy"]["service-0"] = policy
    return objects


def member(
    number: int, zone: int = 1, services: int = SERVICES
) -> messages.Member:
    """Returns the record of a serving member with addresses of full length."""
    host = f"10.{100 + zone}.{100 + number // 100}.{100 + number % 100}"
    return messages.Member(
        instance=f"instance-{zone:02}-{number:04}",
        zone=f"zone-{zone}",
        region="sk-west",
        mesh=f"{host}:17000",
        operators=f"{host}:17001",
        service=f"service-{number % services}",
        incarnation=STARTED_MS + number,
        counter=3,
        upstream=messages.UpstreamState.SERVING,
        slots=9,
        version=1_000_000,
    )


def table(count: int, zone: int = 1) -> members_module.MemberTable:
    """Returns the member table of a zone."""
    known = members_module.MemberTable(member(0, zone))
    known.merge(member(number, zone) for number in range(1, count))
    return known


def zone_summary(count: int, zone: int) -> messages.ZoneSummary:
    """Returns the summary of a zone with so many members."""
    known = table(count, zone)
    fresh = summary_module.summarize(known.own, known.live, known.gateways)
    content = summary_module.hash_services(fresh.services)
    return fresh._replace(sequence_ms=STARTED_MS, content=content)


def other_summaries(
    count: int = ZONE_MEMBERS, zones: int = ZONES
) -> tuple[messages.ZoneSummary, ...]:
    """Returns the summaries of all zones but the first."""
    return tuple(zone_summary(count, zone) for zone in range(2, zones + 1))
