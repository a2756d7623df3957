"""The upstream stand-in."""

import json

import pytest

from standins import upstream

pytestmark = pytest.mark.anyio

ARGUMENTS = ["--service", "skladby", "--address", "a:1", "--daemon", "b:1"]


async def test_an_instance_without_calls_reports_zeros():
    """Guards against a chaos run that ends for want of a counter."""
    instance = upstream.Upstream(upstream.parse_arguments(ARGUMENTS))
    sent = []

    async def send(event):
        sent.append(event)

    scope = {"type": "http", "path": "/counters"}
    await instance.app(scope, None, send)
    counters = json.loads(sent[-1]["body"])
    assert {counters[name] for name in upstream.COUNTERS} == {0}
    assert counters["runs"] == {}
