"""Exchanges member records with other daemons."""

import anyio

from rattangauge import errors
from rattangauge import log
from rattangauge import settings as settings_module
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.net import links as links_module
from rattangauge.net import worker as worker_module


class Gossip:
    """Membership traffic of a daemon."""

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: links_module.Links,
        worker: worker_module.Worker,
    ) -> None:
        """Creates the exchange; ``run`` starts it."""
        self._settings = settings
        self._members = table
        self._links = links
        self._worker = worker

    async def run(self) -> None:
        """Exchanges records with all known members once a period."""
        while True:
            self.refresh_own()
            addresses = {
                member.mesh
                for member in self._members.members.values()
                if member.instance != self._members.own.instance
            }
            addresses.update(self._settings.mesh.contacts)
            addresses.discard(self._members.own.mesh)
            async with anyio.create_task_group() as tasks:
                for address in addresses:
                    tasks.start_soon(self._exchange, address)
            await anyio.sleep(self._settings.mesh.ping_period_s)

    def refresh_own(self) -> None:
        """Brings the daemon's own record up to date."""
        own = self._members.own
        announcement = self._worker.announcement
        fresh = own._replace(
            service=announcement.service if announcement else "",
            slots=announcement.slots if announcement else 0,
            upstream=self._worker.state,
        )
        if fresh != own:
            self._members.set_own(fresh)

    async def _exchange(self, address: str) -> None:
        request = messages.JoinRequest(self._members.own)
        try:
            reply = await self._links.request(
                address, request, self._settings.mesh.ping_timeout_s
            )
        except errors.CodedError as error:
            log.logger.debug("no exchange with {}: {}", address, error)
            return
        if isinstance(reply, messages.JoinReply):
            self._members.merge(reply.members)

    async def answer_join(
        self, stream: links_module.Stream, message: messages.JoinRequest
    ) -> None:
        """Answers the request of another daemon."""
        self._members.merge([message.member])
        records = tuple(self._members.members.values())
        await stream.send(messages.JoinReply(members=records))
