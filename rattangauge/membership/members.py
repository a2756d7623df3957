"""Member records of a zone and how they are merged."""

from collections.abc import Iterable

from rattangauge.generated import messages

# A record with a higher rank replaces one of the same counter.
_RANK = {
    messages.MemberState.ALIVE: 0,
    messages.MemberState.SUSPECT: 1,
    messages.MemberState.DEAD: 2,
    messages.MemberState.LEFT: 3,
}

_USABLE = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)


def order(member: messages.Member) -> tuple[int, int, int]:
    """Returns the order in which records of one instance replace each other."""
    return member.incarnation, member.counter, _RANK[member.state]


class MemberTable:
    """Members that a daemon knows, with its own record."""

    def __init__(self, own: messages.Member) -> None:
        """Creates a table with the daemon's own record."""
        self._own = own
        self._members = {own.instance: own}

    @property
    def own(self) -> messages.Member:
        """The daemon's own record."""
        return self._own

    @property
    def members(self) -> dict[str, messages.Member]:
        """All records by instance, the own one included."""
        return self._members

    def set_own(self, own: messages.Member) -> None:
        """Replaces the daemon's own record by one with a higher counter."""
        self._own = own._replace(counter=self._own.counter + 1)
        self._members[own.instance] = self._own

    def merge(self, records: Iterable[messages.Member]) -> list[str]:
        """Merges records; returns the instances that changed."""
        changed = []
        for record in records:
            if record.instance == self._own.instance:
                self._defend(record)
                continue
            known = self._members.get(record.instance)
            if known is None or order(record) > order(known):
                self._members[record.instance] = record
                changed.append(record.instance)
        return changed

    def _defend(self, record: messages.Member) -> None:
        """Replaces what others believe of this daemon if it is outdated."""
        if order(record) <= order(self._own):
            return
        if record.incarnation > self._own.incarnation:
            return
        counter = record.counter + 1
        self._own = self._own._replace(counter=counter)
        self._members[self._own.instance] = self._own

    def serving(self, service: str) -> list[messages.Member]:
        """Returns members whose upstream announces a service and serves."""
        return [
            member
            for member in self._members.values()
            if member.service == service
            and member.state in _USABLE
            and member.upstream == messages.UpstreamState.SERVING
        ]
