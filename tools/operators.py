"""Operators of the chaos run: they publish, race and force a bad edition."""

import contextlib

import anyio

from rattangauge import errors
from rattangauge import publisher
from rattangauge import util
from rattangauge.config import edition as edition_module
from rattangauge.config import head as head_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import objects as generated
from rattangauge.net import object_store
from tools import fleet as fleet_module
from tools import invariants

STORE_TIMEOUT_S = 3.0
# An operator gives up after this time; the publish may have taken effect.
PUBLISH_S = 4.0


class Operators:
    """Operators who publish, and what the store accepted.

    Attributes:
        accepted: Publishes whose operator was told of the success.
        forced: Version and digest of each bad edition in the store.
    """

    def __init__(
        self, fleet: fleet_module.Fleet, objects: objects_module.ObjectSet
    ) -> None:
        """Creates operators who vary one set of objects."""
        self._fleet = fleet
        self._objects = objects
        self._numbers = 0
        self.accepted: list[invariants.SeenPublish] = []
        self.forced: set[tuple[int, str]] = set()

    async def head(self) -> head_module.Head | None:
        """Returns the store's head.

        Raises:
            errors.CodedError: The store does not answer.
        """
        url = self._fleet.platform_url
        async with object_store.open_client(url, STORE_TIMEOUT_S) as client:
            stored = await object_store.HttpStore(client).get(head_module.PATH)
        return head_module.parse(stored.data) if stored else None

    def published(self, head: head_module.Head | None) -> dict[int, str]:
        """Returns the digest of each version that was published whole."""
        entries = head.log if head else ()
        pairs = [(entry.version, entry.digest) for entry in entries]
        return dict(pair for pair in pairs if pair not in self.forced)

    def _policy(self, name: str = "") -> objects_module.ObjectSet:
        """Returns a set with one policy that differs from all before."""
        self._numbers += 1
        name = name or f"publish-{self._numbers}"
        policy = generated.Policy(name, timeout_ms=self._numbers)
        return {**objects_module.empty_set(), "policy": {name: policy}}

    async def publish_all(self) -> bool:
        """Publishes the whole set; tells whether it succeeded."""
        return await self._apply(self._objects)

    async def publish(self, name: str = "") -> bool:
        """Publishes one policy; tells whether it succeeded.

        Args:
            name: Name of the policy; a new one if empty.
        """
        return await self._apply(self._policy(name))

    async def _apply(
        self,
        objects: objects_module.ObjectSet,
        from_version: int | None = None,
    ) -> bool:
        """Publishes; a refusal or an outage of the store is no fault here."""
        request = publisher.Request(
            objects,
            "chaos",
            publisher.new_operation_id(),
            from_version=from_version,
        )
        url = self._fleet.platform_url
        with contextlib.suppress(errors.CodedError):
            with anyio.move_on_after(PUBLISH_S):
                async with object_store.open_client(
                    url, STORE_TIMEOUT_S
                ) as client:
                    store = object_store.HttpStore(client)
                    result = await publisher.apply(store, request)
                seen = invariants.SeenPublish(
                    anyio.current_time(), result.version, result.digest
                )
                self.accepted.append(seen)
                return True
        return False

    async def race(self) -> None:
        """Lets operators change the same and other objects at once."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.publish, "raced")
            tasks.start_soon(self.publish, "raced")
            tasks.start_soon(self.publish)

    async def force_bad(self) -> None:
        """Writes an edition whose route has no service over the head."""
        objects = {**self._objects, "service": {}}
        data = edition_module.encode(objects)
        digest = edition_module.digest_of(data)
        url = self._fleet.platform_url
        with contextlib.suppress(errors.CodedError):
            async with object_store.open_client(url, STORE_TIMEOUT_S) as client:
                store = object_store.HttpStore(client)
                stored = await store.get(head_module.PATH)
                if stored is None:
                    return
                old = head_module.parse(stored.data)
                if await store.get(head_module.part_path(digest)) is None:
                    await store.put(head_module.part_path(digest), data, 0)
                entry = head_module.Entry(
                    old.version + 1, digest, "bad", "chaos", util.now_ms(), ()
                )
                head = head_module.append(old, entry, (digest,))
                # The write may take effect though its reply is lost.
                self.forced.add((head.version, digest))
                await store.put(
                    head_module.PATH,
                    head_module.format_head(head),
                    stored.version,
                )

    async def repair(self) -> None:
        """Publishes the last good content again if the head is bad."""
        with contextlib.suppress(errors.CodedError):
            head = await self.head()
            if head and (head.version, head.digest) in self.forced:
                good = max(self.published(head))
                await self._apply(objects_module.empty_set(), good)

    async def heal(self, limit_s: float) -> None:
        """Publishes until a publish succeeds, for a limited time."""
        with anyio.move_on_after(limit_s):
            await self.repair()
            while not await self.publish():
                await anyio.sleep(0.5)
                await self.repair()
