"""Runs calls with an idempotency key, called keyed calls, at most once.

An issued key names one daemon, its owner. Every other daemon forwards a call
with the key to the owner, which alone decides from its record of keys whether
the call runs. A plain key, chosen by the caller, is bound to an issued key by
a claim in the platform's store.
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

# Bytes of the body in the fingerprint. The first message of a call carries at
# least this much of a longer body.
FINGERPRINT_BODY_BYTES = util.SMALL_BODY_BYTES // 2
# Share of its remaining time that a repeat waits for the end of the first call.
REPEAT_WAIT_SHARE = 0.9
# Attempts to send a call to the owner of its key, if connections are lost.
SEND_ATTEMPTS = 2
# Members that are tried as the owner of a new key.
ISSUE_ATTEMPTS = 3
# Daemons of another zone that are tried as relays.
MAX_RELAYS = 2

_ENDED_STATES = (messages.MemberState.DEAD, messages.MemberState.LEFT)


def fingerprint(opened: messages.CallOpen) -> str:
    """Returns a digest that tells a repeated request from a different one.

    It covers the method, the target, the content length and the start of the
    body.
    """
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


def _key_gone(key: keys.IssuedKey, reason: str) -> exchange.CallFailed:
    text = f"{key.instance} of the idempotency key {reason}"
    return exchange.unknown(text, errorcodes.KEY_GONE)


class Keyed:
    """Runs the keyed calls that this daemon owns and forwards all others."""

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: connection_pool.Links,
        router: router_module.Router,
        claims: claims_module.KeyClaims,
        run: exchange.Handler,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the handler.

        Args:
            settings: Settings of the daemon.
            table: Members that the daemon knows.
            links: Connections to other daemons.
            router: Chooses the owner of a new key.
            claims: Claims of plain keys in the platform's store.
            run: Runs a call on the upstream beside the daemon.
            tasks: Task group of the keyed calls, which run to their end even
                if their callers disconnect.
        """
        self._members = table
        self._links = links
        self._router = router
        self._claims = claims
        self._run_on_upstream = run
        self._tasks = tasks
        self._key_records = key_records.KeyRecords(settings.calls.key_records)
        self._running_calls: dict[str, detached_call.DetachedCall] = {}

    async def issue(self, target: routes.Target) -> keys.IssuedKey:
        """Issues a key whose owner is beside one of the target's upstreams.

        Calls with the key can run at the owner only, so the key is issued only
        if a connection to the owner can be opened.

        Raises:
            exchange.CallFailed: No upstream can be reached.
        """
        reason = ""
        for _ in range(ISSUE_ATTEMPTS):
            member = self._router.choose_member(target)
            try:
                if member.instance != self._members.own.instance:
                    await self._links.shared(
                        member.mesh, connection_pool.SMALL_BODIES
                    )
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
        """Sends a caller's keyed call to the owner of the key.

        Raises:
            exchange.CallFailed: The key is not valid for the service, its
                owner has ended, or no complete response arrived.
        """
        key = await self._issued_key(request, target)
        if not keys.is_for(key, request.open.service):
            text = f"the key is not one for {request.open.service}"
            raise exchange.not_run(errorcodes.KEY_WRONG_SERVICE, text)
        opened = request.open._replace(key=keys.format_key(key))
        await self._send_to_owner(key, request._replace(open=opened), respond)

    async def _issued_key(
        self, request: exchange.Request, target: routes.Target
    ) -> keys.IssuedKey:
        """Returns the issued key of a call; claims one for a plain key.

        Raises:
            exchange.CallFailed: The key is malformed or cannot be claimed.
        """
        text = request.open.key
        if keys.is_issued(text):
            return _parse(text)
        try:
            keys.check_plain(text)
        except errors.CodedError as error:
            raise exchange.not_run(error.code, error.message) from error
        name = claims_module.claim_name(request.open.tenant, text)
        issued = keys.format_key(await self.issue(target))
        limit_s = request.deadline - anyio.current_time()
        return _parse(await self._claims.claim(name, issued, limit_s))

    async def _send_to_owner(
        self,
        key: keys.IssuedKey,
        request: exchange.Request,
        respond: exchange.Respond,
    ) -> None:
        """Runs a call here or forwards it to the owner of its key.

        If the owner is in another zone and is not a known member, the call
        goes through relays in that zone.

        Raises:
            exchange.CallFailed: The owner of the key has ended, or no complete
                response arrived.
        """
        own = self._members.own
        if (key.zone, key.instance) == (own.zone, own.instance):
            await self.run_here(request, respond)
            return
        member = self._members.members.get(key.instance)
        if member is not None and member.zone == key.zone:
            if (
                member.incarnation > key.incarnation
                or member.state in _ENDED_STATES
            ):
                raise _key_gone(key, "has ended")
            opened = request.open._replace(claimed=True)
            request = request._replace(open=opened)
            await self._send_with_retry(key, [member.mesh], request, respond)
        elif key.zone == own.zone:
            raise _key_gone(key, "is not known")
        else:
            relays = self._relays(key.zone)
            await self._send_with_retry(key, relays, request, respond)

    def _relays(self, zone: str) -> list[str]:
        """Returns addresses of a zone's gateways, which know its members."""
        summary = self._members.summaries.summaries.get(zone)
        return list(summary.gateways)[:MAX_RELAYS] if summary else []

    async def _send_with_retry(
        self,
        key: keys.IssuedKey,
        addresses: list[str],
        request: exchange.Request,
        respond: exchange.Respond,
    ) -> None:
        """Sends a call, and sends it again if the connection is lost.

        Sending twice is safe: the owner recognises the repeat by its key.

        Raises:
            exchange.CallFailed: No complete response arrived.
        """
        may_have_arrived = answered = False

        async def respond_once(response: exchange.Response) -> None:
            nonlocal answered
            answered = True
            await respond(response)

        failure = _key_gone(key, "cannot be reached")
        for address in (addresses * SEND_ATTEMPTS)[
            : max(SEND_ATTEMPTS, len(addresses))
        ]:
            try:
                await forward.forward(
                    self._links, address, request, respond_once
                )
                return
            except forward.ConnectionLost as error:
                may_have_arrived = may_have_arrived or error.sent
                failure = error
                if answered or not request.open.last:
                    break
            except exchange.CallFailed as error:
                failure = error
                break
        not_run = failure.outcome == messages.Outcome.NOT_RUN
        if may_have_arrived and (
            not_run or isinstance(failure, forward.ConnectionLost)
        ):
            # An earlier attempt may still run, even if a later one was refused
            # or could not be sent.
            raise _key_gone(key, f"was lost: {failure.message}") from failure
        raise failure

    async def run_here(
        self, request: exchange.Request, respond: exchange.Respond
    ) -> None:
        """Runs a call on the upstream beside the daemon.

        A keyed call runs only if this process is the owner of its key. For an
        owner in the same zone, the daemon acts as a relay and forwards it.

        Raises:
            exchange.CallFailed: The owner of the key has ended, or no complete
                response arrived.
        """
        opened = request.open
        if not opened.key or opened.idempotent:
            await self._run_on_upstream(request, respond)
            return
        key = _parse(opened.key)
        own = self._members.own
        if (key.zone, key.instance) != (own.zone, own.instance):
            if opened.claimed or key.zone != own.zone:
                raise _key_gone(key, f"has been replaced by {own.instance}")
            await self._send_to_owner(key, request, respond)
        elif key.incarnation != own.incarnation:
            raise _key_gone(key, "has started again since")
        else:
            await self._run_once(key, request, respond)

    async def _run_once(
        self,
        key: keys.IssuedKey,
        request: exchange.Request,
        respond: exchange.Respond,
    ) -> None:
        """Runs a call if its key is new; otherwise answers from the record.

        A repeat waits for the first call with the key if that still runs.
        """
        text = request.open.key
        verdict = self._key_records.begin(key, fingerprint(request.open))
        if verdict is key_records.Verdict.RUNNING:
            remaining_s = request.deadline - anyio.current_time()
            with anyio.move_on_after(remaining_s * REPEAT_WAIT_SHARE):
                if text in self._running_calls:
                    await self._running_calls[text].wait_end()
            verdict = self._key_records.begin(key, fingerprint(request.open))
        if verdict is key_records.Verdict.RUN:
            call = self._running_calls[text] = detached_call.DetachedCall()
            self._tasks.start_soon(self._run_to_end, key, call, request)
            await call.relay(respond)
        elif verdict is key_records.Verdict.REPLAY:
            await _replay(self._key_records.answer(key), request, respond)
        else:
            raise _verdict_failure(verdict)

    async def _run_to_end(
        self,
        key: keys.IssuedKey,
        call: detached_call.DetachedCall,
        request: exchange.Request,
    ) -> None:
        """Runs a call, records its outcome, and wakes caller and repeats."""
        try:
            await self._run_on_upstream(request, call.receive)
            self._key_records.finish(key, call.stored_answer, call.answer_bytes)
        except errors.CodedError as error:
            failure = error
            if not isinstance(error, exchange.CallFailed):
                failure = exchange.unknown(str(error))
            self._record_failure(key, call, failure)
        except Exception as error:
            # An exception that leaves this task would cancel the daemon's
            # other tasks.
            loguru.logger.exception(
                "call {} raised an exception", request.open.call_id
            )
            self._record_failure(key, call, exchange.unknown(repr(error)))
        finally:
            self._running_calls.pop(request.open.key, None)
            call.end()

    def _record_failure(
        self,
        key: keys.IssuedKey,
        call: detached_call.DetachedCall,
        failure: exchange.CallFailed,
    ) -> None:
        """Records a failed call; one that did not run may be repeated."""
        call.fail(failure)
        if failure.outcome == messages.Outcome.NOT_RUN:
            self._key_records.forget(key)
        else:
            self._key_records.finish(key, failure, len(failure.message))


async def _replay(
    stored: messages.AnswerOpen | exchange.CallFailed,
    request: exchange.Request,
    respond: exchange.Respond,
) -> None:
    """Responds to a repeat with the stored answer or failure.

    Raises:
        exchange.CallFailed: The stored failure.
    """
    if isinstance(stored, exchange.CallFailed):
        raise exchange.unknown(stored.message, stored.code)
    opened = request.open
    head = stored._replace(call_id=opened.call_id, allowance=opened.allowance)
    await respond(exchange.Response(head, None))


def _verdict_failure(verdict: key_records.Verdict) -> exchange.CallFailed:
    if verdict is key_records.Verdict.REUSED:
        return exchange.not_run(errorcodes.KEY_REUSED, verdict.value)
    code = {
        key_records.Verdict.RUNNING: errorcodes.KEY_RUNNING,
        key_records.Verdict.DONE: errorcodes.KEY_DONE,
        key_records.Verdict.EXPIRED: errorcodes.KEY_EXPIRED,
    }[verdict]
    return exchange.unknown(verdict.value, code)
