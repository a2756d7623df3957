"""Follows the configuration in the platform's store."""

import anyio

from rattangauge import errors
from rattangauge import events as events_module
from rattangauge import log
from rattangauge import metrics
from rattangauge import settings as settings_module
from rattangauge.config import edition as edition_module
from rattangauge.config import head as head_module
from rattangauge.config import versions
from rattangauge.net import platform
from rattangauge.net import router as router_module

RETRY_S = 0.5


class Follower:
    """Keeps the newest edition in force."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: platform.Store,
        router: router_module.Router,
        events: events_module.Events,
    ) -> None:
        """Creates the follower; ``run`` starts it."""
        self._settings = settings
        self._store = store
        self._router = router
        self._events = events
        self._current: edition_module.Edition | None = None

    @property
    def current(self) -> edition_module.Edition | None:
        """Edition in force, if any."""
        return self._current

    async def run(self) -> None:
        """Follows the head object until cancelled."""
        seen = 0
        while True:
            try:
                stored = await self._store.watch(
                    head_module.PATH, seen, self._settings.platform.watch_s
                )
                if stored is None:
                    await anyio.sleep(0.05)
                    continue
                await self._take(head_module.parse(stored.data))
                seen = stored.version
            except (errors.CodedError, errors.FindingsError) as error:
                log.logger.warning("cannot follow the store: {}", error)
                await anyio.sleep(RETRY_S)

    async def _take(self, head: head_module.Head) -> None:
        decision = versions.decide(self._current, head.version, head.digest, 0)
        if decision is not versions.Decision.ADOPT:
            return
        pieces = []
        for digest in head.parts:
            stored = await self._store.get(head_module.part_path(digest))
            pieces.append(stored.data if stored else b"")
        data = b"".join(pieces)
        self.adopt(edition_module.decode(head.version, head.digest, data))

    def adopt(self, edition: edition_module.Edition) -> None:
        """Puts an edition in force in one step."""
        self._current = edition
        self._router.use(edition)
        metrics.VERSION.set(edition.version)
        self._events.record(
            f"version {edition.version}",
            "put in force",
            f"it is newer and complete, digest {edition.digest[:12]}",
        )
