"""Opens the platform's store for the commands."""

from collections.abc import AsyncIterator
import contextlib
from typing import NamedTuple

import httpx

from rattangauge import errors
from rattangauge.generated import errorcodes
from rattangauge.net import object_store


class StoreOptions(NamedTuple):
    """Command-line options for the store.

    Attributes:
        url: Base URL of the platform's object API; empty if not given.
        timeout_s: Time to wait for one answer, in seconds.
    """

    url: str
    timeout_s: float


@contextlib.asynccontextmanager
async def open_store(
    options: StoreOptions,
) -> AsyncIterator[object_store.Store]:
    """Opens a client of the store.

    Raises:
        errors.CodedError: ``operators.request`` if the URL is not valid.
    """
    try:
        scheme = httpx.URL(options.url).scheme
    except httpx.InvalidURL as error:
        scheme = repr(error)
    if scheme not in ("http", "https"):
        text = f"--store {options.url!r} is not an HTTP URL"
        raise errors.CodedError(errorcodes.OPERATORS_REQUEST, text)
    client = object_store.open_client(options.url, options.timeout_s)
    async with client:
        yield object_store.HttpStore(client)
