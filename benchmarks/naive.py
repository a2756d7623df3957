"""Daemon with naive choice, limits and retries, for comparison.

Round robin, no limit on the calls of an upstream, and a retry after any
failure. Everything else is the daemon as it is shipped.
"""

import itertools
from typing import Any

import anyio

from rattangauge import daemon
from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.net import local_upstream
from rattangauge.net import router as router_module

ATTEMPTS = 3

_turns = itertools.count()


async def _run(router: Any, request: Any, target: Any, respond: Any) -> None:
    """Replaces ``Router.run``."""
    answered = False

    async def respond_once(response: exchange.Response) -> None:
        nonlocal answered
        answered = True
        await respond(response)

    for attempt in range(ATTEMPTS):
        members = router._members.serving(target.pools[0].announces)
        if not members:
            code = errorcodes.CALL_NO_UPSTREAM
            raise exchange.not_run(code, "no upstream")
        member = members[next(_turns) % len(members)]
        try:
            await router._send(member, request, respond_once)
            return
        except exchange.CallFailed:
            is_late = request.deadline <= anyio.current_time()
            is_last = attempt + 1 == ATTEMPTS
            if answered or is_late or is_last or request.body is not None:
                raise


async def _admit_and_run(worker: Any, request: Any, respond: Any) -> None:
    """Replaces the admission of ``Worker``."""
    await worker._client.run(request, respond)


def main() -> None:
    """Runs the daemon."""
    router_module.Router.run = _run
    local_upstream.LocalUpstream._admit_and_run = _admit_and_run
    daemon.main()


if __name__ == "__main__":
    main()
