"""Tests that a call with an idempotency key runs at most once.

Processes are killed or frozen, and connections and the store fail.
"""

import contextlib
import signal

import anyio
import httpx
import pytest

from tests import builders
from tools import fleet as fleet_module

pytestmark = pytest.mark.anyio

WORKERS = (
    fleet_module.Worker("a", 1),
    fleet_module.Worker("b", 2),
    fleet_module.Worker("c", 1, "objednavky"),
)


@contextlib.asynccontextmanager
async def mesh(*workers, count=1, **options):
    """Starts a mesh; waits until all daemons know ``count`` serving workers."""
    async with fleet_module.fleet() as fleet:
        await fleet.start(*(workers or WORKERS))
        objects = builders.object_set(**options)
        await fleet_module.put_edition(fleet.platform_url, 1, objects)
        await fleet.wait_version(1)
        await fleet.wait_serving("objednavky", count)
        async with httpx.AsyncClient(timeout=30.0) as client:
            yield fleet, client


def url(fleet, name, query=""):
    return f"http://{fleet.ports[name].callers}/objednavky{query}"


async def order(fleet, client, name, key, query="", **options):
    headers = {"idempotency-key": key, **options.pop("headers", {})}
    address = url(fleet, name, query)
    return await client.post(address, headers=headers, **options)


async def issue(fleet, client, name):
    address = f"http://{fleet.ports[name].callers}/.rattangauge/keys"
    call_fields = {"method": "POST", "path": "/objednavky"}
    response = await client.post(address, json=call_fields)
    assert response.status_code == 200, response.text
    return response.json()["key"]


async def runs(fleet, key, name="c"):
    return (await fleet.counters(name))["runs"].get(key, 0)


async def wait_runs(fleet, key, name="c"):
    async def has_run():
        return await runs(fleet, key, name) == 1

    await fleet_module.wait_until(has_run, f"{key} runs")


@pytest.mark.parametrize("is_issued", [True, False])
async def test_repeat_through_any_daemon(is_issued):
    """Guards against a second run if another daemon or zone gets a repeat."""
    async with mesh() as (fleet, client):
        key = await issue(fleet, client, "b") if is_issued else "order-1"
        first = await order(fleet, client, "a", key, json={"n": 1})
        for name in ("a", "b", "c"):
            repeat = await order(fleet, client, name, key, json={"n": 1})
            assert (repeat.status_code, repeat.content) == (200, first.content)
        other = await order(fleet, client, "b", key, json={"n": 2})
        assert other.json()["code"] == "key.reused"
        assert await runs(fleet, key) == 1


async def test_concurrent_repeats_of_a_plain_key():
    """Guards against two daemons that claim one key at the same time."""
    workers = (*WORKERS, fleet_module.Worker("d", 2, "objednavky"))
    async with mesh(*workers, count=2) as (fleet, client):
        bodies = set()

        async def repeat(name):
            answer = await order(fleet, client, name, "race", "?work_ms=200")
            assert answer.status_code == 200
            bodies.add(answer.content)

        async with anyio.create_task_group() as tasks:
            for name in ("a", "b", "c", "d", "a", "b"):
                tasks.start_soon(repeat, name)
        assert len(bodies) == 1
        total = [await runs(fleet, "race", name) for name in ("c", "d")]
        assert sorted(total) == [0, 1]


async def test_caller_and_first_daemon_go_away():
    """Guards against a call that is interrupted and then run again."""
    async with mesh() as (fleet, client):
        key = await issue(fleet, client, "b")
        async with anyio.create_task_group() as tasks:

            async def call_and_fail():
                with contextlib.suppress(httpx.HTTPError):
                    await order(fleet, client, "a", key, "?work_ms=1500")

            tasks.start_soon(call_and_fail)
            await wait_runs(fleet, key)
            await fleet.kill("a")
        answer = await order(fleet, client, "b", key, "?work_ms=1500")
        assert answer.status_code == 200
        assert await runs(fleet, key) == 1


async def test_daemon_beside_the_upstream_is_killed():
    """Guards against a second run after the record of keys was lost."""
    async with mesh() as (fleet, client):
        key = await issue(fleet, client, "a")
        lost = []
        async with anyio.create_task_group() as tasks:

            async def call_and_fail():
                lost.append(
                    await order(fleet, client, "a", key, "?work_ms=900")
                )

            tasks.start_soon(call_and_fail)
            await wait_runs(fleet, key)
            await fleet.kill("c")
        assert lost[0].json()["outcome"] == "unknown"
        for restarted in (False, True):
            if restarted:
                await fleet.start_daemon("c")
                await fleet.wait_version(1)
                await fleet.wait_serving("objednavky", 1)
            repeat = await order(fleet, client, "b", key, "?work_ms=900")
            assert repeat.status_code != 200
        # Other daemons refuse the key because of the new incarnation. The
        # restarted daemon itself must refuse it too.
        own_reply = await order(fleet, client, "c", key, "?work_ms=900")
        for answer in (repeat, own_reply):
            assert answer.json()["code"] == "key.gone"
            assert answer.json()["outcome"] == "unknown"
        assert await runs(fleet, key) == 1


async def test_daemon_is_frozen_and_resumed():
    """Guards against a second run by a daemon that resumes after a repeat."""
    async with mesh() as (fleet, client):
        key = await issue(fleet, client, "a")
        fleet.signal("c", signal.SIGSTOP)
        late = await order(fleet, client, "a", key)
        repeat = await order(fleet, client, "b", key)
        fleet.signal("c", signal.SIGCONT)
        assert {late.json()["outcome"], repeat.json()["outcome"]} == {"unknown"}

        async def is_answered():
            answer = await order(fleet, client, "b", key)
            return answer.status_code == 200

        await fleet_module.wait_until(is_answered, "the key is answered")
        assert await runs(fleet, key) == 1


async def test_answer_of_the_upstream_is_lost():
    """Guards against a second run of a call whose response was lost."""
    async with mesh() as (fleet, client):
        await fleet.control_upstream("c", drop_answers=1)
        key = await issue(fleet, client, "a")
        for name in ("a", "b", "c"):
            answer = await order(fleet, client, name, key)
            assert answer.json()["outcome"] == "unknown"
        assert await runs(fleet, key) == 1


async def test_store_fails_while_keys_are_claimed():
    """Guards against running a call whose plain key is not claimed."""
    async with mesh() as (fleet, client):
        for faults in ({"down": True}, {"delay_s": 20.0}):
            await fleet.control(fleet.platform_url, **faults)
            answer = await order(fleet, client, "a", "k1")
            assert answer.json()["code"] == "key.unclaimed"
            assert answer.json()["outcome"] == "not_run"
            assert await runs(fleet, "k1") == 0
            await fleet.control(fleet.platform_url, down=False, delay_s=0.0)
        await fleet.control(fleet.platform_url, lose_replies=2)
        for name in ("b", "a"):
            assert (await order(fleet, client, name, "k1")).status_code == 200
        assert await runs(fleet, "k1") == 1


async def test_call_without_key_has_one_attempt():
    """Guards against a retry of a call without a key that may have run."""
    async with mesh() as (fleet, client):
        await fleet.control_upstream("c", drop_answers=1)
        answer = await client.post(url(fleet, "a", "?echo=e"))
        assert answer.json()["outcome"] == "unknown"
        assert await runs(fleet, "e") == 1
