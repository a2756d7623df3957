"""Summaries of the services of an availability zone for the other zones."""

from collections.abc import Iterable

from rattangauge.generated import messages

WORKERS_PER_SERVICE = 4
# A summary is renewed after this time even if nothing has changed.
RENEWAL_S = 60.0
# Versions change often and only matter to daemons that restart.
VERSION_RENEWAL_S = 10.0
# A zone whose summary was not renewed for this time is not used any more.
EXPIRY_S = 3 * RENEWAL_S


def _service_summary(
    service: str, workers: list[messages.Member]
) -> messages.ServiceSummary:
    workers = sorted(workers, key=lambda member: member.instance)
    return messages.ServiceSummary(
        service=service,
        serving=len(workers),
        free_slots=sum(member.slots for member in workers),
        workers=tuple(
            messages.SummaryWorker(
                member.instance, member.mesh, member.incarnation, member.slots
            )
            for member in workers[:WORKERS_PER_SERVICE]
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
    return messages.ZoneSummary(
        zone=own.zone,
        region=own.region,
        members=len(members),
        version=min((member.version for member in members), default=0),
        services=tuple(
            _service_summary(name, services[name]) for name in sorted(services)
        ),
        gateways=tuple(member.mesh for member in gateways),
    )


def is_version_only(
    old: messages.ZoneSummary, new: messages.ZoneSummary
) -> bool:
    """Tells whether two summaries say the same of the services of a zone."""
    masked = old._replace(version=new.version, sequence_ms=new.sequence_ms)
    return masked == new


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
            messages.ZoneSequence(summary.zone, summary.sequence_ms)
            for summary in self._summaries.values()
        )

    def later_than(
        self, known: Iterable[messages.ZoneSequence]
    ) -> tuple[messages.ZoneSummary, ...]:
        """Returns the summaries that another daemon does not have yet."""
        sequences = {entry.zone: entry.sequence_ms for entry in known}
        return tuple(
            summary
            for summary in self._summaries.values()
            if summary.sequence_ms > sequences.get(summary.zone, 0)
        )

    def merge(
        self, summaries: Iterable[messages.ZoneSummary], now: float
    ) -> list[messages.ZoneSummary]:
        """Takes the summaries with a higher sequence.

        Returns:
            Those that say something new of services; they are worth pushing.
        """
        taken = []
        for summary in summaries:
            known = self._summaries.get(summary.zone)
            if known and known.sequence_ms >= summary.sequence_ms:
                continue
            self._summaries[summary.zone] = summary
            self._received[summary.zone] = now
            if known is None or not is_version_only(known, summary):
                taken.append(summary)
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
            fresh = fresh._replace(sequence_ms=known.sequence_ms)
            age_s = self.age_s(fresh.zone, now)
            if fresh == known and age_s < RENEWAL_S:
                return None
            if is_version_only(known, fresh) and age_s < VERSION_RENEWAL_S:
                return None
        # The clock of an earlier gateway may have been ahead of this one.
        sequence = max(now_ms, fresh.sequence_ms + 1)
        issued = fresh._replace(sequence_ms=sequence)
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
