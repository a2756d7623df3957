"""A naive proxy: it watches the store itself and reads every edition whole.

Started as ``python -m benchmarks.naive_proxy URL``. It prints a line
``VERSION TIME_MS`` for each edition that it takes.
"""

import sys

import anyio

from rattangauge import errors
from rattangauge import util
from rattangauge.config import edition as edition_module
from rattangauge.config import head as head_module
from rattangauge.net import object_store

RETRY_S = 0.5
WATCH_S = 20.0


async def _read(store: object_store.Store, head: head_module.Head) -> None:
    pieces = []
    for digest in head.parts:
        stored = await store.get(head_module.part_path(digest))
        pieces.append(stored.data if stored else b"")
    edition_module.decode(head.version, head.digest, b"".join(pieces))
    print(head.version, util.now_ms(), flush=True)


async def follow(url: str) -> None:
    """Follows the head until the process ends."""
    seen = 0
    async with object_store.open_client(url, 2.0) as client:
        store = object_store.HttpStore(client)
        while True:
            try:
                stored = await store.watch(head_module.PATH, seen, WATCH_S)
                if stored is not None:
                    await _read(store, head_module.parse(stored.data))
                    seen = stored.version
            except (errors.CodedError, errors.FindingsError):
                await anyio.sleep(RETRY_S)


if __name__ == "__main__":
    anyio.run(follow, sys.argv[1], backend_options={"use_uvloop": True})
