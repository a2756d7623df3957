"""Summaries of the services of an availability zone for the other zones."""

from collections.abc import Iterable
import hashlib

from rattangauge import util
from rattangauge.generated import messages

# Workers that a summary names. The services share them evenly, and one with
# few workers leaves its part to the others: a zone of the target, with 217
# workers in 66 services, names all of them.
MAX_WORKERS = 264
# A summary is renewed after this time even if nothing has changed.
RENEWAL_S = 60.0
# Versions change often and only matter to daemons that restart.
VERSION_RENEWAL_S = 10.0
# A zone whose summary was not renewed for this time is not used any more.
EXPIRY_S = 3 * RENEWAL_S

_UNKNOWN = messages.ZoneSummary()


def workers_per_service(counts: Iterable[int]) -> int:
    """Returns how many workers of each service a summary names at most.

    >>> workers_per_service([200, 3]), workers_per_service([400, 200, 3])
    (264, 130)
    """
    left = MAX_WORKERS
    rising = sorted(counts)
    for position, count in enumerate(rising):
        share = left // (len(rising) - position)
        if count > share:
            return share
        left -= count
    return MAX_WORKERS


def _service_summary(
    service: str, workers: list[messages.Member], limit: int
) -> messages.ServiceSummary:
    named = sorted(workers, key=lambda member: member.instance)
    if len(named) > limit:
        named.sort(key=lambda m: util.rendezvous_rank(service, m.instance))
    return messages.ServiceSummary(
        service=service,
        serving=len(workers),
        free_slots=sum(member.slots for member in workers),
        workers=tuple(
            messages.SummaryWorker(
                member.instance, member.mesh, member.incarnation, member.slots
            )
            for member in named[:limit]
        ),
    )


def summarize(
    own: messages.Member,
    live: Iterable[messages.Member],
    gateways: Iterable[messages.Member],
) -> messages.ZoneSummary:
    """Returns the summary of a zone, without a sequence.

    Args:
        own: Record of the daemon that makes the summary.
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


def is_version_only(
    old: messages.ZoneSummary, new: messages.ZoneSummary
) -> bool:
    """Tells whether two summaries say the same of the services of a zone."""
    masked = old._replace(
        version=new.version,
        sequence_ms=new.sequence_ms,
        content=new.content,
    )
    return masked == new


def content_of(services: tuple[messages.ServiceSummary, ...]) -> int:
    """Returns a hash of the services, by which daemons compare them."""
    data = repr(services).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def _abbreviate(summary: messages.ZoneSummary) -> messages.ZoneSummary:
    return summary._replace(services=(), brief=True)


def _complete(
    summary: messages.ZoneSummary, known: messages.ZoneSummary
) -> messages.ZoneSummary:
    """Puts the known services into a summary that leaves them out."""
    if not summary.brief:
        return summary
    return summary._replace(services=known.services, brief=False)


class SummaryTable:
    """The newest summary of each zone."""

    def __init__(self) -> None:
        """Creates a table without summaries."""
        self._summaries: dict[str, messages.ZoneSummary] = {}
        self._received: dict[str, float] = {}

    @property
    def summaries(self) -> dict[str, messages.ZoneSummary]:
        """The newest summaries by zone."""
        return self._summaries

    def age_s(self, zone: str, now: float) -> float:
        """Returns the time since the summary of a zone came, in seconds."""
        return now - self._received[zone]

    def known(self) -> tuple[messages.ZoneSequence, ...]:
        """Returns the sequence of each summary."""
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

        Services that it has already are left out: most renewals only say that
        a zone still exists or which version it has.
        """
        entries: dict[str, messages.ZoneSequence] = {
            entry.zone: entry for entry in known
        }
        later = []
        for summary in self._summaries.values():
            entry = entries.get(summary.zone, messages.ZoneSequence())
            if summary.sequence_ms <= entry.sequence_ms:
                continue
            is_same = summary.content and summary.content == entry.content
            later.append(_abbreviate(summary) if is_same else summary)
        return tuple(later)

    def merge(
        self, summaries: Iterable[messages.ZoneSummary], now: float
    ) -> list[messages.ZoneSummary]:
        """Takes the summaries with a higher sequence.

        Returns:
            Those that say something new of services; they are worth pushing.
        """
        taken = []
        for summary in summaries:
            known = self._summaries.get(summary.zone, _UNKNOWN)
            if known.sequence_ms >= summary.sequence_ms:
                continue
            if summary.brief and known.content != summary.content:
                # The next exchange brings the services.
                continue
            whole = _complete(summary, known)
            self._summaries[summary.zone] = whole
            self._received[summary.zone] = now
            if not is_version_only(known, whole):
                taken.append(whole)
        return taken

    def issue(
        self, fresh: messages.ZoneSummary, now: float, now_ms: int
    ) -> messages.ZoneSummary | None:
        """Takes a summary of the own zone if it differs or is due.

        Returns:
            The summary if it says something new of services, or None.
        """
        known = self._summaries.get(fresh.zone)
        if known is not None:
            fresh = fresh._replace(
                sequence_ms=known.sequence_ms, content=known.content
            )
            age_s = self.age_s(fresh.zone, now)
            if fresh == known and age_s < RENEWAL_S:
                return None
            if is_version_only(known, fresh) and age_s < VERSION_RENEWAL_S:
                return None
        # The clock of an earlier gateway may have been ahead of this one.
        sequence = max(now_ms, fresh.sequence_ms + 1)
        issued = fresh._replace(
            sequence_ms=sequence, content=content_of(fresh.services)
        )
        return issued if self.merge([issued], now) else None

    def remote(
        self, service: str, own_zone: str, now: float
    ) -> list[messages.Member]:
        """Returns workers of a service in other zones, a few of each zone."""
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
