"""Tests of deltas between editions and of the edition in force."""

import pytest

from rattangauge import errors
from rattangauge.config import delta
from rattangauge.config import versions
from rattangauge.generated import errorcodes
from rattangauge.generated import objects as generated
from tests import builders


def _pair():
    old = builders.edition(1)
    objects = builders.object_set(("skladby", "nahravky"), timeout_ms=5)
    return old, builders.edition(2, objects)


def _holder(edition):
    holder = versions.ActiveEdition()
    offered = versions.OfferedEdition(
        edition.version, edition.digest, edition.data
    )
    assert holder.take(offered).decision is versions.Decision.ADOPT
    return holder


def test_delta_gives_the_target():
    """Guards against a delta that loses a change or a removal."""
    old, new = _pair()
    result = delta.apply_delta(old, 2, new.digest, delta.encode_delta(old, new))
    assert result == new


def test_delta_checks_its_base():
    """Guards against a delta that is applied to an edition not its base."""
    old, new = _pair()
    data = delta.encode_delta(old, new)
    with pytest.raises(errors.FindingsError) as caught:
        delta.apply_delta(new, 2, new.digest, data)
    assert caught.value.findings[0].code == errorcodes.EDITION_DELTA_BASE


def test_every_truncation_of_a_delta_is_refused():
    """Guards against a truncated delta that is applied in part."""
    old, new = _pair()
    data = delta.encode_delta(old, new)
    holder = _holder(old)
    for length in range(len(data)):
        offered = versions.OfferedEdition(2, new.digest, data[:length], True)
        taken = holder.take(offered)
        assert taken.code == errorcodes.EDITION_MALFORMED
        assert holder.current == old


def test_duplicate_delta_changes_nothing():
    """Guards against applying the same delta twice."""
    old, new = _pair()
    offered = versions.OfferedEdition(
        2, new.digest, delta.encode_delta(old, new), True
    )
    holder = _holder(old)
    assert holder.take(offered).decision is versions.Decision.ADOPT
    assert holder.take(offered).decision is versions.Decision.IGNORE
    assert holder.current == new


def test_wrong_digest_is_refused_but_not_for_good():
    """Guards against a damaged copy, and rejecting a valid one later."""
    old, new = _pair()
    holder = _holder(old)
    taken = holder.take(versions.OfferedEdition(2, new.digest, old.data))
    assert taken.code == errorcodes.EDITION_DIGEST
    assert holder.current == old
    assert holder.wants(2, new.digest)


def test_bad_reference_is_refused_for_good():
    """Guards against a route to a missing service, and repeated fetches."""
    old = builders.edition(1)
    objects = builders.object_set()
    objects["route"]["bad"] = generated.Route("bad", "missing", "/bad")
    data = builders.encoded(objects)
    holder = _holder(old)
    taken = holder.take(versions.OfferedEdition(2, *data))
    assert taken.code == errorcodes.OBJECT_REFERENCE
    assert holder.current == old
    assert not holder.wants(2, data[0])


def test_older_fork_and_floor_are_refused():
    """Guards against an older version and a second content of one version."""
    old, new = _pair()
    holder = _holder(new)
    older = holder.take(versions.OfferedEdition(1, old.digest, old.data))
    fork = holder.take(versions.OfferedEdition(2, old.digest, old.data))
    assert older.code == errorcodes.EDITION_OLDER
    assert fork.code == errorcodes.EDITION_FORK
    assert holder.current == new
    restarted = versions.ActiveEdition()
    restarted.raise_floor(2)
    below = restarted.take(versions.OfferedEdition(1, old.digest, old.data))
    assert below.code == errorcodes.EDITION_BELOW_FLOOR
    assert restarted.current is None
