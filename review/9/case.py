"""QUOTA: each daemon that gives out tokens anew begins with half a burst.

The daemon that gives out the tokens of a hot tenant is killed once and starts
again. The one that takes its place, and then the daemon itself after its start,
each give out a part of the burst that was given out before.
"""

import anyio
import harness
import tenantload

from rattangauge.calls import quota
from tools import platformfleet

# ``hot_tenant`` sends up to 7.5 times the usual.
TENANT = tenantload.Tenant(200.0, 5.0)
MACHINES = 4
BEFORE_S = 1.2
# Time from the kill to the start of the daemon.
DOWN_S = 0.3
LENGTH_S = 8.0


def _home(fleet: platformfleet.Fleet) -> platformfleet.Machine:
    """Returns the machine whose daemon gives out the tenant's tokens."""
    machines = {m.address("mesh"): m for m in fleet.machines.values()}
    return machines[quota.ranking(tenantload.NAME, list(machines))[0]]


async def case(record: harness.Record, has_trouble: bool) -> bool:
    """Tells whether the tenant got more than its quota allows."""
    async with platformfleet.running() as fleet:
        tenantload.publish(fleet, TENANT)
        for number in range(MACHINES):
            name = f"m{number}"
            await fleet.add(name, "skladby")
            fleet.start(name)
        await fleet.wait_ready()
        await anyio.sleep(tenantload.SETTLE_S)
        home = _home(fleet)
        load = tenantload.TenantLoad(fleet, record, TENANT)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load.run, LENGTH_S)
            await anyio.sleep(BEFORE_S)
            if has_trouble:
                home.process.kill()
                home.process.wait()
                record.write(f"killed: the daemon of {home.name}")
                await anyio.sleep(DOWN_S)
                fleet.start(home.name)
                record.write("it was started again")
        return load.is_broken()


if __name__ == "__main__":
    harness.run(case)
