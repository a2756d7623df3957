"""Member records of an availability zone and the rules for merging them."""

from collections.abc import Iterable
import time
from typing import NamedTuple

from rattangauge.generated import messages
from rattangauge.membership import gateways as gateways_module
from rattangauge.membership import zone_summary

# Mesh addresses whose highest reported version is kept. A daemon that restarts
# asks for it, so that it does not go back to an older configuration.
MAX_VERSION_FLOORS = 4_096

# Between two records with the same incarnation and counter, the one whose state
# has the higher value wins.
_STATE_PRECEDENCE = {
    messages.MemberState.ALIVE: 0,
    messages.MemberState.SUSPECT: 1,
    messages.MemberState.DEAD: 2,
    messages.MemberState.LEFT: 3,
}

_LIVE_STATES = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)


class Change(NamedTuple):
    """The replacement of a member record.

    Attributes:
        old: The replaced record; None if the member was unknown.
        new: The record that is now in the table.
    """

    old: messages.Member | None
    new: messages.Member

    @property
    def is_version_only(self) -> bool:
        """Whether the records differ only in the version and the counter."""
        if self.old is None:
            return False
        masked = self.old._replace(
            counter=self.new.counter,
            version=self.new.version,
        )
        return masked == self.new

    @property
    def is_urgent(self) -> bool:
        """Whether calls may fail until the other members receive the change."""
        if self.old is None or self.is_version_only:
            return False
        if self.new.state is messages.MemberState.SUSPECT:
            return False
        return (
            self.old.upstream != self.new.upstream
            or self.old.service != self.new.service
            or self.old.state != self.new.state
        )


def order(member: messages.Member) -> tuple[int, int, int]:
    """Returns the sort key of records of one instance; the highest one wins."""
    return member.incarnation, member.counter, _STATE_PRECEDENCE[member.state]


def _with_highest_version(
    known: messages.Member | None, record: messages.Member
) -> messages.Member:
    """Returns the record with the higher of the two versions of the process.

    A process also reports its version in probes, without a new record.
    """
    if known is None or known.incarnation != record.incarnation:
        return record
    return record._replace(version=max(known.version, record.version))


class MemberTable:
    """Records of the members that a daemon knows, its own record included."""

    def __init__(self, own: messages.Member) -> None:
        """Creates a table that contains only the daemon's own record."""
        self._own = own
        self._members = {own.instance: own}
        self._last_heard: dict[str, float] = {}
        self._version_floors: dict[str, int] = {}
        self._summaries = zone_summary.SummaryTable()

    @property
    def own(self) -> messages.Member:
        """The daemon's own record."""
        return self._own

    @property
    def members(self) -> dict[str, messages.Member]:
        """All records by instance, the daemon's own record included."""
        return self._members

    @property
    def summaries(self) -> zone_summary.SummaryTable:
        """Summaries of all availability zones."""
        return self._summaries

    @property
    def live(self) -> list[messages.Member]:
        """Members that are alive or suspect, the daemon itself included."""
        return [m for m in self._members.values() if m.state in _LIVE_STATES]

    @property
    def peers(self) -> list[messages.Member]:
        """Live members without the daemon itself."""
        return [m for m in self.live if m.instance != self._own.instance]

    @property
    def gateways(self) -> list[messages.Member]:
        """Gateways of the daemon's zone, the first gateway first."""
        members = self._members.values()
        return gateways_module.select_gateways(self._own.zone, members)

    @property
    def is_gateway(self) -> bool:
        """Whether the daemon is a gateway of its zone."""
        return self._own in self.gateways

    @property
    def is_first_gateway(self) -> bool:
        """Whether the daemon is the first gateway of its zone."""
        return self.gateways[:1] == [self._own]

    def set_own(self, own: messages.Member) -> Change:
        """Replaces the daemon's own record and increments its counter."""
        old = self._own
        self._own = own._replace(counter=old.counter + 1)
        self._members[own.instance] = self._own
        return Change(old, self._own)

    def merge(
        self, records: Iterable[messages.Member], now: float = 0.0
    ) -> list[Change]:
        """Merges records of the daemon's zone and returns the changes.

        Records of other zones are ignored. So are dead members that are not in
        the table: the table must not grow with the members that have left.

        Args:
            records: Records that another daemon sent.
            now: Monotonic time in seconds, from which the age of records
                counts.
        """
        changes = []
        for record in records:
            if record.zone != self._own.zone:
                continue
            if record.instance == self._own.instance:
                changes += self._refute(record)
                continue
            known = self._members.get(record.instance)
            if known is None and record.state not in _LIVE_STATES:
                continue
            self._raise_version_floor(record.mesh, record.version)
            if known is None or order(record) > order(known):
                kept = _with_highest_version(known, record)
                self._members[record.instance] = kept
                self._last_heard[record.instance] = now
                changes.append(Change(known, kept))
        return changes

    def _refute(self, record: messages.Member) -> list[Change]:
        """Answers a record that another daemon holds of this daemon.

        If that record would replace the daemon's own one, the daemon raises the
        counter or the incarnation of its own record above it.
        """
        if order(record) <= order(self._own):
            # The daemon's own counter may have been raised by a change of its
            # version alone, and such records are not sent out. Daemons that
            # hold the wrong state then lack the newer record.
            if record.state is not self._own.state:
                return [Change(record, self._own)]
            return []
        old = self._own
        if record.incarnation > old.incarnation:
            if record.mesh != old.mesh:
                # A replacement of this instance runs at another address. Its
                # record stays, or both processes would raise their
                # incarnations forever.
                return []
            # The clock went back between two processes at this address, so
            # this later process has the lower incarnation.
            incarnation = record.incarnation + 1
            self._own = old._replace(incarnation=incarnation)
        else:
            self._own = old._replace(counter=record.counter + 1)
        self._members[self._own.instance] = self._own
        return [Change(record, self._own)]

    def set_state(
        self, instance: str, state: messages.MemberState, now: float = 0.0
    ) -> list[Change]:
        """Sets the state of another member that this daemon has observed."""
        known = self._members.get(instance)
        if known is None or instance == self._own.instance:
            return []
        return self.merge([known._replace(state=state)], now)

    def forget(self, instance: str) -> None:
        """Removes the record of a dead member."""
        self._members.pop(instance, None)
        self._last_heard.pop(instance, None)

    def record_answer(self, instance: str, now: float) -> None:
        """Records that a member answered, at a monotonic time in seconds."""
        if instance in self._members:
            self._last_heard[instance] = now

    def age_s(self, instance: str, now: float) -> float:
        """Returns the seconds since a member's last answer or new record."""
        if instance == self._own.instance:
            return 0.0
        return now - self._last_heard.get(instance, now)

    def record_version(self, address: str, version: int) -> None:
        """Records a version that the daemon at a mesh address reported."""
        self._raise_version_floor(address, version)
        for instance, member in self._members.items():
            if member.mesh == address and member.version < version:
                self._members[instance] = member._replace(version=version)
                break

    def _raise_version_floor(self, address: str, version: int) -> None:
        floor = max(version, self._version_floors.pop(address, 0))
        if not floor:
            return
        self._version_floors[address] = floor
        if len(self._version_floors) > MAX_VERSION_FLOORS:
            del self._version_floors[next(iter(self._version_floors))]

    def version_floor(self, address: str, zone: str) -> int:
        """Returns the version below which an address must not go back.

        This is the highest version that the address reported, or the lowest
        version in the summary of its zone if that is higher. Other zones still
        have the summary after all daemons of the zone have restarted.
        """
        summary = self._summaries.summaries.get(zone)
        lowest = summary.version if summary else 0
        return max(self._version_floors.get(address, 0), lowest)

    def serving(self, service: str) -> list[messages.Member]:
        """Returns live members whose upstream is serving the service."""
        return [
            member
            for member in self._members.values()
            if member.service == service
            and member.state in _LIVE_STATES
            and member.upstream == messages.UpstreamState.SERVING
        ]

    def remote_workers(self, service: str) -> list[messages.Member]:
        """Returns workers of a service in other zones, from their summaries."""
        now = time.monotonic()
        return self._summaries.remote_workers(service, self._own.zone, now)
