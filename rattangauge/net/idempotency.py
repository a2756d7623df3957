"""Runs calls with an idempotency key at most once.

Every daemon passes a keyed call to the one daemon that its key names. Only
that daemon decides whether the call runs, from its record of keys.
"""

import hashlib
import uuid

import anyio
import anyio.abc
import loguru

from rattangauge import errors
from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.calls import exchange
from rattangauge.calls import key_records
from rattangauge.calls import keys
from rattangauge.config import routes
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.net import claims as claims_module
from rattangauge.net import connection_pool
from rattangauge.net import detached_call
from rattangauge.net import forward
from rattangauge.net import router as router_module

# The first message of a call holds at least this much of a longer body.
FINGERPRINT_BODY_BYTES = util.SMALL_BODY_BYTES // 2
# Share of its remaining time that a repeat waits for the first call.
WAIT_SHARE = 0.9
ATTEMPTS = 2
# Members that are tried for a new key.
CHOICES = 3
RELAYS = 2

_GONE = (messages.MemberState.DEAD, messages.MemberState.LEFT)


def fingerprint(opened: messages.CallOpen) -> str:
    """Returns a digest by which a repeat of a request is recognised."""
    length = b""
    for header in opened.headers:
        if header.name == b"content-length":
            length = header.value
    digest = hashlib.blake2b(digest_size=16)
    for part in (opened.method.encode(), opened.target.encode(), length):
        digest.update(b"%d:" % len(part) + part)
    digest.update(opened.body[:FINGERPRINT_BODY_BYTES])
    return digest.hexdigest()


def _parse(text: str) -> keys.IssuedKey:
    try:
        return keys.parse(text)
    except errors.CodedError as error:
        raise exchange.not_run(error.code, error.message) from error


def _gone(key: keys.IssuedKey, reason: str) -> exchange.CallFailed:
    text = f"{key.instance} of the idempotency key {reason}"
    return exchange.unknown(text, errorcodes.KEY_GONE)


class Keyed:
    """Keyed calls of one daemon, as the first daemon and as the last one."""

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: connection_pool.Links,
        router: router_module.Router,
        claims: claims_module.Claims,
        run: exchange.Handler,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the handler.

        Args:
            settings: Settings of the daemon.
            table: Members that the daemon knows.
            links: Connections to other daemons.
            router: Chooses the member that runs a new key.
            claims: Claims of plain keys.
            run: Runs a call on the upstream beside the daemon.
            tasks: Where keyed calls run to their end.
        """
        self._members = table
        self._links = links
        self._router = router
        self._claims = claims
        self._run = run
        self._tasks = tasks
        self._outcomes = key_records.Outcomes(settings.calls.key_records)
        self._running: dict[str, detached_call.DetachedCall] = {}

    async def issue(self, target: routes.Target) -> keys.IssuedKey:
        """Issues a key for one of the target's upstreams.

        A key binds all its calls to one daemon, so a connection to that
        daemon is opened first.

        Raises:
            exchange.CallFailed: No upstream can be reached.
        """
        reason = ""
        for _ in range(CHOICES):
            member = self._router.choose_member(target)
            try:
                if member.instance != self._members.own.instance:
                    await self._links.shared(member.mesh, connection_pool.CALLS)
            except errors.CodedError as error:
                reason = str(error)
                continue
            nonce = uuid.uuid4().hex
            service = target.service.name
            return keys.issue(member, service, util.now_ms(), nonce)
        raise exchange.not_run(errorcodes.CALL_NO_UPSTREAM, reason, 1000)

    async def route(
        self,
        request: exchange.Request,
        target: routes.Target,
        respond: exchange.Respond,
    ) -> None:
        """Passes a caller's keyed call to the daemon that runs it.

        Raises:
            exchange.CallFailed: There is no whole answer.
        """
        key = await self._issued_key(request, target)
        if not keys.is_for(key, request.open.service):
            text = f"the key is not one for {request.open.service}"
            raise exchange.not_run(errorcodes.KEY_WRONG_SERVICE, text)
        opened = request.open._replace(key=keys.format_key(key))
        await self._deliver(key, request._replace(open=opened), respond)

    async def _issued_key(
        self, request: exchange.Request, target: routes.Target
    ) -> keys.IssuedKey:
        text = request.open.key
        if keys.is_issued(text):
            return _parse(text)
        try:
            keys.check_plain(text)
        except errors.CodedError as error:
            raise exchange.not_run(error.code, error.message) from error
        name = claims_module.identity(request.open.tenant, text)
        issued = keys.format_key(await self.issue(target))
        limit_s = request.deadline - anyio.current_time()
        return _parse(await self._claims.claim(name, issued, limit_s))

    async def _deliver(
        self,
        key: keys.IssuedKey,
        request: exchange.Request,
        respond: exchange.Respond,
    ) -> None:
        own = self._members.own
        if (key.zone, key.instance) == (own.zone, own.instance):
            await self.run_here(request, respond)
            return
        member = self._members.members.get(key.instance)
        if member is not None and member.zone == key.zone:
            if member.incarnation > key.incarnation or member.state in _GONE:
                raise _gone(key, "has ended")
            opened = request.open._replace(claimed=True)
            request = request._replace(open=opened)
            await self._send(key, [member.mesh], request, respond)
        elif key.zone == own.zone:
            raise _gone(key, "is not known")
        else:
            relays = self._relays(key.zone)
            await self._send(key, relays, request, respond)

    def _relays(self, zone: str) -> list[str]:
        """Returns daemons of a zone that may know all of its members."""
        summary = self._members.summaries.summaries.get(zone)
        return list(summary.gateways)[:RELAYS] if summary else []

    async def _send(
        self,
        key: keys.IssuedKey,
        addresses: list[str],
        request: exchange.Request,
        respond: exchange.Respond,
    ) -> None:
        """Sends a call, again if the connection was lost.

        The daemon that runs the call recognises the repeat by its key.
        """
        delivered = answered = False

        async def respond_once(response: exchange.Response) -> None:
            nonlocal answered
            answered = True
            await respond(response)

        failure = _gone(key, "cannot be reached")
        for address in (addresses * ATTEMPTS)[: max(ATTEMPTS, len(addresses))]:
            try:
                await forward.forward(
                    self._links, address, request, respond_once
                )
                return
            except forward.LinkLost as error:
                delivered = delivered or error.sent
                failure = error
                if answered or not request.open.last:
                    break
            except exchange.CallFailed as error:
                failure = error
                break
        not_run = failure.outcome == messages.Outcome.NOT_RUN
        if delivered and (not_run or isinstance(failure, forward.LinkLost)):
            # The first attempt may still run, whatever became of the second.
            raise _gone(key, f"was lost: {failure.message}") from failure
        raise failure

    async def run_here(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Runs a call on the upstream beside the daemon.

        Raises:
            exchange.CallFailed: There is no whole answer.
        """
        opened = request.open
        if not opened.key or opened.idempotent:
            await self._run(request, respond)
            return
        key = _parse(opened.key)
        own = self._members.own
        if (key.zone, key.instance) != (own.zone, own.instance):
            if opened.claimed or key.zone != own.zone:
                raise _gone(key, f"has been replaced by {own.instance}")
            await self._deliver(key, request, respond)
        elif key.incarnation != own.incarnation:
            raise _gone(key, "has started again since")
        else:
            await self._run_once(key, request, respond)

    async def _run_once(
        self,
        key: keys.IssuedKey,
        request: exchange.Request,
        respond: exchange.Respond,
    ) -> None:
        text = request.open.key
        verdict = self._outcomes.begin(key, fingerprint(request.open))
        if verdict is key_records.Verdict.RUNNING:
            remaining = request.deadline - anyio.current_time()
            with anyio.move_on_after(remaining * WAIT_SHARE):
                if text in self._running:
                    await self._running[text].wait_end()
            verdict = self._outcomes.begin(key, fingerprint(request.open))
        if verdict is key_records.Verdict.RUN:
            call = self._running[text] = detached_call.DetachedCall()
            self._tasks.start_soon(self._run_to_end, key, call, request)
            await call.pass_on(respond)
        elif verdict is key_records.Verdict.REPLAY:
            await _replay(self._outcomes.answer(key), request, respond)
        else:
            raise _refusal(verdict)

    async def _run_to_end(
        self,
        key: keys.IssuedKey,
        call: detached_call.DetachedCall,
        request: exchange.Request,
    ) -> None:
        try:
            await self._run(request, call.take)
            self._outcomes.finish(key, call.kept, call.kept_size)
        except errors.CodedError as error:
            failure = error
            if not isinstance(error, exchange.CallFailed):
                failure = exchange.unknown(str(error))
            self._record_failure(key, call, failure)
        except Exception as error:  # one call must not end the daemon
            loguru.logger.exception("call {} failed", request.open.call_id)
            self._record_failure(key, call, exchange.unknown(repr(error)))
        finally:
            self._running.pop(request.open.key, None)
            call.end()

    def _record_failure(
        self,
        key: keys.IssuedKey,
        call: detached_call.DetachedCall,
        failure: exchange.CallFailed,
    ) -> None:
        call.fail(failure)
        if failure.outcome == messages.Outcome.NOT_RUN:
            self._outcomes.forget(key)
        else:
            self._outcomes.finish(key, failure, len(failure.message))


async def _replay(
    answer: messages.AnswerOpen | exchange.CallFailed,
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    if isinstance(answer, exchange.CallFailed):
        raise exchange.unknown(answer.message, answer.code)
    opened = request.open
    head = answer._replace(call_id=opened.call_id, allowance=opened.allowance)
    await respond(exchange.Response(head, None))


def _refusal(verdict: key_records.Verdict) -> exchange.CallFailed:
    if verdict is key_records.Verdict.REUSED:
        return exchange.not_run(errorcodes.KEY_REUSED, verdict.value)
    code = {
        key_records.Verdict.RUNNING: errorcodes.KEY_RUNNING,
        key_records.Verdict.DONE: errorcodes.KEY_DONE,
        key_records.Verdict.EXPIRED: errorcodes.KEY_EXPIRED,
    }[verdict]
    return exchange.unknown(verdict.value, code)
