"""Takes calls from callers to a daemon whose upstream can serve them."""

from collections.abc import Awaitable
from collections.abc import Callable
import random

from rattangauge.calls import exchange
from rattangauge.config import edition as edition_module
from rattangauge.config import routes
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.net import forward
from rattangauge.net import links as links_module
from rattangauge.net import worker as worker_module

# Bodies above this size make a call a long one where the route does not say.
LONG_BODY_BYTES = 1_000_000

# Runs a keyed call that is not idempotent.
KeyedHandler = Callable[
    [exchange.Request, routes.Target, exchange.Respond], Awaitable[None]
]


class Router:
    """Routes calls by the edition in force."""

    def __init__(
        self,
        links: links_module.Links,
        table: members.MemberTable,
        worker: worker_module.Worker,
    ) -> None:
        """Creates a router without an edition."""
        self._links = links
        self._members = table
        self._worker = worker
        self._routes: routes.RouteTable | None = None
        self._keyed: KeyedHandler | None = None

    @property
    def version(self) -> int:
        """Version of the edition in force; 0 if there is none."""
        return self._routes.version if self._routes else 0

    def use(self, edition: edition_module.Edition) -> None:
        """Puts an edition in force for the calls that come from now on."""
        self._routes = routes.compile_routes(edition)

    def use_keys(self, keyed: KeyedHandler) -> None:
        """Sets the handler of keyed calls that are not idempotent."""
        self._keyed = keyed

    def match(self, method: str, path: str) -> routes.Target:
        """Returns the target of a request.

        Raises:
            exchange.CallFailed: There is none.
        """
        if self._routes is None:
            text = "the daemon has no complete configuration yet"
            raise exchange.not_run(errorcodes.CALL_NOT_READY, text, 1000)
        target = routes.match(self._routes, method, path)
        if target is None:
            text = f"no route matches {method} {path}"
            raise exchange.not_run(errorcodes.CALL_NO_ROUTE, text)
        return target

    def call_class(
        self, target: routes.Target, headers: dict[bytes, bytes]
    ) -> messages.CallClass:
        """Returns the class of a call."""
        if target.route.call_class == "long":
            return messages.CallClass.LONG
        if target.route.call_class == "short":
            return messages.CallClass.SHORT
        length = headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) >= LONG_BODY_BYTES:
            return messages.CallClass.LONG
        return messages.CallClass.SHORT

    async def run(
        self,
        request: exchange.Request,
        target: routes.Target,
        respond: exchange.Respond,
    ) -> None:
        """Runs a call on one of the target's upstreams.

        Raises:
            exchange.CallFailed: There is no whole answer.
        """
        opened = request.open
        if opened.key and not opened.idempotent and self._keyed is not None:
            await self._keyed(request, target, respond)
            return
        member = self.choose_member(target)
        if member.instance == self._members.own.instance:
            await self._worker.run(request, respond)
        else:
            await forward.forward(self._links, member.mesh, request, respond)

    def choose_member(self, target: routes.Target) -> messages.Member:
        """Returns the member that runs the next call of a target.

        Raises:
            exchange.CallFailed: No upstream is known.
        """
        for pool in target.pools:
            candidates = [
                member
                for member in self._members.serving(pool.announces)
                if not pool.zones or member.zone in pool.zones
            ]
            if candidates:
                return random.choice(candidates)
            remote = [
                worker
                for worker in self._members.remote(pool.announces)
                if not pool.zones or worker.zone in pool.zones
            ]
            if remote:
                return messages.Member(mesh=random.choice(remote).mesh)
        text = f"no upstream of {target.service.name} is known"
        raise exchange.not_run(errorcodes.CALL_NO_UPSTREAM, text, 1000)
