"""Answers that another daemon does not read (FAULT: out of memory)."""

import asyncio

import anyio
import pytest

from rattangauge.generated import messages
from rattangauge.net import connection_monitor
from rattangauge.net import connections
from standins import appworker
from tests import test_process_review

ANSWER_BYTES = 900_000
CALLS = 500
CALL_PERIOD_S = 0.01
CALLS_PER_PING = 10
DEADLINE_MS = 7000
# Longer than the test: this end does not give the connection up.
SILENCE_S = 1000.0


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def call(number):
    """Returns the first message of a call."""
    return messages.CallOpen(
        call_id=f"c{number}",
        service="skladby",
        method="GET",
        target="/track/1",
        route="r-track",
        version=1,
        last=True,
        deadline_ms=DEADLINE_MS,
        target_ms=DEADLINE_MS,
        idempotent=True,
    )


async def _peak_mb(machine):
    """Returns the most memory of a daemon while a peer reads nothing."""

    async def large(request):
        return appworker.sealed(request, b"x" * ANSWER_BYTES)

    machine.upstream.behaviour = large
    monitor = connection_monitor.ConnectionMonitor(SILENCE_S)
    transport, peer = await asyncio.get_running_loop().create_connection(
        lambda: connections.Connection(monitor),
        machine.host,
        machine.ports["mesh"],
    )
    transport.pause_reading()
    peak_mb = 0
    for number in range(CALLS):
        peer.open_stream().post(call(number))
        if number % CALLS_PER_PING == 0:
            peer.post(None, messages.LinkPing(number))
        await anyio.sleep(CALL_PERIOD_S)
        size_mb = test_process_review.resident_mb(machine.process.pid)
        peak_mb = max(peak_mb, size_mb)
    transport.abort()
    return peak_mb


async def test_answers_that_a_peer_does_not_read_stay_within_the_memory():
    """Guards against a daemon that is killed for what its peers do not read."""
    async with test_process_review.one_machine() as (_fleet, machine):
        peak_mb = await _peak_mb(machine)
    assert peak_mb < test_process_review.MEMORY_MB


async def test_unread_answers_stay_within_the_memory_of_the_settings():
    """Guards against the same where the settings give the memory."""
    limit_mb = float(test_process_review.MEMORY_MB)
    fleet = test_process_review.one_machine(memory_mb=limit_mb)
    async with fleet as (_fleet, machine):
        peak_mb = await _peak_mb(machine)
    assert peak_mb < limit_mb
