"""Object store of the platform: the interface and its HTTP client."""

import contextlib
from typing import NamedTuple
from typing import Protocol
import urllib.parse

import httpx

from rattangauge import errors
from rattangauge.generated import errorcodes

MAX_VALUE_BYTES = 1_000_000


class Stored(NamedTuple):
    """A stored value with its path and version."""

    path: str
    version: int
    data: bytes


class Store(Protocol):
    """Object store with versions and conditional writes."""

    async def get(self, path: str) -> Stored | None:
        """Returns the value at a path, or None if there is none."""

    async def put(self, path: str, data: bytes, expected: int) -> int:
        """Writes a value if the stored version is the expected one.

        Args:
            path: Path of the value.
            data: The value, at most ``MAX_VALUE_BYTES``.
            expected: Version to replace; 0 if no value may exist.

        Returns:
            The new version.

        Raises:
            errors.CodedError: ``store.conflict`` if the stored version differs,
                ``store.unavailable`` if nothing was written,
                ``store.outcome_unknown`` if the value may have been written.
        """

    async def watch(
        self, path: str, version: int, timeout_s: float
    ) -> Stored | None:
        """Waits for a version above the given one; None on timeout."""

    async def list(self, prefix: str) -> list[str]:
        """Returns the paths that start with a prefix."""

    async def delete(self, path: str, expected: int) -> None:
        """Deletes a value if the stored version is the expected one."""


def _response_error(
    response: httpx.Response, path: str, is_write: bool = False
) -> errors.CodedError:
    """Returns the error for a response with an unexpected status.

    Status 503 means that nothing was written. After any other server error a
    write may have succeeded.
    """
    status = response.status_code
    code = errorcodes.STORE_PROTOCOL
    if status >= httpx.codes.INTERNAL_SERVER_ERROR:
        code = errorcodes.STORE_UNAVAILABLE
        if is_write and status != httpx.codes.SERVICE_UNAVAILABLE:
            code = errorcodes.STORE_OUTCOME_UNKNOWN
    return errors.CodedError(code, f"the store answered {status}", path)


class HttpStore:
    """HTTP client of the object store."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Creates the store; the client holds the base URL and timeout."""
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
            # is reset during its set-up. In all other cases the request may
            # have been sent, so a write may have succeeded.
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
        return self._parse_stored(path, response)

    def _parse_stored(
        self, path: str, response: httpx.Response, is_write: bool = False
    ) -> Stored:
        if response.status_code != httpx.codes.OK:
            raise _response_error(response, path, is_write)
        with contextlib.suppress(KeyError, ValueError):
            version = int(response.headers["etag"].strip('"'))
            return Stored(path, version, response.content)
        text = "the response has no valid ETag"
        raise errors.CodedError(errorcodes.STORE_PROTOCOL, text, path)

    async def put(self, path: str, data: bytes, expected: int) -> int:
        """See ``Store.put``."""
        if len(data) > MAX_VALUE_BYTES:
            text = (
                f"the value has {len(data)} bytes, more than {MAX_VALUE_BYTES}"
            )
            raise errors.CodedError(errorcodes.STORE_TOO_LARGE, text, path)
        response = await self._send(
            "PUT", path, data, _version_condition(expected)
        )
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            text = f"the stored version is not {expected}"
            raise errors.CodedError(errorcodes.STORE_CONFLICT, text, path)
        return self._parse_stored(path, response, True).version

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
        return self._parse_stored(path, response)

    async def list(self, prefix: str) -> list[str]:
        """See ``Store.list``."""
        response = await self._send("GET", "", query={"prefix": prefix})
        if response.status_code != httpx.codes.OK:
            raise _response_error(response, prefix)
        return response.json()["paths"]

    async def delete(self, path: str, expected: int) -> None:
        """See ``Store.delete``."""
        response = await self._send(
            "DELETE", path, headers=_version_condition(expected)
        )
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            text = f"the stored version is not {expected}"
            raise errors.CodedError(errorcodes.STORE_CONFLICT, text, path)
        if response.status_code != httpx.codes.OK:
            raise _response_error(response, path, True)


def _version_condition(expected: int) -> dict[str, str]:
    if expected == 0:
        return {"if-none-match": "*"}
    return {"if-match": f'"{expected}"'}


def open_client(url: str, timeout_s: float) -> httpx.AsyncClient:
    """Opens an HTTP client for the object store; the caller closes it."""
    return httpx.AsyncClient(base_url=url, timeout=timeout_s)
