"""Gossip within an availability zone: probes that carry member records."""

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
# Random members that get a change that affects routing at once, besides the
# gateways.
PUSH_MEMBERS = 4
# Dead members are kept for this time, so that delayed records do not add them
# again.
DEAD_RETENTION_S = 60.0
# Time that a leaving daemon waits for the answers to its last messages.
LEAVE_TIMEOUT_S = 0.5

_GONE_STATES = (messages.MemberState.DEAD, messages.MemberState.LEFT)


class Gossip:
    """Gossip of one daemon with the members of its zone."""

    def __init__(
        self,
        settings: settings_module.Settings,
        table: members.MemberTable,
        links: connection_pool.Links,
        upstream: local_upstream.LocalUpstream,
        distribution: config_distribution.ConfigDistribution,
        events: events_module.Events,
    ) -> None:
        """Creates the object; ``run`` starts the gossip."""
        self._settings = settings
        self._members = table
        self._links = links
        self._local_upstream = upstream
        self._distribution = distribution
        self._events = events
        self._random = random_module.Random()
        self._update_queue = probing.UpdateQueue()
        self._probe_order = probing.ProbeOrder()
        self._suspect_timers = probing.Timers()
        self._removal_timers = probing.Timers()
        self._has_urgent_change = anyio.Event()
        self._report_due = anyio.Event()
        self._members_changed = anyio.Event()
        self._reported_gateways: list[str] = []
        self._is_draining = False
        self._was_paused = False

    async def run(self) -> None:
        """Probes, pushes changes and reports versions until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_refresh)
            tasks.start_soon(self._run_pushes, tasks)
            tasks.start_soon(self._run_reports, tasks)
            await self._run_probes(tasks)

    async def wait_changed(self) -> None:
        """Waits until a member record changes in more than its version."""
        await self._members_changed.wait()

    def refresh_own(self) -> None:
        """Updates the member record of this daemon.

        A daemon that has left the zone keeps its record.
        """
        own = self._members.own
        if own.state in _GONE_STATES:
            return
        announcement = self._local_upstream.announcement
        rejected_version, rejected_code = self._distribution.rejected
        current = own._replace(
            service=announcement.service if announcement else "",
            slots=announcement.slots if announcement else 0,
            upstream=self._upstream_state(),
            version=self._distribution.holder.version,
            rejected_version=rejected_version,
            rejected_code=rejected_code,
        )
        if current == own:
            return
        change = self._members.set_own(current)
        self._apply_changes([change])
        self._report_due.set()

    def _upstream_state(self) -> messages.UpstreamState:
        state = self._local_upstream.state
        if self._is_draining and state is not messages.UpstreamState.ABSENT:
            return messages.UpstreamState.DRAINING
        return state

    def drain(self) -> None:
        """Marks the upstream as draining in the record of this daemon."""
        self._is_draining = True
        self.refresh_own()

    async def leave(self) -> None:
        """Tells gateways and some members that this daemon leaves."""
        own = self._members.own
        left = own._replace(state=messages.MemberState.LEFT)
        self._apply_changes([self._members.set_own(left)])
        targets = self._push_targets()
        with anyio.move_on_after(LEAVE_TIMEOUT_S, shield=True):
            async with anyio.create_task_group() as tasks:
                for member in targets:
                    tasks.start_soon(self._ping, member.mesh, member.instance)

    def merge(self, records: tuple[messages.Member, ...]) -> None:
        """Merges records from another daemon and spreads the changes."""
        now = anyio.current_time()
        self._apply_changes(self._members.merge(records, now))

    def _apply_changes(self, changes: list[members.Change]) -> None:
        now = anyio.current_time()
        for change in changes:
            # A change of only the version is sent in the fields of probes and
            # reports, so the record need not be sent.
            if not change.is_version_only:
                self._update_queue.add(change.new)
            self._set_timers(change.new, now)
            self._record_event(change)
            if change.is_urgent:
                self._has_urgent_change.set()
            if not change.is_version_only:
                self._members_changed.set()
                self._members_changed = anyio.Event()

    def _set_timers(self, member: messages.Member, now: float) -> None:
        if member.state is messages.MemberState.SUSPECT:
            self._suspect_timers.start(member.instance, now)
        else:
            self._suspect_timers.clear(member.instance)
        if member.state in _GONE_STATES:
            self._removal_timers.start(member.instance, now)
        else:
            self._removal_timers.clear(member.instance)

    def _record_event(self, change: members.Change) -> None:
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

    async def _run_refresh(self) -> None:
        """Updates the own record and the timers until cancelled."""
        last = anyio.current_time()
        while True:
            await anyio.sleep(REFRESH_S)
            now = anyio.current_time()
            pause_s = now - last - REFRESH_S
            # Answers may have arrived unread while this process was paused, so
            # the silence of others in that time proves no failure.
            self._was_paused = pause_s > self._settings.mesh.ping_timeout_s
            if self._was_paused:
                self._suspect_timers.postpone(pause_s)
            last = now
            self.refresh_own()
            self._expire_timers(now)
            self._report_to_new_gateways()

    def _report_to_new_gateways(self) -> None:
        """Reports the own version again if the gateways have changed."""
        instances = [member.instance for member in self._members.gateways]
        if instances != self._reported_gateways:
            self._reported_gateways = instances
            self._report_due.set()

    def _expire_timers(self, now: float) -> None:
        suspect_s = self._settings.mesh.suspect_s
        for instance in self._suspect_timers.expired(now, suspect_s):
            dead = messages.MemberState.DEAD
            self._suspect_timers.clear(instance)
            self._apply_changes(self._members.set_state(instance, dead, now))
        for instance in self._removal_timers.expired(now, DEAD_RETENTION_S):
            self._removal_timers.clear(instance)
            self._update_queue.remove(instance)
            self._members.forget(instance)

    async def _run_probes(self, tasks: anyio.abc.TaskGroup) -> None:
        period_s = self._settings.mesh.ping_period_s
        while True:
            await anyio.sleep(period_s * self._random.uniform(0.9, 1.1))
            instances = [member.instance for member in self._members.peers]
            instance = self._probe_order.next(instances, self._random)
            if instance is not None:
                target = self._members.members[instance]
                tasks.start_soon(self._probe, target)

    async def _probe(self, target: messages.Member) -> None:
        """Probes a member directly, then through other members.

        The member becomes suspect if no probe reaches it, unless this process
        was paused or too slow to tell.
        """
        started = anyio.current_time()
        if await self._ping(target.mesh, target.instance):
            return
        relays = probing.sample(
            self._members.peers,
            probing.INDIRECT_PROBES,
            self._random,
            (target.instance,),
        )
        reached: list[bool] = []

        async def probe_through(relay: messages.Member) -> None:
            was_reached = await self._ping(
                relay.mesh, target.instance, target.mesh
            )
            reached.append(was_reached)

        async with anyio.create_task_group() as tasks:
            for relay in relays:
                tasks.start_soon(probe_through, relay)
        limit_s = 4 * self._settings.mesh.ping_timeout_s
        is_late = anyio.current_time() - started > limit_s
        if any(reached) or self._was_paused or is_late:
            return
        self._mark_suspect(target)

    def _mark_suspect(self, target: messages.Member) -> None:
        known = self._members.members.get(target.instance)
        if known is None or members.order(known) > members.order(target):
            return
        suspect = messages.MemberState.SUSPECT
        now = anyio.current_time()
        self._apply_changes(
            self._members.set_state(target.instance, suspect, now)
        )

    async def _ping(
        self, address: str, instance: str, target: str = ""
    ) -> bool:
        """Sends a probe; returns whether the instance was reached.

        Args:
            address: Mesh address that the probe is sent to.
            instance: Instance to reach.
            target: Mesh address of the instance if the receiver is to probe it
                on behalf of this daemon; empty for a direct probe.
        """
        timeout_s = self._settings.mesh.ping_timeout_s
        if target:
            timeout_s *= 2
        probe = messages.Probe(
            sender=self._members.own.mesh,
            target=target,
            version=self._distribution.holder.version,
            digest=self._distribution.holder.digest,
            updates=self._updates_for(instance),
            instance=self._members.own.instance,
        )
        try:
            ack = await self._links.request(address, probe, timeout_s)
        except errors.CodedError as error:
            log.logger.debug("probe of {} failed: {}", address, error)
            return False
        if not isinstance(ack, messages.ProbeAck):
            return False
        self.merge(ack.updates)
        self._members.record_version(address, ack.version)
        self._distribution.record_peer_version(ack.version, ack.digest, address)
        reached = ack.reached and ack.instance == instance
        if reached:
            self._members.record_answer(instance, anyio.current_time())
        return reached

    def _updates_for(self, receiver: str) -> tuple[messages.Member, ...]:
        """Returns the member records for a message to a member."""
        first = []
        known = self._members.members.get(receiver)
        # A member can refute a wrong state only if it learns of it.
        if known and known.state is not messages.MemberState.ALIVE:
            first.append(known)
        count = len(self._members.members)
        return self._update_queue.take(count, first)

    async def answer_probe(
        self, stream: connection_pool.Stream, message: messages.Probe
    ) -> None:
        """Answers a probe, after probing its target if it names another."""
        own = self._members.own
        self.merge(message.updates)
        self._members.record_version(message.sender, message.version)
        self._distribution.record_peer_version(
            message.version, message.digest, message.sender
        )
        if message.target and message.target != own.mesh:
            reached, instance = await self._probe_for_sender(message.target)
        else:
            reached, instance = True, own.instance
        ack = messages.ProbeAck(
            reached=reached,
            version=self._distribution.holder.version,
            digest=self._distribution.holder.digest,
            updates=self._updates_for(message.instance),
            instance=instance,
        )
        await stream.send(ack)
        if message.instance not in self._members.members:
            await self.introduce(message.sender)

    async def _probe_for_sender(self, address: str) -> tuple[bool, str]:
        """Probes an address on behalf of another daemon.

        Returns:
            Whether the probe was answered, and the instance at the address.
        """
        instance = next(
            (m.instance for m in self._members.peers if m.mesh == address), ""
        )
        return await self._ping(address, instance), instance

    async def introduce(self, address: str) -> None:
        """Asks a daemon that is not known yet for its members."""
        known = self._members.summaries.known()
        request = messages.JoinRequest(self._members.own, known)
        timeout_s = self._settings.mesh.ping_timeout_s
        reply = await self._links.request(address, request, timeout_s)
        if isinstance(reply, messages.JoinReply):
            self.merge(reply.members)

    def _push_targets(self) -> list[messages.Member]:
        """Returns the gateways and some random members."""
        own = self._members.own.instance
        targets = {m.instance: m for m in self._members.gateways}
        peers = self._members.peers
        for member in probing.sample(peers, PUSH_MEMBERS, self._random):
            targets[member.instance] = member
        targets.pop(own, None)
        return list(targets.values())

    async def _run_pushes(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sends changes that affect routing at once, until cancelled."""
        while True:
            await self._has_urgent_change.wait()
            self._has_urgent_change = anyio.Event()
            for member in self._push_targets():
                tasks.start_soon(self._ping, member.mesh, member.instance)
            # Changes within this time are sent in one message.
            await anyio.sleep(REFRESH_S / 10)

    async def _run_reports(self, tasks: anyio.abc.TaskGroup) -> None:
        """Reports the own version to the gateways, for the zone status."""
        while True:
            await self._report_due.wait()
            self._report_due = anyio.Event()
            own = self._members.own
            for gateway in self._members.gateways:
                if gateway.instance != own.instance:
                    tasks.start_soon(self._send_report, gateway)
            await anyio.sleep(REFRESH_S / 10)

    async def _send_report(self, gateway: messages.Member) -> None:
        version, digest = (
            self._distribution.holder.version,
            self._distribution.holder.digest,
        )
        own = self._members.own.mesh
        report = messages.VersionHint(version, digest, own)
        timeout_s = self._settings.mesh.ping_timeout_s
        try:
            ack = await self._links.request(gateway.mesh, report, timeout_s)
        except errors.CodedError as error:
            log.logger.debug(
                "cannot report the version to {}: {}", gateway.mesh, error
            )
            return
        if isinstance(ack, messages.VersionAck):
            self._distribution.record_peer_version(
                ack.version, ack.digest, gateway.mesh
            )
