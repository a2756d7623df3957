"""Calls to an upstream that resets connections while they are set up."""

import collections
import socket
import threading

import httpcore
import pytest

from rattangauge import util
from rattangauge.calls import exchange
from rattangauge.generated import messages
from rattangauge.net import upstream
from tests import peers
from tests import test_platform_reset

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def open_client(address):
    """Returns the client of an upstream at an address."""
    state = messages.UpstreamState.SERVING
    announced = upstream.Announcement("skladby", address, 4, 4, state)
    return upstream.Client(announced)


class ResetStream(httpcore.AsyncNetworkStream):
    """A stream whose connection was reset before its first use."""

    def get_extra_info(self, info):
        """Fails as a stream over a closed transport of uvloop does."""
        raise AttributeError(info)


async def test_reset_before_the_first_use_is_not_run(monkeypatch):
    """Guards against a call without an outcome, and a retry that is lost.

    With uvloop, a connection that is reset while it is set up makes the HTTP
    library raise AttributeError, before any byte of the request is sent.
    """

    async def connect(_backend, *_args, **_kwargs):
        return ResetStream()

    monkeypatch.setattr(httpcore.AnyIOBackend, "connect_tcp", connect)
    client = open_client(util.Address("127.0.0.1", 1))
    with pytest.raises(exchange.CallFailed) as caught:
        await client.run(peers.request(), peers.Answers().respond("c1"))
    assert caught.value.outcome == messages.Outcome.NOT_RUN
    await client.aclose()


async def test_connections_reset_at_once_are_coded_failures():
    """Guards against other errors of connections that are reset early."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(100)
        server = threading.Thread(
            target=test_platform_reset.reset_all, args=(listener,), daemon=True
        )
        server.start()
        client = open_client(util.Address(*listener.getsockname()))
        seen = collections.Counter()
        for _ in range(400):
            with pytest.raises(exchange.CallFailed) as caught:
                await client.run(peers.request(), peers.Answers().respond("c1"))
            kind = caught.value.message.partition("(")[0]
            seen[kind, caught.value.outcome] += 1
        await client.aclose()
        listener.shutdown(socket.SHUT_RDWR)
        server.join(timeout=10)
    after_sending = {
        ("ReadError", messages.Outcome.UNKNOWN),
        ("WriteError", messages.Outcome.UNKNOWN),
    }
    before_sending = ("ConnectError", messages.Outcome.NOT_RUN)
    assert before_sending in seen
    assert set(seen) <= {before_sending, *after_sending}
