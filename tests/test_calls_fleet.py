"""Tests of admission, retries and hedging with real daemon processes."""

import anyio
import httpx
import pytest

from tests import builders
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio

SLOTS = 4


async def _start(fleet, *workers, **policy):
    await fleet.start(*workers)
    objects = builders.object_set(**policy)
    await fleet_module.put_edition(fleet.platform_url, 1, objects)
    await fleet.wait_version(1)
    await fleet.wait_serving("skladby", len(workers) - 1)


async def _get_all(url, count, **params):
    answers = []

    async def get(number):
        values = {**params, "echo": f"call-{number}"}
        answers.append(await client.get(url, params=values))

    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(timeout=30.0, limits=limits) as client:
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(get, number)
    return answers


async def test_overload_answers_not_run_and_the_upstream_confirms_it():
    """Guards against a refused call that the upstream began (P5)."""
    settings = {"calls": {"queue": 8}}
    async with fleet_module.fleet() as fleet:
        await _start(
            fleet,
            fleet_module.Worker("a", 1),
            fleet_module.Worker(
                "b", 1, "skladby", slots=SLOTS, settings=settings
            ),
            retries=0,
        )
        url = f"http://{fleet.ports['a'].callers}/skladby/1"
        answers = await _get_all(url, 60, work_ms=200)
        refused = [a for a in answers if a.status_code == 503]
        answered = [a for a in answers if a.status_code == 200]
        counters = await fleet.counters("b")
        explained = await fleet.get_json(
            f"http://{fleet.ports['b'].operators}/explain?subject=instance b"
        )
    assert len(refused) + len(answered) == 60
    assert refused
    for answer in refused:
        assert answer.headers["rattangauge-outcome"] == "not-run"
        assert answer.json()["code"] == "call.overloaded"
        assert int(answer.headers["retry-after"]) >= 1
    assert counters["begun"] == len(answered)
    assert counters["peak"] <= SLOTS
    assert {a.json()["echo"] for a in answered} == set(counters["runs"])
    actions = [event["action"] for event in explained["events"]]
    assert actions.count("overload begins") == 1


async def test_upstream_killed_while_calls_run():
    """Guards against lost reads and repeated writes if an upstream dies."""
    async with fleet_module.fleet() as fleet:
        await _start(
            fleet,
            fleet_module.Worker("a", 1),
            fleet_module.Worker("b", 1, "skladby"),
            fleet_module.Worker("c", 1, "skladby"),
        )
        url = f"http://{fleet.ports['a'].callers}/skladby/1"
        answers = {"GET": [], "POST": []}

        async def send(method, number):
            params = {"work_ms": 1000, "echo": f"{method}-{number}"}
            answer = await client.request(method, url, params=params)
            answers[method].append(answer)

        async with httpx.AsyncClient(timeout=30.0) as client:
            async with anyio.create_task_group() as tasks:
                # The second call goes to the other, less loaded upstream.
                for number in range(2):
                    tasks.start_soon(send, "POST", number)
                    await anyio.sleep(0.2)
                for number in range(4):
                    tasks.start_soon(send, "GET", number)
                await anyio.sleep(0.2)
                await fleet.kill("b.upstream")
        runs = (await fleet.counters("c"))["runs"]
    assert [a.status_code for a in answers["GET"]] == [200] * 4
    lost = [a for a in answers["POST"] if a.status_code != 200]
    assert len(lost) == 1
    assert {a.json()["outcome"] for a in lost} == {"unknown"}
    # The call with the unknown outcome did not run at the other upstream.
    posted = [run for run in runs if run.startswith("POST")]
    assert len(posted) == 1


async def test_upstream_that_lies_about_its_state_is_used():
    """Guards against an outage if all upstreams report a wrong state."""
    async with fleet_module.fleet() as fleet:
        await _start(
            fleet,
            fleet_module.Worker("a", 1),
            fleet_module.Worker("b", 1, "skladby"),
        )
        await fleet.control_upstream("b", lie_state="starting")

        async def is_reported():
            members = (await fleet.status("a"))["members"]
            return any(m["upstream"] == "starting" for m in members)

        await fleet_module.wait_until(is_reported, "the lie is known")
        url = f"http://{fleet.ports['a'].callers}/skladby/1"
        answers = await _get_all(url, 5)
    assert [a.status_code for a in answers] == [200] * 5


async def test_late_reads_run_at_a_second_upstream_and_writes_do_not():
    """Guards against hedging that has no effect or repeats writes (P6)."""
    counts = {"GET": 300, "POST": 20}
    async with fleet_module.fleet() as fleet:
        await _start(
            fleet,
            fleet_module.Worker("a", 1),
            fleet_module.Worker("b", 1, "skladby", work_ms=20.0),
            fleet_module.Worker("c", 1, "skladby", work_ms=20.0),
            hedge=True,
        )
        url = f"http://{fleet.ports['a'].callers}/skladby/1"
        answers = await _get_all(url, 1)
        async with httpx.AsyncClient(timeout=30.0) as client:
            for _ in range(30):
                await client.get(url)
            await fleet.control_upstream("b", slow_factor=300.0)
            for method, count in counts.items():
                for number in range(count):
                    params = {"echo": f"{method}-{number}"}
                    answer = await client.request(method, url, params=params)
                    answers.append(answer)
        runs = [(await fleet.counters(name))["runs"] for name in ("b", "c")]
    assert {answer.status_code for answer in answers} == {200}
    assert answers[0].headers["rattangauge-allowance"] == "2"
    both = runs[0].keys() & runs[1].keys()
    assert any(echo.startswith("GET") for echo in both)
    assert not any(echo.startswith("POST") for echo in both)
