"""Load of each service in each availability zone, as daemons report it.

A daemon adds up the instances of its own zone, of which it hears most. It tells
the sum to the daemons of the other zones with its reports.
"""

from collections.abc import Iterator

from rattangauge.calls import zone_spill
from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module

# Services and zones that are remembered; older ones are forgotten first.
MAX_LOADS = 1024


def own_zone_load(
    peers: peers_module.PeerTable, service: str, now: float
) -> zone_spill.ZoneLoad:
    """Returns the load of a service in the zone of the daemon.

    Args:
        peers: All known daemons.
        service: Name of the service.
        now: Monotonic time in seconds.
    """
    zone = peers.own.member.zone
    slots = known_slots = busy = 0
    for peer in peers.serving(service):
        if peer.member.zone != zone or peer.failures:
            continue
        slots += peer.slots
        is_known = peer.load_age_s(now) <= peers_module.LOAD_EXPIRY_S
        if is_known or peer is peers.own:
            known_slots += peer.slots
            busy += peer.outstanding(now)
    if known_slots:
        # Instances without a recent report count as busy as the others.
        busy = round(busy * slots / known_slots)
    return zone_spill.ZoneLoad(slots, busy, now)


def report(
    peers: peers_module.PeerTable, now: float
) -> tuple[messages.ServiceLoad, ...]:
    """Returns the loads of the own zone, for daemons of other zones."""
    zone = peers.own.member.zone
    services = {
        peer.member.service
        for peer in peers
        if peer.member.zone == zone and peer.is_serving
    }
    loads = []
    for service in sorted(services - {""}):
        load = own_zone_load(peers, service, now)
        loads.append(messages.ServiceLoad(service, load.slots, load.busy))
    return tuple(loads)


class ZoneLoads:
    """Last reported load of each service in the other zones."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._loads: dict[tuple[str, str], zone_spill.ZoneLoad] = {}

    def record(
        self, zone: str, loads: tuple[messages.ServiceLoad, ...], now: float
    ) -> None:
        """Stores what a daemon reported of its zone.

        Args:
            zone: Zone of the daemon.
            loads: Load of each service there.
            now: Monotonic time in seconds.
        """
        for load in loads:
            key = load.service, zone
            self._loads.pop(key, None)
            self._loads[key] = zone_spill.ZoneLoad(load.slots, load.busy, now)
        while len(self._loads) > MAX_LOADS:
            del self._loads[next(iter(self._loads))]

    def of(self, service: str) -> Iterator[tuple[str, zone_spill.ZoneLoad]]:
        """Yields the zones with a report of a service, and the reports."""
        for (name, zone), load in self._loads.items():
            if name == service:
                yield zone, load
