"""Runs calls on the upstream beside the daemon."""

import anyio

from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import upstream

# Announcements come each second; after this time the upstream is down.
ANNOUNCEMENT_TIMEOUT_S = 3.5


class Worker:
    """The upstream of this daemon and the calls that run on it."""

    def __init__(self) -> None:
        """Creates a worker without an upstream."""
        self._client: upstream.Client | None = None
        self._announcement: upstream.Announcement | None = None
        self._announced_at = 0.0
        self._running = 0
        self._draining = False

    @property
    def announcement(self) -> upstream.Announcement | None:
        """Last announcement of the upstream."""
        return self._announcement

    @property
    def state(self) -> messages.UpstreamState:
        """State of the upstream."""
        if self._announcement is None:
            return messages.UpstreamState.ABSENT
        if self._draining:
            return messages.UpstreamState.DRAINING
        age = anyio.current_time() - self._announced_at
        if age > ANNOUNCEMENT_TIMEOUT_S:
            return messages.UpstreamState.DOWN
        return self._announcement.state

    @property
    def load(self) -> messages.Load:
        """Load of the upstream as this daemon sees it."""
        limit = self._announcement.slots if self._announcement else 0
        return messages.Load(
            running=self._running, limit=limit, state=self.state
        )

    def drain(self) -> None:
        """Announces from now on that the upstream takes no new work."""
        self._draining = True

    async def announce(self, announcement: upstream.Announcement) -> None:
        """Takes an announcement of the upstream."""
        self._announced_at = anyio.current_time()
        old, self._announcement = self._announcement, announcement
        if old is None or old.address != announcement.address:
            if self._client is not None:
                await self._client.aclose()
            self._client = upstream.Client(announcement)

    async def run(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Runs a call on the upstream.

        Raises:
            exchange.CallFailed: There is no whole answer.
        """
        if self._client is None:
            text = "the daemon has no upstream"
            raise exchange.not_run(errorcodes.CALL_NO_UPSTREAM, text)
        if self.state == messages.UpstreamState.DRAINING:
            text = "the upstream takes no new work"
            raise exchange.not_run(errorcodes.CALL_DRAINING, text, 1000)

        async def respond_with_load(response: exchange.Response) -> None:
            head = response.open._replace(load=self.load)
            await respond(response._replace(open=head))

        self._running += 1
        try:
            await self._client.run(request, respond_with_load)
        finally:
            self._running -= 1
