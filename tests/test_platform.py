"""Error codes of the HTTP client of the object store."""

import httpx
import pytest

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.net import object_store

pytestmark = pytest.mark.anyio


def store_answering(status, **headers):
    transport = httpx.MockTransport(
        lambda _request: httpx.Response(status, headers=headers)
    )
    client = httpx.AsyncClient(transport=transport, base_url="http://store")
    return object_store.HttpStore(client)


@pytest.mark.parametrize(
    ("status", "code"),
    [
        (503, errorcodes.STORE_UNAVAILABLE),
        (500, errorcodes.STORE_OUTCOME_UNKNOWN),
        (502, errorcodes.STORE_OUTCOME_UNKNOWN),
        (504, errorcodes.STORE_OUTCOME_UNKNOWN),
        (412, errorcodes.STORE_CONFLICT),
        (400, errorcodes.STORE_PROTOCOL),
    ],
)
async def test_write_that_fails_has_the_right_code(status, code):
    """Guards against "nothing was written" after a successful write."""
    with pytest.raises(errors.CodedError) as raised:
        await store_answering(status).put("head", b"x", 1)
    assert raised.value.code == code


async def test_read_that_fails_is_unavailable():
    """Guards against an unknown outcome for a read."""
    with pytest.raises(errors.CodedError) as raised:
        await store_answering(502).get("head")
    assert raised.value.code == errorcodes.STORE_UNAVAILABLE
