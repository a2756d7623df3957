"""Watches the head of the configuration in the store, on gateways."""

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
PROBE_WATCH_S = 0.1
# The other gateways check this often whether the first one has distributed the
# edition before they read it from the store too.
FIRST_GATEWAY_CHECKS = 10
FIRST_GATEWAY_CHECK_S = 0.025


class HeadWatcher:
    """Watches the head while the daemon is a gateway of its zone."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: object_store.Store,
        table: members.MemberTable,
        distribution: config_distribution.ConfigDistribution,
    ) -> None:
        """Creates the object; ``run`` starts to watch."""
        self._settings = settings
        self._store = store
        self._members = table
        self._distribution = distribution
        self._random = random_module.Random()
        self._is_store_reachable: bool | None = None

    @property
    def store_reachable(self) -> bool | None:
        """Whether the last call to the store succeeded.

        None if this daemon is not a gateway or has made no call yet.
        """
        return self._is_store_reachable

    async def run(self, joined: anyio.Event) -> None:
        """Watches the head while this is a gateway, until cancelled.

        Args:
            joined: Set when the daemon has joined the mesh.
        """
        await joined.wait()
        # A daemon that knows no other member takes itself for a gateway. The
        # delay keeps all daemons of a new zone from watching the store.
        period_s = self._settings.mesh.ping_period_s
        await anyio.sleep(period_s * self._random.uniform(1.0, 2.0))
        while True:
            if not self._members.is_gateway:
                self._is_store_reachable = None
                await anyio.sleep(GATEWAY_CHECK_S)
                continue
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_store)
                await self._wait_while_gateway()
                tasks.cancel_scope.cancel()

    async def _wait_while_gateway(self) -> None:
        while self._members.is_gateway:
            await anyio.sleep(GATEWAY_CHECK_S)

    async def _watch_store(self) -> None:
        seen_version = 0
        failures = 0
        while True:
            try:
                seen_version = await self._watch_once(seen_version)
                failures = 0
                self._is_store_reachable = True
            except errors.CodedError as error:
                failures += 1
                self._is_store_reachable = False
                delay_s = pulls.backoff_s(
                    failures, self._random, FIRST_RETRY_S, MAX_RETRY_S
                )
                log.logger.warning(
                    "cannot watch the store, next try in {:.1f} s: {}",
                    delay_s,
                    error,
                )
                await anyio.sleep(delay_s)

    async def _watch_once(self, seen_version: int) -> int:
        """Waits for a new head; returns the object version seen last."""
        watch_s = self._settings.platform.watch_s
        if not self._is_store_reachable:
            # A short watch shows early whether the store answers.
            watch_s = PROBE_WATCH_S
        stored = await self._store.watch(
            head_module.PATH, seen_version, watch_s
        )
        if stored is None:
            await anyio.sleep(0.05)
            return seen_version
        await self._apply_head(head_module.parse(stored.data))
        return stored.version

    async def _apply_head(self, head: head_module.Head) -> None:
        holder = self._distribution.holder
        if not holder.wants(head.version, head.digest):
            # Records the reason if the head is rejected, such as an older
            # version or another digest of the same version.
            offered = versions.OfferedEdition(head.version, head.digest, b"")
            if holder.evaluate(head.version, head.digest).code:
                self._distribution.apply_edition(offered, "")
            return
        if (
            not self._members.is_first_gateway
            and await self._wait_for_first_gateway(head)
        ):
            return
        parts = []
        for digest in head.parts:
            stored = await self._store.get(head_module.part_path(digest))
            if stored is None:
                text = f"version {head.version} has a part that is not stored"
                path = head_module.part_path(digest)
                raise errors.CodedError(errorcodes.STORE_PROTOCOL, text, path)
            parts.append(stored.data)
        data = b"".join(parts)
        self._distribution.apply_edition(
            versions.OfferedEdition(head.version, head.digest, data), ""
        )

    async def _wait_for_first_gateway(self, head: head_module.Head) -> bool:
        """Waits for the first gateway to distribute the edition.

        Returns:
            Whether the edition has arrived.
        """
        for _ in range(FIRST_GATEWAY_CHECKS):
            await anyio.sleep(FIRST_GATEWAY_CHECK_S)
            if not self._distribution.holder.wants(head.version, head.digest):
                return True
        return False
