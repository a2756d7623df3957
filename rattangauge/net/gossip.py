"""Membership traffic within a zone: probes that carry member records."""

import random as random_module

import anyio
import anyio.abc

from rattangauge import errors
from rattangauge import events as events_module
from rattangauge import log
from rattangauge import settings as settings_module
from rattangauge.generated import messages
from rattangauge.membership import members
from rattangauge.membership import probing
from rattangauge.net import config_distribution
from rattangauge.net import connection_pool
from rattangauge.net import local_upstream

REFRESH_S = 0.2
# Members told at once of a change that matters to calls.
PUSH_TARGETS = 4
# Dead members are kept this long, so that late records do not revive them.
DEAD_KEPT_S = 60.0
# Time for the members to answer the announcement of a leaving daemon.
LEAVE_TIMEOUT_S = 0.5

_GONE = (messages.MemberState.DEAD, messages.MemberState.LEFT)


class Gossip:
    """Membership traffic of a daemon with its zone."""

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: connection_pool.Links,
        worker: local_upstream.Worker,
        spread: config_distribution.Spread,
        events: events_module.Events,
    ) -> None:
        """Creates the traffic; ``run`` starts it."""
        self._settings = settings
        self._members = table
        self._links = links
        self._worker = worker
        self._spread = spread
        self._events = events
        self._random = random_module.Random()
        self._queue = probing.UpdateQueue()
        self._order = probing.ProbeOrder()
        self._suspects = probing.Timers()
        self._gone = probing.Timers()
        self._urgent = anyio.Event()
        self._reported = anyio.Event()
        self._changed = anyio.Event()
        self._told: list[str] = []
        self._draining = False
        self._stalled = False

    async def run(self) -> None:
        """Probes and pushes until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._refresh_all)
            tasks.start_soon(self._push_all, tasks)
            tasks.start_soon(self._report_all, tasks)
            await self._probe_all(tasks)

    async def wait_changed(self) -> None:
        """Waits until a record changed in more than its version."""
        await self._changed.wait()

    def refresh_own(self) -> None:
        """Brings the daemon's own record up to date."""
        own = self._members.own
        if own.state in _GONE:
            return
        announcement = self._worker.announcement
        rejected_version, rejected_code = self._spread.rejected
        fresh = own._replace(
            service=announcement.service if announcement else "",
            slots=announcement.slots if announcement else 0,
            upstream=self._upstream_state(),
            version=self._spread.holder.version,
            rejected_version=rejected_version,
            rejected_code=rejected_code,
        )
        if fresh == own:
            return
        change = self._members.set_own(fresh)
        self._note([change])
        self._reported.set()

    def _upstream_state(self) -> messages.UpstreamState:
        state = self._worker.state
        if self._draining and state is not messages.UpstreamState.ABSENT:
            return messages.UpstreamState.DRAINING
        return state

    def drain(self) -> None:
        """Tells the zone that the upstream takes no new work."""
        self._draining = True
        self.refresh_own()

    async def leave(self) -> None:
        """Tells the zone that the daemon leaves."""
        own = self._members.own
        left = own._replace(state=messages.MemberState.LEFT)
        self._note([self._members.set_own(left)])
        targets = self._push_targets()
        with anyio.move_on_after(LEAVE_TIMEOUT_S, shield=True):
            async with anyio.create_task_group() as tasks:
                for member in targets:
                    tasks.start_soon(self._ping, member.mesh, member.instance)

    def merge(self, records: tuple[messages.Member, ...]) -> None:
        """Takes records that another daemon sent and passes them on."""
        now = anyio.current_time()
        self._note(self._members.merge(records, now))

    def _note(self, changes: list[members.Change]) -> None:
        now = anyio.current_time()
        for change in changes:
            # Versions spread with probes and reports, without the record.
            if not change.is_minor:
                self._queue.add(change.new)
            self._set_timers(change.new, now)
            self._record(change)
            if change.is_urgent:
                self._urgent.set()
            if not change.is_minor:
                self._changed.set()
                self._changed = anyio.Event()

    def _set_timers(self, member: messages.Member, now: float) -> None:
        if member.state is messages.MemberState.SUSPECT:
            self._suspects.start(member.instance, now)
        else:
            self._suspects.clear(member.instance)
        if member.state in _GONE:
            self._gone.start(member.instance, now)
        else:
            self._gone.clear(member.instance)

    def _record(self, change: members.Change) -> None:
        old, new = change
        if old is not None and old.state is new.state:
            if old.upstream is new.upstream:
                return
            action = f"upstream {new.upstream.name.lower()}"
        else:
            action = new.state.name.lower()
        before = old.state.name.lower() if old else "unknown"
        reason = f"incarnation {new.incarnation}, was {before}"
        self._events.record(f"instance {new.instance}", action, reason)

    async def _refresh_all(self) -> None:
        """Keeps the own record and the timers up to date."""
        last = anyio.current_time()
        while True:
            await anyio.sleep(REFRESH_S)
            now = anyio.current_time()
            gap_s = now - last - REFRESH_S
            # A process that was stopped cannot judge the silence of others.
            self._stalled = gap_s > self._settings.mesh.ping_timeout_s
            if self._stalled:
                self._suspects.postpone(gap_s)
            last = now
            self.refresh_own()
            self._expire(now)
            self._follow_gateways()

    def _follow_gateways(self) -> None:
        """Reports the own version again if a gateway was replaced."""
        instances = [member.instance for member in self._members.gateways]
        if instances != self._told:
            self._told = instances
            self._reported.set()

    def _expire(self, now: float) -> None:
        suspect_s = self._settings.mesh.suspect_s
        for instance in self._suspects.expired(now, suspect_s):
            dead = messages.MemberState.DEAD
            self._suspects.clear(instance)
            self._note(self._members.mark(instance, dead, now))
        for instance in self._gone.expired(now, DEAD_KEPT_S):
            self._gone.clear(instance)
            self._queue.remove(instance)
            self._members.forget(instance)

    async def _probe_all(self, tasks: anyio.abc.TaskGroup) -> None:
        period_s = self._settings.mesh.ping_period_s
        while True:
            await anyio.sleep(period_s * self._random.uniform(0.9, 1.1))
            instances = [member.instance for member in self._members.peers]
            instance = self._order.next(instances, self._random)
            if instance is not None:
                target = self._members.members[instance]
                tasks.start_soon(self._probe, target)

    async def _probe(self, target: messages.Member) -> None:
        """Probes a member, if need be through others."""
        started = anyio.current_time()
        if await self._ping(target.mesh, target.instance):
            return
        helpers = probing.sample(
            self._members.peers,
            probing.HELPERS,
            self._random,
            (target.instance,),
        )
        reached: list[bool] = []

        async def ask(helper: messages.Member) -> None:
            found = await self._ping(helper.mesh, target.instance, target.mesh)
            reached.append(found)

        async with anyio.create_task_group() as tasks:
            for helper in helpers:
                tasks.start_soon(ask, helper)
        limit_s = 4 * self._settings.mesh.ping_timeout_s
        is_late = anyio.current_time() - started > limit_s
        if any(reached) or self._stalled or is_late:
            return
        self._suspect(target)

    def _suspect(self, target: messages.Member) -> None:
        known = self._members.members.get(target.instance)
        if known is None or members.order(known) > members.order(target):
            return
        suspect = messages.MemberState.SUSPECT
        now = anyio.current_time()
        self._note(self._members.mark(target.instance, suspect, now))

    async def _ping(
        self, address: str, instance: str, target: str = ""
    ) -> bool:
        """Sends a probe; returns whether the instance was reached.

        Args:
            address: Mesh address that the probe is sent to.
            instance: Instance that is to be reached.
            target: Its mesh address if the receiver is to reach it.
        """
        timeout_s = self._settings.mesh.ping_timeout_s
        if target:
            timeout_s *= 2
        probe = messages.Probe(
            sender=self._members.own.mesh,
            target=target,
            version=self._spread.holder.version,
            digest=self._spread.holder.digest,
            updates=self._updates(instance),
            instance=self._members.own.instance,
        )
        try:
            ack = await self._links.request(address, probe, timeout_s)
        except errors.CodedError as error:
            log.logger.debug("no answer to a probe from {}: {}", address, error)
            return False
        if not isinstance(ack, messages.ProbeAck):
            return False
        self.merge(ack.updates)
        self._members.report(address, ack.version)
        self._spread.offer(ack.version, ack.digest, address)
        reached = ack.reached and ack.instance == instance
        if reached:
            self._members.confirm(instance, anyio.current_time())
        return reached

    def _updates(self, receiver: str) -> tuple[messages.Member, ...]:
        """Returns the records for a message to a member."""
        first = []
        known = self._members.members.get(receiver)
        # A member must learn what is wrongly believed of it to refute it.
        if known and known.state is not messages.MemberState.ALIVE:
            first.append(known)
        count = len(self._members.members)
        return self._queue.take(count, first)

    async def answer_probe(
        self, stream: connection_pool.Stream, message: messages.Probe
    ) -> None:
        """Answers the probe of another daemon, or probes for it."""
        own = self._members.own
        self.merge(message.updates)
        self._members.report(message.sender, message.version)
        self._spread.offer(message.version, message.digest, message.sender)
        if message.target and message.target != own.mesh:
            reached, instance = await self._relay(message.target)
        else:
            reached, instance = True, own.instance
        ack = messages.ProbeAck(
            reached=reached,
            version=self._spread.holder.version,
            digest=self._spread.holder.digest,
            updates=self._updates(message.instance),
            instance=instance,
        )
        await stream.send(ack)
        if message.instance not in self._members.members:
            await self.introduce(message.sender)

    async def _relay(self, address: str) -> tuple[bool, str]:
        """Probes an address; returns whether and as whom it answered."""
        instance = next(
            (m.instance for m in self._members.peers if m.mesh == address), ""
        )
        return await self._ping(address, instance), instance

    async def introduce(self, address: str) -> None:
        """Asks a daemon that is not known yet for the members it knows."""
        known = self._members.summaries.known()
        request = messages.JoinRequest(self._members.own, known)
        timeout_s = self._settings.mesh.ping_timeout_s
        reply = await self._links.request(address, request, timeout_s)
        if isinstance(reply, messages.JoinReply):
            self.merge(reply.members)

    def _push_targets(self) -> list[messages.Member]:
        """Returns random members and the gateways."""
        own = self._members.own.instance
        targets = {m.instance: m for m in self._members.gateways}
        peers = self._members.peers
        for member in probing.sample(peers, PUSH_TARGETS, self._random):
            targets[member.instance] = member
        targets.pop(own, None)
        return list(targets.values())

    async def _push_all(self, tasks: anyio.abc.TaskGroup) -> None:
        """Passes changes that matter to calls on at once."""
        while True:
            await self._urgent.wait()
            self._urgent = anyio.Event()
            for member in self._push_targets():
                tasks.start_soon(self._ping, member.mesh, member.instance)
            # Changes that come together travel together.
            await anyio.sleep(REFRESH_S / 10)

    async def _report_all(self, tasks: anyio.abc.TaskGroup) -> None:
        """Tells the gateways of the own version, for the status."""
        while True:
            await self._reported.wait()
            self._reported = anyio.Event()
            own = self._members.own
            for gateway in self._members.gateways:
                if gateway.instance != own.instance:
                    tasks.start_soon(self._report, gateway)
            await anyio.sleep(REFRESH_S / 10)

    async def _report(self, gateway: messages.Member) -> None:
        version, digest = (
            self._spread.holder.version,
            self._spread.holder.digest,
        )
        own = self._members.own.mesh
        report = messages.VersionHint(version, digest, own)
        timeout_s = self._settings.mesh.ping_timeout_s
        try:
            ack = await self._links.request(gateway.mesh, report, timeout_s)
        except errors.CodedError as error:
            log.logger.debug("no report to {}: {}", gateway.mesh, error)
            return
        if isinstance(ack, messages.VersionAck):
            self._spread.offer(ack.version, ack.digest, gateway.mesh)
