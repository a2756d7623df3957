"""Applies the decision which calls leave the availability zone."""

import math
import random as random_module
import time

from rattangauge import decisionlog
from rattangauge import metrics
from rattangauge.calls import zone_spill
from rattangauge.generated import logevents
from rattangauge.membership import peers as peers_module
from rattangauge.membership import zone_loads

# Time between two updates of the share of a service.
UPDATE_PERIOD_S = 0.1
# Time between two events of one service in the log, while a share goes on.
LOG_PERIOD_S = 1.0
# Services with a share; a service beyond it clears all shares.
MAX_SERVICES = 256


class Spillover:
    """Shares of the calls of each service that leave the zone."""

    def __init__(
        self,
        peers: peers_module.PeerTable,
        loads: zone_loads.ZoneLoads,
        random: random_module.Random,
        log: decisionlog.DecisionLog,
    ) -> None:
        """Starts with no call that leaves.

        Args:
            peers: All known daemons.
            loads: Loads of the services in the other zones.
            random: Source of random numbers.
            log: Log of decisions.
        """
        self._peers = peers
        self._loads = loads
        self._random = random
        self._log = log
        self._shares: dict[str, zone_spill.SpillShare] = {}
        self._logged_at: dict[str, float] = {}

    def leaves(self, service: str) -> bool:
        """Decides whether a call should leave the zone."""
        share = self._share(service)
        return share > 0.0 and self._random.random() < share

    def _share(self, service: str) -> float:
        """Returns the share of a service, which it updates when due."""
        now = time.monotonic()
        share = self._shares.get(service)
        if share is None:
            if len(self._shares) >= MAX_SERVICES:
                self._shares.clear()
            share = self._shares[service] = zone_spill.SpillShare(now)
        if now - share.updated_at < UPDATE_PERIOD_S:
            return share.share
        before = share.share
        own = zone_loads.own_zone_load(self._peers, service, now)
        others = [load for _zone, load in self._loads.of(service)]
        share.update(own, others, now)
        if before != share.share:
            metrics.observe_spill(service, share.share)
            quiet_s = now - self._logged_at.get(service, -math.inf)
            if quiet_s >= LOG_PERIOD_S or not before or not share.share:
                self._record(service, share.share, own, now)
        return share.share

    def _record(
        self, service: str, share: float, own: zone_spill.ZoneLoad, now: float
    ) -> None:
        if len(self._logged_at) >= MAX_SERVICES:
            self._logged_at.clear()
        self._logged_at[service] = now
        ages = [now - load.reported_at for _z, load in self._loads.of(service)]
        self._log.record(
            logevents.ZoneSpillChanged(
                service=service,
                share=round(share, 3),
                slots=own.slots,
                busy=own.busy,
                oldest_report_ms=round(max(ages, default=0.0) * 1000),
            )
        )
