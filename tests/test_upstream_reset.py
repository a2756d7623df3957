"""Tests of calls to an upstream that resets connections during their set-up."""

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


def create_client(address):
    """Returns a client for an upstream at an address."""
    state = messages.UpstreamState.SERVING
    announcement = upstream.Announcement("skladby", address, 4, 4, state)
    return upstream.Client(announcement)


class ResetStream(httpcore.AsyncNetworkStream):
    """Network stream of a connection that was reset before its first use."""

    def get_extra_info(self, info):
        """Raises the error of a stream on a closed transport of uvloop."""
        raise AttributeError(info)


async def test_reset_before_the_first_use_is_not_run(monkeypatch):
    """Guards against a failure without an outcome, which is never retried.

    With uvloop, httpcore raises AttributeError for a connection that is reset
    during its set-up, before any byte of the request is sent.
    """

    async def connect(_backend, *_args, **_kwargs):
        return ResetStream()

    monkeypatch.setattr(httpcore.AnyIOBackend, "connect_tcp", connect)
    client = create_client(util.Address("127.0.0.1", 1))
    with pytest.raises(exchange.CallFailed) as caught:
        await client.run(peers.request(), peers.Answers().respond("c1"))
    assert caught.value.outcome == messages.Outcome.NOT_RUN
    await client.aclose()


async def test_connections_reset_at_once_are_coded_failures():
    """Guards against exceptions without an error code after early resets."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(100)
        server = threading.Thread(
            target=test_platform_reset.reset_all, args=(listener,), daemon=True
        )
        server.start()
        client = create_client(util.Address(*listener.getsockname()))
        failures = collections.Counter()
        for _ in range(400):
            with pytest.raises(exchange.CallFailed) as caught:
                await client.run(peers.request(), peers.Answers().respond("c1"))
            error_name = caught.value.message.partition("(")[0]
            failures[error_name, caught.value.outcome] += 1
        await client.aclose()
        listener.shutdown(socket.SHUT_RDWR)
        server.join(timeout=10)
    after_sending = {
        ("ReadError", messages.Outcome.UNKNOWN),
        ("WriteError", messages.Outcome.UNKNOWN),
    }
    before_sending = ("ConnectError", messages.Outcome.NOT_RUN)
    assert before_sending in failures
    assert set(failures) <= {before_sending, *after_sending}
