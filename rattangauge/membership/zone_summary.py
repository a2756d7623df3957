"""Summaries of an availability zone's services for the other zones."""

from collections.abc import Iterable
import hashlib

from rattangauge import util
from rattangauge.generated import messages

# Number of workers that a summary lists. Each service gets an equal share, and
# what a service with few workers does not use goes to the others. A zone of the
# target size, with 217 workers in 66 services, lists all of them.
MAX_SUMMARY_WORKERS = 264
# A summary is issued again after this time even if nothing has changed.
RENEWAL_S = 60.0
# Shortest time between summaries that differ only in the version: it changes
# often and is only needed by daemons that restart.
VERSION_RENEWAL_S = 10.0
# Workers of a zone are not used if its summary is older than this.
EXPIRY_S = 3 * RENEWAL_S

_UNKNOWN = messages.ZoneSummary()


def workers_per_service(counts: Iterable[int]) -> int:
    """Returns the maximum number of workers that a summary lists per service.

    Args:
        counts: Number of workers of each service.

    >>> workers_per_service([200, 3]), workers_per_service([400, 200, 3])
    (264, 130)
    """
    remaining = MAX_SUMMARY_WORKERS
    ascending = sorted(counts)
    for position, count in enumerate(ascending):
        share = remaining // (len(ascending) - position)
        if count > share:
            return share
        remaining -= count
    return MAX_SUMMARY_WORKERS


def _service_summary(
    service: str, workers: list[messages.Member], limit: int
) -> messages.ServiceSummary:
    listed = sorted(workers, key=lambda member: member.instance)
    if len(listed) > limit:
        listed.sort(key=lambda m: util.rendezvous_rank(service, m.instance))
    return messages.ServiceSummary(
        service=service,
        serving=len(workers),
        free_slots=sum(member.slots for member in workers),
        workers=tuple(
            messages.SummaryWorker(
                member.instance, member.mesh, member.incarnation, member.slots
            )
            for member in listed[:limit]
        ),
    )


def summarize(
    own: messages.Member,
    live: Iterable[messages.Member],
    gateways: Iterable[messages.Member],
) -> messages.ZoneSummary:
    """Returns the summary of a zone, without a sequence number.

    Args:
        own: Record of the daemon that creates the summary.
        live: Members of the zone that are not dead.
        gateways: Gateways of the zone.
    """
    members = list(live)
    services: dict[str, list[messages.Member]] = {}
    for member in members:
        if member.upstream == messages.UpstreamState.SERVING:
            services.setdefault(member.service, []).append(member)
    limit = workers_per_service(len(workers) for workers in services.values())
    return messages.ZoneSummary(
        zone=own.zone,
        region=own.region,
        members=len(members),
        version=min((member.version for member in members), default=0),
        services=tuple(
            _service_summary(name, services[name], limit)
            for name in sorted(services)
        ),
        gateways=tuple(member.mesh for member in gateways),
    )


def differs_only_in_version(
    old: messages.ZoneSummary, new: messages.ZoneSummary
) -> bool:
    """Returns whether two summaries differ at most in version and sequence.

    The hash of the services is ignored as well, since the services themselves
    are compared.
    """
    masked = old._replace(
        version=new.version,
        sequence_ms=new.sequence_ms,
        content=new.content,
    )
    return masked == new


def hash_services(services: tuple[messages.ServiceSummary, ...]) -> int:
    """Returns a 64-bit hash by which daemons compare services."""
    data = repr(services).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def _omit_services(summary: messages.ZoneSummary) -> messages.ZoneSummary:
    return summary._replace(services=(), brief=True)


def _restore_services(
    summary: messages.ZoneSummary, known: messages.ZoneSummary
) -> messages.ZoneSummary:
    """Returns a summary with the known services if it was sent without them."""
    if not summary.brief:
        return summary
    return summary._replace(services=known.services, brief=False)


class SummaryTable:
    """The newest summary of each availability zone."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._summaries: dict[str, messages.ZoneSummary] = {}
        self._received_at: dict[str, float] = {}

    @property
    def summaries(self) -> dict[str, messages.ZoneSummary]:
        """The newest summaries by zone."""
        return self._summaries

    def age_s(self, zone: str, now: float) -> float:
        """Returns the age of the summary of a zone, in seconds."""
        return now - self._received_at[zone]

    def known(self) -> tuple[messages.ZoneSequence, ...]:
        """Returns the sequence number and content hash of each summary."""
        return tuple(
            messages.ZoneSequence(
                summary.zone, summary.sequence_ms, summary.content
            )
            for summary in self._summaries.values()
        )

    def later_than(
        self, known: Iterable[messages.ZoneSequence]
    ) -> tuple[messages.ZoneSummary, ...]:
        """Returns the summaries that another daemon does not have yet.

        Services are left out if the daemon has the same ones already: most
        renewals only show that a zone still exists or which version it has.

        Args:
            known: Sequence numbers and hashes of the daemon's summaries.
        """
        entries: dict[str, messages.ZoneSequence] = {
            entry.zone: entry for entry in known
        }
        later = []
        for summary in self._summaries.values():
            entry = entries.get(summary.zone, messages.ZoneSequence())
            if summary.sequence_ms <= entry.sequence_ms:
                continue
            has_services = summary.content and summary.content == entry.content
            later.append(_omit_services(summary) if has_services else summary)
        return tuple(later)

    def merge(
        self, summaries: Iterable[messages.ZoneSummary], now: float
    ) -> list[messages.ZoneSummary]:
        """Stores the summaries with a higher sequence number.

        Args:
            summaries: Summaries that another daemon sent.
            now: Monotonic time in seconds.

        Returns:
            Those that change more than a version. They should be sent to other
            daemons at once.
        """
        changed = []
        for summary in summaries:
            known = self._summaries.get(summary.zone, _UNKNOWN)
            if known.sequence_ms >= summary.sequence_ms:
                continue
            if summary.brief and known.content != summary.content:
                # The services that belong to this hash are not known. The next
                # exchange sends them, because the hashes differ.
                continue
            full = _restore_services(summary, known)
            self._summaries[summary.zone] = full
            self._received_at[summary.zone] = now
            if not differs_only_in_version(known, full):
                changed.append(full)
        return changed

    def issue(
        self, fresh: messages.ZoneSummary, now: float, now_ms: int
    ) -> messages.ZoneSummary | None:
        """Stores a new summary of the daemon's own zone if one is due.

        It is due if the zone has changed or if the last summary is older than
        the renewal time. Changes of the version alone wait for the version
        renewal time.

        Args:
            fresh: The current summary, without a sequence number.
            now: Monotonic time in seconds.
            now_ms: Time in milliseconds since 1970, for the sequence number.

        Returns:
            The issued summary if it changes more than a version; else None.
        """
        known = self._summaries.get(fresh.zone)
        if known is not None:
            fresh = fresh._replace(
                sequence_ms=known.sequence_ms, content=known.content
            )
            age_s = self.age_s(fresh.zone, now)
            if fresh == known and age_s < RENEWAL_S:
                return None
            if (
                differs_only_in_version(known, fresh)
                and age_s < VERSION_RENEWAL_S
            ):
                return None
        # The gateway that issued the last summary may have a clock that is
        # ahead of this one.
        sequence = max(now_ms, fresh.sequence_ms + 1)
        issued = fresh._replace(
            sequence_ms=sequence, content=hash_services(fresh.services)
        )
        return issued if self.merge([issued], now) else None

    def remote_workers(
        self, service: str, own_zone: str, now: float
    ) -> list[messages.Member]:
        """Returns the listed workers of a service in other zones.

        Zones whose summary has expired are left out.

        Args:
            service: Name of the service.
            own_zone: Zone of the daemon, which is left out.
            now: Monotonic time in seconds.
        """
        return [
            messages.Member(
                instance=worker.instance,
                zone=summary.zone,
                region=summary.region,
                mesh=worker.mesh,
                service=service,
                incarnation=worker.incarnation,
                upstream=messages.UpstreamState.SERVING,
                slots=worker.slots,
            )
            for summary in self._summaries.values()
            if summary.zone != own_zone
            and self.age_s(summary.zone, now) < EXPIRY_S
            for entry in summary.services
            if entry.service == service
            for worker in entry.workers
        ]
