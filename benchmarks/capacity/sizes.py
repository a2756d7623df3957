"""Bytes of messages and objects by the size of the zone; needs no clock."""

import json

from benchmarks.capacity import processes
from benchmarks.capacity import records
from rattangauge.config import delta as delta_module
from rattangauge.config import edition as edition_module
from rattangauge.generated import messages
from rattangauge.membership import probing
from rattangauge.membership import status as status_module
from rattangauge.membership import zone_summary as summary_module
from rattangauge.net import frames

SIZES = (54, 108, 217)
DIGEST = "d" * 64


def message_bytes(message: messages.Message) -> int:
    """Returns the size of a frame with a message."""
    return len(frames.pack(1, message))


def probe_bytes(updates: int) -> int:
    """Returns the size of a probe that carries member records."""
    carried = tuple(records.member(number) for number in range(updates))
    own = records.member(0)
    probe = messages.Probe(
        own.mesh, "", 1_000_000, DIGEST, carried, own.instance
    )
    return message_bytes(probe)


def join_reply_bytes(count: int, summaries: bool = True) -> int:
    """Returns the size of the answer to a daemon that joins a zone."""
    others = records.other_summaries(count) if summaries else ()
    members = tuple(records.table(count).members.values())
    reply = messages.JoinReply(members, others, 1_000_000, DIGEST, 1_000_000)
    return message_bytes(reply)


def status_bytes(count: int) -> int:
    """Returns the size of the status object of a zone."""
    progress = status_module.DistributionProgress(
        1_000_000, records.STARTED_MS, records.STARTED_MS, "instance-01-0001"
    )
    built = status_module.build_zone_status(
        records.table(count), progress, True, 86_400.0, records.STARTED_MS
    )
    return len(json.dumps(built))


def renewal_bytes(count: int) -> int:
    """Returns the size of a summary whose services the receiver has."""
    table = summary_module.SummaryTable()
    table.merge([records.zone_summary(count, 2)], 0.0)
    known = table.known()[0]._replace(sequence_ms=1)
    return message_bytes(
        messages.ZoneExchange(summaries=table.later_than([known]))
    )


def edition_bytes(services: int) -> dict[str, float]:
    """Returns the size of an edition and of a delta for one object."""
    editions = []
    for version, timeout_ms in ((1, 0), (2, 1_234)):
        objects = records.object_set(services, timeout_ms)
        data = edition_module.encode(objects)
        digest = edition_module.digest_of(data)
        editions.append(edition_module.decode(version, digest, data))
    changed = delta_module.encode_delta(*editions)
    return {"whole": len(editions[1].data), "delta": len(changed)}


def measure() -> dict[str, dict[str, float]]:
    """Returns the sizes by members of a zone."""
    report = {}
    for size in SIZES:
        summary = records.zone_summary(size, 2)
        exchange = messages.ZoneExchange(summaries=(summary,))
        report[str(size)] = {
            "probe_without_updates": probe_bytes(0),
            "probe_with_8_updates": probe_bytes(
                probing.MAX_UPDATES_PER_MESSAGE
            ),
            "summary": message_bytes(exchange),
            "summary_renewal": renewal_bytes(size),
            "join_reply": join_reply_bytes(size),
            "join_reply_members": join_reply_bytes(size, summaries=False),
            "status": status_bytes(size),
        }
    report["slope_per_member"] = processes.slopes(report, SIZES)
    return report
