"""Tests of uploads that are refused before their body is read."""

import anyio
import pytest

from rattangauge import events
from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.net import forward
from rattangauge.net import local_upstream
from rattangauge.net import router as router_module
from tests import builders
from tests import peers

pytestmark = pytest.mark.anyio

PIECES = 20


class Upload:
    """Request body that counts the pieces that were read."""

    def __init__(self):
        """Creates a body of which nothing was read."""
        self.read_count = 0

    async def pieces(self):
        """Yields the pieces of the body."""
        for _ in range(PIECES):
            self.read_count += 1
            yield b"x" * 50_000


async def refuse(peer):
    """Refuses the next call after 0.1 s."""
    number, opened = await peer.receive(messages.CallOpen)
    await anyio.sleep(0.1)
    refusal = messages.AnswerFailed(
        opened.call_id,
        errorcodes.CALL_OVERLOADED,
        "",
        messages.Outcome.NOT_RUN,
        allowance=opened.allowance,
    )
    await peer.send(number, refusal)


async def answer_size(peer):
    """Answers the next call with the size of its body."""
    number, opened = await peer.receive(messages.CallOpen)
    await peer.send(number, messages.Credit(0))
    size, last = 0, False
    while not last:
        _, data = await peer.receive(messages.CallData)
        size, last = size + len(data.body), data.last
        await peer.send(number, messages.Credit(len(data.body)))
    body = b"%d" % size
    answer = messages.AnswerOpen(opened.call_id, 200, body=body)
    await peer.send(number, answer._replace(last=True))


async def test_refused_upload_is_not_consumed():
    """Guards against a refused upload that can no longer be retried."""
    upload = Upload()
    async with peers.scripted(refuse) as address, peers.pool() as links:
        request = peers.request(body=upload.pieces())
        with pytest.raises(exchange.CallFailed) as caught:
            respond = peers.Answers().respond("c1")
            await forward.forward(links, address, request, respond)
    assert caught.value.outcome == messages.Outcome.NOT_RUN
    assert upload.read_count == 0


def new_router(links, *workers):
    """Returns a router of a daemon that knows the given members."""
    table = members.MemberTable(builders.member("a", service=""))
    table.merge(workers)
    log = events.Events()
    local_worker = local_upstream.LocalUpstream(peers.settings(), log)
    router = router_module.Router(links, table, local_worker, log)
    router.use_edition(builders.edition(1))
    return router


async def test_refused_upload_is_taken_by_another_upstream():
    """Guards against refusing an upload that another upstream has room for."""

    async def script(peer):
        await refuse(peer)
        await answer_size(peer)

    upload, answers = Upload(), peers.Answers()
    async with peers.scripted(script) as address, peers.pool() as links:
        workers = [builders.member(name, mesh=address) for name in "bc"]
        router = new_router(links, *workers)
        target = router.match("POST", "/skladby")
        request = peers.request(body=upload.pieces(), allowance=2)
        with anyio.fail_after(10):
            await router.run(request, target, answers.respond("c1"))
    assert answers.whole == {"c1": b"%d" % (PIECES * 50_000)}
