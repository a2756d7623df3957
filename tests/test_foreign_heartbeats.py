"""Heartbeats that other writers send to the control address (UNASKED)."""

import copy
import json

import pytest

from rattangauge import errors
from rattangauge import util
from rattangauge.generated import errorcodes
from rattangauge.generated import settings as generated
from rattangauge.membership import heartbeats
from tests import builders
from tests import meshes

TRACK = meshes.path("/track/", "skladby")
ORDER = meshes.path("/order/", "objednavky")
# Start of a process that is later than that of the known one.
LATER_MS = 2**40
REMOVED = object()

# Changes of a whole heartbeat, by section; the top level has no name.
ODD_FIELDS = {
    "service-named-nowhere": {"info": {"service": "archiv-alt"}},
    "service-of-another-instance": {"info": {"service": "objednavky"}},
    "service-in-capitals": {"info": {"service": "SKLADBY"}},
    "service-with-a-line-end": {"info": {"service": "skladby\r\nx: y"}},
    "service-list": {"info": {"service": ["skladby"]}},
    "no-service": {"info": {"service": REMOVED}},
    "no-version": {"info": {"version": REMOVED}},
    "version-number": {"info": {"version": 1}},
    "no-zone": {"info": {"zone": REMOVED}},
    "zone-null": {"info": {"zone": None}},
    "no-slots": {"info": {"slots": REMOVED}},
    "slots-text": {"info": {"slots": "9"}},
    "no-state": {"status": {"state": REMOVED}},
    "unknown-state": {"status": {"state": "serving"}},
    "no-sequence": {"status": {"seq": REMOVED}},
    "sequence-fraction": {"status": {"seq": 1.5}},
    "cold-text": {"status": {"cold-left-s": "0"}},
    "no-address": {"": {"address": REMOVED}},
    "address-of-another-instance": {"": {"address": "10.128.0.9:8080"}},
    "start-text": {"": {"born": str(LATER_MS)}},
    "start-true": {"": {"born": True}},
    "no-info": {"": {"info": REMOVED}},
    "status-list": {"": {"status": []}},
}


def odd_heartbeat(instance, odd):
    """Returns the body of a heartbeat of a later process with odd fields."""
    body = copy.deepcopy(instance.heartbeat_body())
    body["born"] = LATER_MS
    for section, fields in ODD_FIELDS[odd].items():
        table = body[section] if section else body
        for field, value in fields.items():
            if value is REMOVED:
                del table[field]
            else:
                table[field] = value
    return body


@pytest.mark.parametrize("odd", ODD_FIELDS)
async def test_a_heartbeat_of_another_writer_names_no_upstream(odd):
    """Guards against calls with its service and an upstream without calls."""
    async with meshes.running() as mesh:
        mesh.publish([TRACK, ORDER])
        a = await mesh.add("a")
        b = await mesh.add("b", "objednavky")
        await mesh.wait_ready()
        await mesh.send_heartbeats()
        control = a.settings.listen.control
        for identity in ("i-foreign", "i-a"):
            reply = await a.send_request(
                control,
                "POST",
                f"/instances/{identity}/heartbeat",
                json.dumps(odd_heartbeat(a, odd)).encode(),
            )
            assert reply.status_code == 400
            assert identity in reply.text
        # Later heartbeats of the upstream still count.
        assert (await a.send_heartbeat()).status_code == 200
        assert (await mesh.call("a", "/track/1"))[0] == 200
        assert (await mesh.call("a", "/order/1"))[0] == 200
        assert len(a.upstream.arrived) == 1
        (request,) = b.upstream.arrived
        callers = [v for k, v in request.headers if k == b"caller-service"]
        assert callers == [b"skladby"]


def test_a_heartbeat_is_checked_against_the_settings():
    """Guards against a rejection without place, field and code."""
    instance = generated.Instance(
        "a", "zone-1", "sk-west", "skladby", "127.0.0.1:8080"
    )
    heartbeats.check(builders.heartbeat(), instance)
    foreign = builders.heartbeat(
        service="archiv-alt", address=util.Address("127.0.0.1", 8081)
    )
    with pytest.raises(errors.FindingsError) as caught:
        heartbeats.check(foreign, instance)
    findings = caught.value.findings
    assert [finding.field for finding in findings] == ["service", "address"]
    assert {finding.code for finding in findings} == {
        errorcodes.UPSTREAM_FOREIGN
    }


def test_settings_without_an_upstream_accept_any():
    """Guards against an instance whose upstream nobody has named."""
    instance = generated.Instance("a", "zone-1", "sk-west")
    heartbeats.check(builders.heartbeat(service="any"), instance)
