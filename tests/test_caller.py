"""The caller stand-in and its checks."""

import httpcore
import pytest

from standins import caller as caller_module
from tests import builders
from tests import test_upstream_reset
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio

CALL = caller_module.Call("/skladby", size=200)


def reply(echo="t1", received=0, size=200):
    text = b'{"echo": "%s", "received": %d}' % (echo.encode(), received)
    return text + b"." * (size - len(text))


@pytest.mark.parametrize(
    "body",
    [
        reply(echo="t2"),
        reply(size=199),
        reply(size=201),
        reply(received=5),
        b"",
        b'{"echo": "t1"',
    ],
)
def test_check_finds_wrong_answers(body):
    """Guards against a check that passes what is not one's own answer."""
    assert caller_module.check_answer(CALL, "t1", body)


async def test_modes_against_a_daemon():
    """Guards against a caller that miscounts, and against an upset daemon."""
    async with fleet_module.fleet() as fleet:
        await fleet.start(fleet_module.Worker("a", 1, "skladby"))
        objects = builders.object_set()
        await fleet_module.put_edition(fleet.platform_url, 1, objects)
        await fleet.wait_version(1)
        await fleet.wait_serving("skladby", 1)
        address = fleet.ports["a"].callers
        path = "/skladby?echo=half"
        await caller_module.read_nothing(address, "/skladby", 10**7, 0.3)
        await caller_module.send_half(address, path, 10**6, 0.3)
        calls = [CALL, CALL._replace(method="POST", body_bytes=100_000)]
        async with caller_module.Caller([address], 1) as caller:
            await caller.run(calls, 100.0, 1.0)
        summary = caller.recorder.summary()
        assert summary["calls"] > 50
        assert summary["answered"] == summary["calls"], summary
        runs = (await fleet.counters("a"))["runs"]
        results = caller.recorder.results
        assert {runs[result.token] for result in results} == {1}
        slow = caller_module.Call(
            "/skladby", "POST", body_bytes=1_001, body_s=0.2
        )
        async with caller_module.Caller([address], 2) as caller:
            assert (await caller.call(slow)).outcome == caller_module.ANSWERED


async def test_connections_reset_early_are_calls_that_did_not_run(monkeypatch):
    """Guards against a chaos run that ends in its own callers.

    With uvloop, a connection that is reset while it is set up makes the HTTP
    library raise AttributeError, before any byte of the request is sent.
    """

    async def connect(_backend, *_args, **_kwargs):
        return test_upstream_reset.ResetStream()

    monkeypatch.setattr(httpcore.AnyIOBackend, "connect_tcp", connect)
    async with caller_module.Caller(["127.0.0.1:1"], 1) as caller:
        result = await caller.call(CALL)
    assert result.outcome == caller_module.NOT_RUN
