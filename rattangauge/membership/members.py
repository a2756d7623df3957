"""Member records of a zone and how they are merged."""

from collections.abc import Iterable
import time
from typing import NamedTuple

from rattangauge.generated import messages
from rattangauge.membership import gateways as gateways_module
from rattangauge.membership import zone_summary

# Addresses whose highest version is remembered, for daemons that restart.
MAX_FLOORS = 4_096

# A record with a higher rank replaces one of the same counter.
_RANK = {
    messages.MemberState.ALIVE: 0,
    messages.MemberState.SUSPECT: 1,
    messages.MemberState.DEAD: 2,
    messages.MemberState.LEFT: 3,
}

_USABLE = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)


class Change(NamedTuple):
    """A record that was replaced.

    Attributes:
        old: The record before, if there was one.
        new: The record now.
    """

    old: messages.Member | None
    new: messages.Member

    @property
    def is_minor(self) -> bool:
        """Whether only the version and the counter differ."""
        if self.old is None:
            return False
        masked = self.old._replace(
            counter=self.new.counter,
            version=self.new.version,
        )
        return masked == self.new

    @property
    def is_urgent(self) -> bool:
        """Whether calls may go wrong until other members know of it."""
        if self.old is None or self.is_minor:
            return False
        if self.new.state is messages.MemberState.SUSPECT:
            return False
        return (
            self.old.upstream != self.new.upstream
            or self.old.service != self.new.service
            or self.old.state != self.new.state
        )


def order(member: messages.Member) -> tuple[int, int, int]:
    """Returns the order in which records of one instance replace each other."""
    return member.incarnation, member.counter, _RANK[member.state]


def _keep_version(
    known: messages.Member | None, record: messages.Member
) -> messages.Member:
    """Keeps a version that the process reported after the record was made."""
    if known is None or known.incarnation != record.incarnation:
        return record
    return record._replace(version=max(known.version, record.version))


class MemberTable:
    """Members that a daemon knows, with its own record."""

    def __init__(self, own: messages.Member) -> None:
        """Creates a table with the daemon's own record."""
        self._own = own
        self._members = {own.instance: own}
        self._heard: dict[str, float] = {}
        self._floors: dict[str, int] = {}
        self._summaries = zone_summary.SummaryTable()

    @property
    def own(self) -> messages.Member:
        """The daemon's own record."""
        return self._own

    @property
    def members(self) -> dict[str, messages.Member]:
        """All records by instance, the own one included."""
        return self._members

    @property
    def summaries(self) -> zone_summary.SummaryTable:
        """Summaries of all zones."""
        return self._summaries

    @property
    def live(self) -> list[messages.Member]:
        """Members that are not dead and have not left, the own included."""
        return [m for m in self._members.values() if m.state in _USABLE]

    @property
    def peers(self) -> list[messages.Member]:
        """Live members without the own record."""
        return [m for m in self.live if m.instance != self._own.instance]

    @property
    def gateways(self) -> list[messages.Member]:
        """Gateways of the zone, the first one first."""
        members = self._members.values()
        return gateways_module.gateways(self._own.zone, members)

    @property
    def is_gateway(self) -> bool:
        """Whether the daemon is a gateway of its zone."""
        return self._own in self.gateways

    @property
    def is_first_gateway(self) -> bool:
        """Whether the daemon is the first gateway of its zone."""
        return self.gateways[:1] == [self._own]

    def set_own(self, own: messages.Member) -> Change:
        """Replaces the daemon's own record by one with a higher counter."""
        old = self._own
        self._own = own._replace(counter=old.counter + 1)
        self._members[own.instance] = self._own
        return Change(old, self._own)

    def merge(
        self, records: Iterable[messages.Member], now: float = 0.0
    ) -> list[Change]:
        """Merges records of the own zone; returns what changed.

        Args:
            records: Records that another daemon sent.
            now: Monotonic time in seconds, for the age of records.
        """
        changes = []
        for record in records:
            if record.zone != self._own.zone:
                continue
            if record.instance == self._own.instance:
                changes += self._defend(record)
                continue
            known = self._members.get(record.instance)
            if known is None and record.state not in _USABLE:
                continue
            self._raise_floor(record.mesh, record.version)
            if known is None or order(record) > order(known):
                kept = _keep_version(known, record)
                self._members[record.instance] = kept
                self._heard[record.instance] = now
                changes.append(Change(known, kept))
        return changes

    def _defend(self, record: messages.Member) -> list[Change]:
        """Replaces what others believe of this daemon if it is outdated."""
        if order(record) <= order(self._own):
            # The record may have been raised by a version, which is not
            # spread; then the daemons that hold a wrong belief lack it.
            if record.state is not self._own.state:
                return [Change(record, self._own)]
            return []
        old = self._own
        if record.incarnation > old.incarnation:
            if record.mesh != old.mesh:
                # A replacement of this instance runs elsewhere; it wins.
                return []
            # The clock went back between two processes at this address.
            incarnation = record.incarnation + 1
            self._own = old._replace(incarnation=incarnation)
        else:
            self._own = old._replace(counter=record.counter + 1)
        self._members[self._own.instance] = self._own
        return [Change(record, self._own)]

    def mark(
        self, instance: str, state: messages.MemberState, now: float = 0.0
    ) -> list[Change]:
        """Changes the state of a member that this daemon judged itself."""
        known = self._members.get(instance)
        if known is None or instance == self._own.instance:
            return []
        return self.merge([known._replace(state=state)], now)

    def forget(self, instance: str) -> None:
        """Removes the record of a dead member."""
        self._members.pop(instance, None)
        self._heard.pop(instance, None)

    def confirm(self, instance: str, now: float) -> None:
        """Notes that a member answered."""
        if instance in self._members:
            self._heard[instance] = now

    def age_s(self, instance: str, now: float) -> float:
        """Returns the time since a member was heard of, in seconds."""
        if instance == self._own.instance:
            return 0.0
        return now - self._heard.get(instance, now)

    def report(self, address: str, version: int) -> None:
        """Notes a version that a mesh address reported of itself."""
        self._raise_floor(address, version)
        for instance, member in self._members.items():
            if member.mesh == address and member.version < version:
                self._members[instance] = member._replace(version=version)
                break

    def _raise_floor(self, address: str, version: int) -> None:
        highest = max(version, self._floors.pop(address, 0))
        if not highest:
            return
        self._floors[address] = highest
        if len(self._floors) > MAX_FLOORS:
            del self._floors[next(iter(self._floors))]

    def floor(self, address: str, zone: str) -> int:
        """Returns the highest version that a mesh address surely had.

        The lowest version of its zone counts too: it is known in other zones
        after all daemons of the zone have restarted.
        """
        summary = self._summaries.summaries.get(zone)
        lowest = summary.version if summary else 0
        return max(self._floors.get(address, 0), lowest)

    def serving(self, service: str) -> list[messages.Member]:
        """Returns members whose upstream announces a service and serves."""
        return [
            member
            for member in self._members.values()
            if member.service == service
            and member.state in _USABLE
            and member.upstream == messages.UpstreamState.SERVING
        ]

    def remote(self, service: str) -> list[messages.Member]:
        """Returns workers of a service in other zones, from summaries."""
        now = time.monotonic()
        return self._summaries.remote(service, self._own.zone, now)
