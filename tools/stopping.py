"""Graceful stops of the chaos run, beside calls that take long."""

import collections
from typing import NamedTuple

import anyio

from standins import caller as caller_module
from tools import fleet as fleet_module

LONG_S = 3.0
LONG_BYTES = 60_000
BEFORE_STOP_S = 0.5
# No new work reaches an upstream later than this after it announced (P7).
LEAVING_S = 5.0
WATCHED_S = 2.0


class LateWork(NamedTuple):
    """Calls that began at an upstream which had announced that it leaves."""

    instance: str
    count: int


class Stops:
    """Stops daemons and upstreams, and keeps what that showed.

    Attributes:
        results: Results of the long calls.
        late: New work of each upstream that left.
        failed: Daemons whose graceful stop did not end with 0, and the code.
        runs: Runs by token at upstreams that were stopped.
    """

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        """Creates the stops of a fleet."""
        self._fleet = fleet
        self._stops = 0
        self.results: list[caller_module.Result] = []
        self.late: list[LateWork] = []
        self.failed: list[tuple[str, int]] = []
        self.runs: collections.Counter[str] = collections.Counter()

    async def _run_long_calls(self, name: str) -> None:
        """Uploads slowly and reads long answers through two daemons."""
        others = [other for other in self._fleet.workers if other != name]
        addresses = [
            self._fleet.ports[one].callers for one in (name, others[0])
        ]
        path = f"/{self._fleet.workers[name].service}"
        upload = caller_module.Call(
            path, "POST", body_bytes=LONG_BYTES, body_s=LONG_S
        )
        rate = f"rate={LONG_BYTES / LONG_S}"
        answer = caller_module.Call(path, size=LONG_BYTES, query=rate)
        # Negative seeds keep the tokens apart from those of other callers.
        self._stops += 1
        async with caller_module.Caller(addresses, -self._stops) as caller:
            async with anyio.create_task_group() as tasks:
                for call in (upload, upload, answer, answer) * 2:
                    tasks.start_soon(caller.call, call)
        self.results += caller.recorder.results

    async def stop_daemon(self, name: str) -> None:
        """Stops a daemon by SIGTERM while long calls run."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_long_calls, name)
            await anyio.sleep(BEFORE_STOP_S)
            code = await self._fleet.stop(name)
            if code:
                self.failed.append((name, code))

    async def drain_upstream(self, name: str) -> None:
        """Lets an upstream announce draining and counts its new work."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_long_calls, name)
            await anyio.sleep(BEFORE_STOP_S)
            await self._fleet.control_upstream(name, draining=True)
            await anyio.sleep(LEAVING_S)
            before = (await self._fleet.counters(name))["begun"]
            await anyio.sleep(WATCHED_S)
            after = (await self._fleet.counters(name))["begun"]
            self.late.append(LateWork(name, after - before))

    async def restart_upstream(self, name: str) -> None:
        """Replaces an upstream that has drained by a new one."""
        self.runs.update((await self._fleet.counters(name))["runs"])
        await self._fleet.stop(f"{name}.upstream")
        await self._fleet.start_upstream(name)
