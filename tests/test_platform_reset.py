"""The store adapter against a platform that resets connections."""

import collections
import socket
import struct
import threading

import pytest

from rattangauge import errors
from rattangauge.net import object_store

pytestmark = pytest.mark.anyio

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def reset_all(listener):
    """Resets each connection as soon as it is accepted."""
    while True:
        try:
            accepted, _ = listener.accept()
        except OSError:
            return
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        accepted.close()


async def test_connections_reset_at_once_are_store_errors():
    """Guards against a daemon that ends when its zone is cut off.

    With uvloop, a connection that is reset while it is set up makes the HTTP
    library raise AttributeError, which nothing expected.
    """
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(100)
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        server = threading.Thread(
            target=reset_all, args=(listener,), daemon=True
        )
        server.start()
        seen = collections.Counter()
        async with object_store.open_client(url, 5.0) as client:
            store = object_store.HttpStore(client)
            for _ in range(400):
                with pytest.raises(errors.CodedError) as caught:
                    await store.get("head")
                seen[caught.value.code] += 1
        assert set(seen) == {"store.unavailable"}
        listener.shutdown(socket.SHUT_RDWR)
        server.join(timeout=10)
