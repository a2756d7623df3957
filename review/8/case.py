"""QUOTA: machines that are cut off give out the same tokens as the others.

Three of twelve machines are cut off from all other machines, not from the
store, while requests of a hot tenant come to all of them.
"""

import anyio
import harness
import tenantload

from tools import platformfleet

# ``hot_tenant`` sends up to 7.5 times the usual.
TENANT = tenantload.Tenant(100.0, 7.5)
MACHINES = 12
ZONES = 3
# A quarter of the machines; ``node_cut`` takes up to 0.35 of them.
CUT_MACHINES = 3
CUT_S = 5.5
BEFORE_S = 0.5
LENGTH_S = 8.0


async def case(record: harness.Record, has_trouble: bool) -> bool:
    """Tells whether the tenant got more than its quota allows."""
    async with platformfleet.running() as fleet:
        tenantload.publish(fleet, TENANT)
        proxies = []
        for number in range(MACHINES):
            name = f"m{number}"
            machine = await fleet.add(name, "skladby", f"zone-{number % ZONES}")
            proxy = harness.Proxy(machine.address("mesh"), machine.host)
            await proxy.start()
            proxies.append(proxy)
            machine.settings["listen"]["advertise"] = proxy.address
            fleet.start(name)
        await fleet.wait_ready()
        await anyio.sleep(tenantload.SETTLE_S)
        cut = list(fleet.machines.values())[:CUT_MACHINES]
        load = tenantload.TenantLoad(fleet, record, TENANT)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load.run, LENGTH_S)
            await anyio.sleep(BEFORE_S)
            if has_trouble:
                for proxy in proxies:
                    proxy.cut({machine.host for machine in cut})
                record.write(f"cut off: {[machine.name for machine in cut]}")
            await anyio.sleep(CUT_S)
            for proxy in proxies:
                proxy.cut(set())
            record.write("no machine is cut off")
        return load.is_broken()


if __name__ == "__main__":
    harness.run(case)
