"""Tests of the outcome that the router reports after several attempts."""

import anyio
import pytest

from rattangauge import events as events_module
from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.net import router as router_module
from tests import builders
from tests import peers

pytestmark = pytest.mark.anyio

UNKNOWN = exchange.unknown("the connection ended")
REFUSED = exchange.not_run(errorcodes.CALL_NO_UPSTREAM, "nobody is left")


class ScriptedWorker:
    """Local upstream of the daemon; each attempt fails as scripted."""

    def __init__(self, failures):
        """Creates an upstream that raises the failures in order."""
        self.failures = list(failures)

    async def run(self, _request, _respond):
        """Raises the next failure."""
        raise self.failures.pop(0)


async def _run_and_fail(failures):
    worker = ScriptedWorker(failures)
    table = members.MemberTable(builders.member("a"))
    async with peers.pool() as links:
        router = router_module.Router(
            links, table, worker, events_module.Events()
        )
        router.use_edition(builders.edition(1))
        request = peers.request(idempotent=True, allowance=len(failures) - 1)
        with anyio.fail_after(10), pytest.raises(exchange.CallFailed) as caught:
            await router.run(request, router.match("GET", "/skladby"), None)
    assert not worker.failures
    return caught.value


@pytest.mark.parametrize("first", [[UNKNOWN], [REFUSED, UNKNOWN]])
async def test_refused_retry_does_not_undo_an_unknown_attempt(first):
    """Guards against "not run" for a call that an attempt may have run (P5)."""
    failure = await _run_and_fail([*first, REFUSED])
    assert failure.outcome is messages.Outcome.UNKNOWN
    assert failure.code == errorcodes.CALL_OUTCOME_UNKNOWN


async def test_call_that_every_attempt_refused_was_not_run():
    """Guards against the outcome "unknown" for a call that was never run."""
    failure = await _run_and_fail([REFUSED, REFUSED])
    assert failure.outcome is messages.Outcome.NOT_RUN
