"""Exhaustive check of what callers are told of a call and its attempts.

Each sequence of outcomes of the attempts is played against the dispatcher:
what an upstream did is known here, but not to the daemon.
"""

import itertools
import time
from typing import NamedTuple

import pytest

from rattangauge import decisionlog
from rattangauge.calls import exchange
from rattangauge.config import routes
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.generated import objects as generated
from rattangauge.membership import peers as peers_module
from rattangauge.membership import zone_loads
from rattangauge.net import forward
from rattangauge.sidecar import dispatch
from rattangauge.sidecar import headernames
from rattangauge.sidecar import incomingcall
from tests import builders
from tests import meshes

MAX_ATTEMPTS = 4
UPSTREAMS = 3


class Attempt(NamedTuple):
    """What happens in one attempt.

    Attributes:
        name: Name of the case.
        runs: Whether the upstream runs the call.
        failure: Returns the failure that the daemon sees; None for an answer.
        status: Status of the answer.
    """

    name: str
    runs: bool
    failure: object = None
    status: int = 0


def not_run(code):
    """Returns a function that makes a failure of a call that did not run."""
    return lambda: exchange.not_run(code, "")


def unknown(code):
    """Returns a function that makes a failure of a call that may have run."""
    return lambda: exchange.unknown("", code)


CASES = (
    Attempt("answered", True, status=200),
    Attempt("failed by the upstream", True, status=500),
    Attempt("answer lost", True, lambda: forward.ConnectionLost("", True)),
    Attempt("call lost", False, lambda: forward.ConnectionLost("", True)),
    Attempt("not connected", False, lambda: forward.ConnectionLost("", False)),
    Attempt("refused", False, not_run(errorcodes.CALL_OVERLOADED)),
    Attempt(
        "refused by the upstream",
        False,
        not_run(errorcodes.CALL_UPSTREAM_REFUSED),
    ),
    Attempt("late, had run", True, unknown(errorcodes.CALL_DEADLINE)),
    Attempt("late, not run", False, unknown(errorcodes.CALL_DEADLINE)),
    Attempt(
        "late before it was sent", False, not_run(errorcodes.CALL_DEADLINE)
    ),
    Attempt(
        "cut inside the answer", True, unknown(errorcodes.CALL_UPSTREAM_FAILED)
    ),
)


class ScriptedDispatcher(dispatch.Dispatcher):
    """Plays the outcomes of the attempts one after the other.

    Attributes:
        runs: Number of times that an upstream ran the call.
    """

    def __init__(self, settings, peers, cases):
        """Creates a dispatcher for one call."""
        log = decisionlog.DecisionLog("own", "zone-1", len)
        loads = zone_loads.ZoneLoads()
        super().__init__(
            settings, NAMES, None, peers, None, None, None, loads, log
        )
        self._cases = list(cases)
        self._upstreams.choose = self._choose_untried
        self.runs = 0

    def _choose_untried(self, _call, tried):
        untried = [
            p for p in self._peers.others() if p.member.mesh not in tried
        ]
        return untried[0] if untried and self._cases else None

    async def _attempt(self, call, _peer):
        case = self._cases.pop(0)
        self.runs += case.runs
        if case.failure is not None:
            raise case.failure()
        return messages.AnswerOpen(
            call.request.open.call_id, case.status, last=True
        )


NAMES = headernames.HeaderNames(
    *(b"x" for _ in headernames.HeaderNames._fields)
)


def make_call(idempotent):
    """Returns a call of a route that allows three retries."""
    policy = generated.Policy(name="p", retries=3)
    service = generated.Service("skladby", ("skladby",))
    route = generated.Route(
        name="r",
        service="skladby",
        prefix="/",
        idempotent="yes" if idempotent else "no",
    )
    opened = messages.CallOpen(
        call_id="c1", service="skladby", idempotent=idempotent, last=True
    )
    now = time.monotonic()
    request = exchange.Request(opened, None, now + 60.0)
    target = routes.Target(route, service, (), policy)
    return incomingcall.IncomingCall("q1", request, target, now, now + 30.0)


@pytest.mark.parametrize("idempotent", [False, True])
async def test_no_order_of_failures_repeats_or_denies_a_call(idempotent):
    """Guards against "not run" for a call that ran, and against two runs."""
    settings = meshes.daemon_settings("own", "skladby", "zone-1", "127.0.0.1:1")
    peers = peers_module.PeerTable(builders.member("own"))
    for number in range(UPSTREAMS):
        mesh = f"127.0.1.{number + 1}:7000"
        peers.add(builders.member(f"i{number}", mesh=mesh))
    call = make_call(idempotent)
    checked = 0
    for cases in itertools.product(CASES, repeat=MAX_ATTEMPTS - 1):
        dispatcher = ScriptedDispatcher(settings, peers, cases)
        response = await dispatcher._run_with_retries(call)
        names = [case.name for case in cases]
        if response.status == 503:
            assert dispatcher.runs == 0, names
        if not idempotent:
            assert dispatcher.runs <= 1, names
        if response.status == 200:
            assert dispatcher.runs >= 1, names
        checked += 1
    assert checked == len(CASES) ** (MAX_ATTEMPTS - 1)
