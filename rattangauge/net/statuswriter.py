"""Writes the status of the zone to the store, on its first gateway."""

import json
import random as random_module
import time
from typing import Any

import anyio

from rattangauge import errors
from rattangauge import log
from rattangauge import metrics
from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.config import pulls
from rattangauge.config import versions
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.membership import status
from rattangauge.net import head_watcher
from rattangauge.net import object_store

CHECK_PERIOD_S = 0.1
MAX_RETRY_S = 8.0
# An unchanged status is written again after this time, so that its age shows
# whether the zone reaches the store. With 12 zones these are 3 writes a second.
REWRITE_S = 4.0


class StatusWriter:
    """Builds the status of the zone and writes it when it has changed."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: object_store.Store,
        table: members.MemberTable,
        watcher: head_watcher.HeadWatcher,
        holder: versions.ActiveEdition,
    ) -> None:
        """Creates the object; ``run`` starts to write."""
        self._settings = settings
        self._store = store
        self._members = table
        self._head_watcher = watcher
        self._holder = holder
        self._random = random_module.Random()
        self._progress = status.DistributionProgress()
        self._written: dict[str, Any] = {}
        self._written_at = 0.0
        # Version of the stored status; None if it must be read first.
        self._stored_version: int | None = None

    def build(self) -> status.ZoneStatus:
        """Returns the present status of the zone."""
        return status.build_zone_status(
            self._members,
            self._progress,
            self._head_watcher.store_reachable,
            anyio.current_time(),
            util.now_ms(),
        )

    def view(self) -> dict[str, Any]:
        """Returns the status with the members and summaries known here."""
        own = self._members.own
        return {
            **self.build(),
            "instance": own.instance,
            "version": self._holder.version,
            "digest": self._holder.digest,
            "members": [
                {
                    **member._asdict(),
                    "state": member.state.name.lower(),
                    "upstream": member.upstream.name.lower(),
                }
                for member in self._members.members.values()
            ],
            "gateways": [m.instance for m in self._members.gateways],
            "summaries": self._summaries(),
        }

    def _summaries(self) -> list[dict[str, Any]]:
        table = self._members.summaries
        now = time.monotonic()
        return [
            {
                "zone": summary.zone,
                "age_ms": round(1000 * table.age_s(summary.zone, now)),
                "region": summary.region,
                "sequence_ms": summary.sequence_ms,
                "members": summary.members,
                "version": summary.version,
                "services": {e.service: e.serving for e in summary.services},
                "gateways": list(summary.gateways),
            }
            for summary in table.summaries.values()
        ]

    async def run(self) -> None:
        """Updates the progress and writes the status until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_writes)
            while True:
                self._update_progress()
                await anyio.sleep(CHECK_PERIOD_S)

    def _update_progress(self) -> None:
        live = self._members.live
        self._progress = status.advance(self._progress, live, util.now_ms())
        counts = dict.fromkeys(messages.MemberState, 0)
        for member in self._members.members.values():
            counts[member.state] += 1
        for state, count in counts.items():
            metrics.MEMBERS.labels(state.name.lower()).set(count)

    async def _run_writes(self) -> None:
        failures = 0
        while True:
            period_s = self._settings.platform.status_period_s
            await anyio.sleep(period_s)
            # A gateway that has made no call to the store yet does not write.
            if not self._members.is_first_gateway or (
                self._head_watcher.store_reachable is None
            ):
                self._stored_version = None
                continue
            try:
                await self._write()
                failures = 0
            except errors.CodedError as error:
                failures += 1
                self._stored_version = None
                log.logger.warning("cannot write the zone status: {}", error)
                wait_s = pulls.backoff_s(
                    failures, self._random, period_s, MAX_RETRY_S
                )
                await anyio.sleep(wait_s)

    async def _write(self) -> None:
        current = self.build()
        content = status.without_times(current)
        is_recent = anyio.current_time() - self._written_at < REWRITE_S
        is_stored = self._stored_version is not None
        if is_recent and is_stored and content == self._written:
            return
        path = f"status/{self._members.own.zone}"
        if self._stored_version is None:
            stored = await self._store.get(path)
            self._stored_version = stored.version if stored else 0
        data = json.dumps(current).encode()
        try:
            self._stored_version = await self._store.put(
                path, data, self._stored_version
            )
        except errors.CodedError as error:
            if error.code == errorcodes.STORE_CONFLICT:
                # The previous first gateway may still write, so the version
                # is read again before the next write.
                self._stored_version = None
                return
            raise
        self._written = content
        self._written_at = anyio.current_time()
