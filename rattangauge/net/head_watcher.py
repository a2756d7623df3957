"""Follows the head of the configuration in the store, as a gateway."""

import random as random_module

import anyio

from rattangauge import errors
from rattangauge import log
from rattangauge import settings as settings_module
from rattangauge.config import head as head_module
from rattangauge.config import pulls
from rattangauge.config import versions
from rattangauge.generated import errorcodes
from rattangauge.membership import members
from rattangauge.net import config_distribution
from rattangauge.net import object_store

GATEWAY_CHECK_S = 0.25
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 8.0
FIRST_WATCH_S = 0.1
# Time that the second gateway leaves the first one to read the edition.
TOLD_CHECKS = 10
TOLD_CHECK_S = 0.025


class Follower:
    """Watches the head while the daemon is a gateway of its zone."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: object_store.Store,
        table: members.MemberTable,
        spread: config_distribution.Spread,
    ) -> None:
        """Creates the follower; ``run`` starts it."""
        self._settings = settings
        self._store = store
        self._members = table
        self._spread = spread
        self._random = random_module.Random()
        self._reachable: bool | None = None

    @property
    def store_reachable(self) -> bool | None:
        """Whether the last call succeeded; None if this is no gateway."""
        return self._reachable

    async def run(self, joined: anyio.Event) -> None:
        """Follows the head until cancelled.

        Args:
            joined: Set when the neighbours have told members and floor.
        """
        await joined.wait()
        # Until the zone's members know one another, each would be a gateway.
        period_s = self._settings.mesh.ping_period_s
        await anyio.sleep(period_s * self._random.uniform(1.0, 2.0))
        while True:
            if not self._members.is_gateway:
                self._reachable = None
                await anyio.sleep(GATEWAY_CHECK_S)
                continue
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._follow)
                await self._wait_while_gateway()
                tasks.cancel_scope.cancel()

    async def _wait_while_gateway(self) -> None:
        while self._members.is_gateway:
            await anyio.sleep(GATEWAY_CHECK_S)

    async def _follow(self) -> None:
        seen = 0
        failures = 0
        while True:
            try:
                seen = await self._step(seen)
                failures = 0
                self._reachable = True
            except errors.CodedError as error:
                failures += 1
                self._reachable = False
                wait_s = pulls.backoff_s(
                    failures, self._random, FIRST_RETRY_S, MAX_RETRY_S
                )
                log.logger.warning(
                    "cannot follow the store, next try in {:.1f} s: {}",
                    wait_s,
                    error,
                )
                await anyio.sleep(wait_s)

    async def _step(self, seen: int) -> int:
        """Waits for a head; returns the version of its object."""
        watch_s = self._settings.platform.watch_s
        if not self._reachable:
            # A short watch shows soon whether the store answers at all.
            watch_s = FIRST_WATCH_S
        stored = await self._store.watch(head_module.PATH, seen, watch_s)
        if stored is None:
            await anyio.sleep(0.05)
            return seen
        await self._take(head_module.parse(stored.data))
        return stored.version

    async def _take(self, head: head_module.Head) -> None:
        holder = self._spread.holder
        if not holder.wants(head.version, head.digest):
            # Records why the head is not taken: older, a fork or refused.
            offered = versions.Offered(head.version, head.digest, b"")
            if holder.judge(head.version, head.digest).code:
                self._spread.take(offered, "")
            return
        if not self._members.is_first_gateway and await self._is_told(head):
            return
        pieces = []
        for digest in head.parts:
            stored = await self._store.get(head_module.part_path(digest))
            if stored is None:
                text = f"version {head.version} lacks a part"
                path = head_module.part_path(digest)
                raise errors.CodedError(errorcodes.STORE_PROTOCOL, text, path)
            pieces.append(stored.data)
        data = b"".join(pieces)
        self._spread.take(versions.Offered(head.version, head.digest, data), "")

    async def _is_told(self, head: head_module.Head) -> bool:
        """Waits a moment for the first gateway to spread the edition."""
        for _ in range(TOLD_CHECKS):
            await anyio.sleep(TOLD_CHECK_S)
            if not self._spread.holder.wants(head.version, head.digest):
                return True
        return False
