"""The platform's object API: the interface and its HTTP adapter."""

import contextlib
from typing import NamedTuple
from typing import Protocol
import urllib.parse

import httpx

from rattangauge import errors
from rattangauge.generated import errorcodes

MAX_VALUE_BYTES = 1_000_000


class Stored(NamedTuple):
    """A value of the store with its path and version."""

    path: str
    version: int
    data: bytes


class Store(Protocol):
    """What the project uses of the platform's object API."""

    async def get(self, path: str) -> Stored | None:
        """Returns the value of a path, or None."""

    async def put(self, path: str, data: bytes, expected: int) -> int:
        """Writes a value if its version is the expected one.

        Args:
            path: Path of the value.
            data: The value, at most ``MAX_VALUE_BYTES``.
            expected: Version that is replaced; 0 if none may exist.

        Returns:
            The new version.

        Raises:
            errors.CodedError: ``store.conflict`` if the condition fails,
                ``store.unavailable`` if nothing was written,
                ``store.outcome_unknown`` if the reply was lost.
        """

    async def watch(
        self, path: str, version: int, timeout_s: float
    ) -> Stored | None:
        """Waits for a version above the given one; None on time-out."""

    async def list(self, prefix: str) -> list[str]:
        """Returns the paths below a prefix."""

    async def delete(self, path: str, expected: int) -> None:
        """Deletes a value if its version is the expected one."""


def _unexpected(
    response: httpx.Response, path: str, is_write: bool = False
) -> errors.CodedError:
    """Returns the error for an answer that the API does not document.

    503 says that nothing was done. Any other server error may come after a
    write took effect.
    """
    status = response.status_code
    code = errorcodes.STORE_PROTOCOL
    if status >= httpx.codes.INTERNAL_SERVER_ERROR:
        code = errorcodes.STORE_UNAVAILABLE
        if is_write and status != httpx.codes.SERVICE_UNAVAILABLE:
            code = errorcodes.STORE_OUTCOME_UNKNOWN
    return errors.CodedError(code, f"the store answered {status}", path)


class HttpStore:
    """The object API over HTTP."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Creates the adapter; the client has base URL and timeout."""
        self._client = client

    async def _send(
        self,
        method: str,
        path: str,
        data: bytes | None = None,
        headers: dict[str, str] | None = None,
        query: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> httpx.Response:
        url = "/objects/" + urllib.parse.quote(path)
        extra = {} if timeout_s is None else {"timeout": timeout_s}
        try:
            return await self._client.request(
                method,
                url,
                content=data,
                headers=headers,
                params=query,
                **extra,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise errors.CodedError(
                errorcodes.STORE_UNAVAILABLE, repr(error), path
            ) from error
        except (httpx.HTTPError, AttributeError) as error:
            # With uvloop, httpcore raises AttributeError for a connection that
            # is reset while it is set up. In all other cases the request was
            # sent, so a write may have taken effect.
            is_write = method in ("PUT", "DELETE")
            code = (
                errorcodes.STORE_OUTCOME_UNKNOWN
                if is_write
                else errorcodes.STORE_UNAVAILABLE
            )
            raise errors.CodedError(code, repr(error), path) from error

    async def get(self, path: str) -> Stored | None:
        """See ``Store.get``."""
        response = await self._send("GET", path)
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return self._stored(path, response)

    def _stored(
        self, path: str, response: httpx.Response, is_write: bool = False
    ) -> Stored:
        if response.status_code != httpx.codes.OK:
            raise _unexpected(response, path, is_write)
        with contextlib.suppress(KeyError, ValueError):
            version = int(response.headers["etag"].strip('"'))
            return Stored(path, version, response.content)
        text = "the answer has no valid ETag"
        raise errors.CodedError(errorcodes.STORE_PROTOCOL, text, path)

    async def put(self, path: str, data: bytes, expected: int) -> int:
        """See ``Store.put``."""
        if len(data) > MAX_VALUE_BYTES:
            text = f"the value has {len(data)} bytes of {MAX_VALUE_BYTES}"
            raise errors.CodedError(errorcodes.STORE_TOO_LARGE, text, path)
        response = await self._send("PUT", path, data, _condition(expected))
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            text = f"the version is not {expected}"
            raise errors.CodedError(errorcodes.STORE_CONFLICT, text, path)
        return self._stored(path, response, True).version

    async def watch(
        self, path: str, version: int, timeout_s: float
    ) -> Stored | None:
        """See ``Store.watch``."""
        query = {"after": str(version), "wait_s": str(timeout_s)}
        limit_s = timeout_s + self._client.timeout.read
        response = await self._send("GET", path, query=query, timeout_s=limit_s)
        if response.status_code in (
            httpx.codes.NOT_MODIFIED,
            httpx.codes.NOT_FOUND,
        ):
            return None
        return self._stored(path, response)

    async def list(self, prefix: str) -> list[str]:
        """See ``Store.list``."""
        response = await self._send("GET", "", query={"prefix": prefix})
        if response.status_code != httpx.codes.OK:
            raise _unexpected(response, prefix)
        return response.json()["paths"]

    async def delete(self, path: str, expected: int) -> None:
        """See ``Store.delete``."""
        response = await self._send(
            "DELETE", path, headers=_condition(expected)
        )
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            text = f"the version is not {expected}"
            raise errors.CodedError(errorcodes.STORE_CONFLICT, text, path)
        if response.status_code != httpx.codes.OK:
            raise _unexpected(response, path, True)


def _condition(expected: int) -> dict[str, str]:
    if expected == 0:
        return {"if-none-match": "*"}
    return {"if-match": f'"{expected}"'}


def open_client(url: str, timeout_s: float) -> httpx.AsyncClient:
    """Opens a client for the object API; the caller closes it."""
    return httpx.AsyncClient(base_url=url, timeout=timeout_s)
