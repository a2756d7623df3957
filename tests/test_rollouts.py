"""Roll-outs in a small mesh of real daemons with the store's stand-in."""

import contextlib
import itertools
import random

import anyio
import pytest

from rattangauge.generated import settings as generated
from standins import appworker
from tests import meshes

pytestmark = pytest.mark.anyio

ORDER = {"service": "skladby", "target-version": "v2", "duration-s": 10.0}
OLD = ("a1", "a2", "a3")
NEW = ("b1", "b2", "b3")
SETTINGS = generated.Rollout(0.1, 50, 5.0)


class Deployment:
    """A mesh with an old and a new version of a service, and its callers.

    Attributes:
        mesh: The mesh.
        store: Stand-in of the store.
        statuses: Status of each answer to a caller.
        failed_at: Times at which the bad version failed a request.
        arrived_at: Times at which it got one.
    """

    def __init__(self, mesh):
        """Creates a deployment in a mesh."""
        self.mesh = mesh
        self.store = mesh.store
        self.statuses = []
        self.failed_at = []
        self.arrived_at = []
        self._numbers = itertools.count(1)

    async def start(self):
        """Starts all instances, both versions, and the callers."""
        self.mesh.publish([meshes.path("/play/", "skladby")], ("skladby",))
        for name in (*OLD, *NEW):
            instance = await self.mesh.prepare(name, work_s=0.01)
            instance.settings = instance.settings._replace(rollout=SETTINGS)
        for name in OLD:
            self.mesh.start(name)
        await self.mesh.wait_ready_of(OLD)
        await self._send_heartbeats(OLD, "v1")
        for name in NEW:
            self.mesh.start(name)
        await self.mesh.wait_ready()
        await self._send_heartbeats(NEW, "v2")
        for name in OLD:
            for _ in range(2):
                self.mesh.tasks.start_soon(self._call_repeatedly, name)
        await anyio.sleep(1.5)

    async def _send_heartbeats(self, names, version):
        for name in names:
            await self.mesh.instances[name].send_heartbeat(version=version)
        await anyio.sleep(0.1)

    async def _call_repeatedly(self, name):
        """Calls an instance until it is killed."""
        with contextlib.suppress(Exception):
            while True:
                status, _, _ = await self.mesh.call(
                    name, "/play/1", request_id=f"q{next(self._numbers)}"
                )
                self.statuses.append(status)
                await anyio.sleep(0.005)

    def arrived(self, names):
        """Returns how many requests arrived at upstreams."""
        instances = self.mesh.instances
        return sum(len(instances[name].upstream.arrived) for name in names)

    def order(self):
        """Writes the order."""
        self.store.put("rollouts", "skladby", ORDER)

    def state(self):
        """Returns the state that the status of the order names."""
        status = self.store.get("rollouts", "skladby")["status"] or {}
        return status.get("state", "")

    async def wait_state(self, state, limit_s=8.0):
        """Waits until the status of the order names a state."""

        async def is_reached():
            return self.state() == state

        await self.mesh.wait(is_reached, limit_s)

    def decider(self):
        """Returns the name of the instance whose daemon decides."""
        spec = self.store.get("rattangauge-rollouts", "skladby")["spec"]
        mesh = spec["decider"].partition("/")[0]
        for name, instance in self.mesh.instances.items():
            if instance.settings.listen.mesh == mesh:
                return name
        raise AssertionError(f"no instance is at {mesh}")

    def decisions(self, phase):
        """Returns the decisions on a phase that daemons wrote."""
        return [
            event
            for instance in self.mesh.instances.values()
            for event in instance.events()
            if event["event"] == "rollout_decided"
            and event["phase"] == phase
            and event["reason"] != "taken over"
        ]

    def fail_half(self):
        """Makes the new version fail half of its requests."""
        source = random.Random(1)

        async def behave(request):
            self.arrived_at.append(anyio.current_time())
            await anyio.sleep(0.01)
            status = 500 if source.random() < 0.5 else 200
            if status == 500:
                self.failed_at.append(anyio.current_time())
            return appworker.sealed(request, status=status)

        for name in NEW:
            self.mesh.instances[name].upstream.behaviour = behave

    def is_exposed_late(self):
        """Tells whether requests came too late after the 50th failure."""
        if len(self.failed_at) < 50:
            return False
        until = self.failed_at[49] + SETTINGS.rollback_s
        return self.arrived_at[-1] > until


@contextlib.asynccontextmanager
async def deployed():
    """Yields a deployment whose new version has no order yet."""
    async with meshes.running() as mesh:
        deployment = Deployment(mesh)
        await deployment.start()
        yield deployment


async def test_a_good_version_gets_all_calls_before_it_is_completed():
    """Guards against calls that the stop of old instances would cut."""
    async with deployed() as deployment:
        assert deployment.arrived(NEW) == 0
        deployment.order()
        await deployment.wait_state("active", 1.5)
        await deployment.wait_state("completed", 0.85 * ORDER["duration-s"])
        before = deployment.arrived(OLD)
        await anyio.sleep(0.5)
        assert deployment.arrived(OLD) == before
        assert set(deployment.statuses) == {200}
        assert len(deployment.decisions("completed")) == 1


async def test_a_bad_version_is_rolled_back_at_little_exposure():
    """Guards against a bad version that stays in use."""
    async with deployed() as deployment:
        deployment.fail_half()
        total = deployment.arrived((*OLD, *NEW))
        deployment.order()
        await deployment.wait_state("rolled_back")
        await anyio.sleep(0.5)
        exposed = deployment.arrived(NEW)
        await anyio.sleep(1.0)
        assert deployment.arrived(NEW) == exposed
        total = deployment.arrived((*OLD, *NEW)) - total
        assert exposed <= SETTINGS.expose_share * total + 10


async def test_the_death_of_the_decider_loses_no_decision():
    """Guards against a bad version that nobody rolls back."""
    async with deployed() as deployment:
        deployment.order()
        await deployment.wait_state("active", 1.5)
        deployment.fail_half()
        deployment.mesh.instances[deployment.decider()].kill()
        await deployment.wait_state("rolled_back")
        await anyio.sleep(1.0)
        assert not deployment.is_exposed_late()
        assert len(deployment.decisions("rolled_back")) == 1


async def test_lost_answers_of_the_store_neither_double_nor_lose_a_decision():
    """Guards against two ends of one roll-out."""
    async with deployed() as deployment:
        deployment.order()
        await deployment.wait_state("active", 1.5)
        deployment.store.loses_answers = True
        deployment.fail_half()
        await deployment.wait_state("rolled_back")
        assert deployment.decisions("completed") == []


async def test_exposure_shrinks_while_the_store_is_down():
    """Guards against a share that stays while nobody can decide."""
    async with deployed() as deployment:
        deployment.order()
        await deployment.wait_state("active", 1.5)
        deployment.store.refuse_with = 503
        await anyio.sleep(6.5)
        before = deployment.arrived(NEW)
        await anyio.sleep(1.0)
        assert deployment.arrived(NEW) == before
        deployment.store.refuse_with = 0
        await deployment.wait_state("completed", 6.0)


async def test_a_second_decision_under_an_old_revision_fails():
    """Guards against a late write of a daemon that stood still."""
    async with deployed() as deployment:
        deployment.order()
        await deployment.wait_state("active", 1.5)
        name = deployment.decider()
        watch = deployment.mesh.instances[name].node._rollout_watch
        decider = watch._deciders["skladby"]
        stale = decider._stored
        # Another daemon decides while this one stands still.
        found = deployment.store.get("rattangauge-rollouts", "skladby")
        spec = {
            **found["spec"],
            "sequence": found["spec"]["sequence"] + 1,
            "phase": "rolled_back",
            "decider": "another",
        }
        deployment.store.put("rattangauge-rollouts", "skladby", spec)
        decider._stored = stale
        await decider._write(stale.decision, "step")
        assert decider.decision.phase.name == "ROLLED_BACK"
        await deployment.wait_state("rolled_back", 6.0)


async def test_a_decision_that_the_store_lost_is_written_again():
    """Guards against a second exposure of a version that was found bad."""
    async with deployed() as deployment:
        deployment.fail_half()
        deployment.order()
        await deployment.wait_state("rolled_back")
        # The store comes back from an older copy.
        deployment.store.delete("rattangauge-rollouts", "skladby")
        spec = deployment.store.get("rollouts", "skladby")["spec"]
        exposed = deployment.arrived(NEW)
        deployment.store.put("rollouts", "skladby", spec, None)
        await deployment.wait_state("rolled_back")
        await anyio.sleep(0.5)
        assert deployment.arrived(NEW) == exposed
