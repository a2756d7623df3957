"""Tests of publish planning, the head object and progress reports."""

import json

import pytest

from rattangauge import errors
from rattangauge.config import head as head_module
from rattangauge.config import objects as objects_module
from rattangauge.config import progress
from rattangauge.config import publish
from rattangauge.config import zone_status
from rattangauge.generated import objects as generated
from rattangauge.membership import members as members_module
from rattangauge.membership import status as status_module
from tests import builders


def head(*changed, first=2):
    """Returns a head with a log entry for each tuple of changed objects."""
    result = None
    for version, names in enumerate(changed, first):
        entry = head_module.Entry(
            version, f"d{version}", f"op{version}", "anna", version, names
        )
        result = head_module.append(result, entry, (f"p{version}",))
    return result


def with_policy(name, **fields):
    objects = builders.object_set()
    objects["policy"][name] = generated.Policy(name, **fields)
    return objects


SEEN = publish.BaseConfiguration(2, builders.object_set())


def conflict(current_head, current, wanted, seen=SEEN):
    with pytest.raises(errors.CodedError) as caught:
        publish.plan(current_head, current, wanted, seen)
    assert caught.value.code == "publish.conflict"
    return str(caught.value)


def test_rebase_onto_other_objects():
    """Guards against the loss of either of two independent changes."""
    current = with_policy("other")
    wanted = publish.RequestedChange(with_policy("mine"))
    log = head((), ("policy/other",))
    plan = publish.plan(log, current, wanted, SEEN)
    assert plan.changed == ("policy/mine",)
    assert plan.objects["policy"].keys() == {"default", "mine", "other"}


@pytest.mark.parametrize("changed", [("policy/default",), ("*",)])
def test_same_object_conflicts(changed):
    """Guards against a lost update; ``*`` stands for all objects."""
    wanted = publish.RequestedChange(with_policy("default", retries=1))
    current = with_policy("default", retries=9)
    text = conflict(head((), changed), current, wanted)
    assert "operation op3 of anna" in text
    assert "version 3" in text


def test_deleted_and_changed_object_conflicts():
    """Guards against deleting an object that another operator changed."""
    empty = objects_module.empty_set()
    wanted = publish.RequestedChange(empty, (("policy", "default"),))
    current = with_policy("default", retries=9)
    conflict(head((), ("policy/default",)), current, wanted)
    plan = publish.plan(head(()), SEEN.objects, wanted, SEEN)
    assert plan.changed == ("policy/default",)
    assert plan.objects["policy"] == {}


def test_log_that_is_too_short_conflicts():
    """Guards against a rebase over publishes that the log has dropped."""
    wanted = publish.RequestedChange(with_policy("mine"))
    text = conflict(head((), first=9), SEEN.objects, wanted)
    assert "does not reach back to version 2" in text


def test_object_to_delete_must_exist():
    """Guards against a deletion that succeeds although the name is misspelt."""
    wanted = publish.RequestedChange(
        objects_module.empty_set(), (("pool", "none"),)
    )
    with pytest.raises(errors.CodedError) as caught:
        publish.plan(head(()), SEEN.objects, wanted, SEEN)
    assert str(caught.value).startswith("pool/none: ")


def test_head_stays_below_the_limit_of_the_store():
    """Guards against a head that is too large for the platform's store."""
    names = tuple(f"service/{number:063}" for number in range(300))
    many = head(*[names] * 150)
    assert len(head_module.format_head(many)) <= head_module.MAX_HEAD_BYTES
    assert len(many.log) >= head_module.MIN_LOG_ENTRIES
    assert head_module.parse(head_module.format_head(many)) == many
    assert head((*names, "pool/a")).log[-1].changed == ("*",)
    assert len(head(*[()] * 150).log) == head_module.MAX_LOG_ENTRIES


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"[" * 100_000, b'{"version": "1"}', b"{}"]
)
def test_faulty_head_and_status_are_recognised(data):
    """Guards against an uncaught error on a damaged object in the store."""
    with pytest.raises(errors.CodedError) as caught:
        head_module.parse(data)
    assert caught.value.code == "store.protocol"
    assert zone_status.lowest_version([zone_status.parse("z", data)]) is None


def test_report_names_who_is_behind_and_why():
    """Guards against a proxy that is behind without a reason."""
    members = [
        {"instance": "a", "version": 3},
        {"instance": "b", "version": 2, "rejected_version": 3},
        {"instance": "c", "version": 2, "state": "suspect"},
        {"instance": "d", "version": 0},
        {"instance": "e", "version": 1, "state": "dead"},
    ]
    status = zone_status.ZoneStatus("z", 0, 3, 1, tuple(members))
    silent = zone_status.ZoneStatus("y")
    result = progress.build_report(3, head((), ()), [status, silent], 1003)
    assert [(p.instance, p.behind, p.age_ms) for p in result.proxies] == [
        ("a", False, 1000),
        ("b", True, 1001),
        ("c", True, 1001),
        ("d", True, None),
    ]
    assert [proxy.reason for proxy in result.proxies] == [
        "",
        "it rejected version 3 [no code]",
        "it does not answer pings",
        "it reports no configuration in force",
    ]
    assert [zone.reason for zone in result.zones] == [
        "3 of 4 proxies are behind; version 3 was rejected [no code]",
        "its status is missing or cannot be read",
    ]


def test_report_names_a_silent_zone_and_who_hears_it():
    """Guards against a zone that looks current while cut off from the store."""
    heard = (zone_status.HeardZone("y", 2000, 3),)
    statuses = [
        zone_status.ZoneStatus("y", 3, 3, 1_000),
        zone_status.ZoneStatus("z", 3, 3, 15_000, heard=heard),
    ]
    result = progress.build_report(3, None, statuses, 16_000)
    assert [zone.reporting for zone in result.zones] == [False, True]
    text = "its status is 15 s old; z heard from it 3 s ago at version 3"
    assert [zone.reason for zone in result.zones] == [text, ""]


def test_rejection_by_a_gateway_explains_the_other_proxies():
    """Guards against a zone that stays behind without a reported reason."""
    members = (
        {"instance": "a", "version": 2},
        {
            "instance": "b",
            "version": 2,
            "rejected_version": 3,
            "rejected_code": "object.reference",
        },
    )
    status = zone_status.ZoneStatus("z", 2, 2, 1, members)
    result = progress.build_report(3, None, [status], 2)
    text = "a gateway of its zone rejected version 3 [object.reference]"
    assert result.proxies[0].reason == text
    assert result.zones[0].reason == (
        "2 of 2 proxies are behind; version 3 was rejected [object.reference]"
    )


def test_status_that_a_zone_writes_is_read():
    """Guards against a writer and a reader that use different keys."""
    own = builders.member("a", version=2)
    table = members_module.MemberTable(own)
    written = status_module.build_zone_status(
        table, status_module.DistributionProgress(), True, 1, 7
    )
    read = zone_status.parse(own.zone, json.dumps(written).encode())
    assert [row["instance"] for row in read.proxies] == ["a"]
    assert (read.lowest_version, read.written_ms) == (2, 7)
