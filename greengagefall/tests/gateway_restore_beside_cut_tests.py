"""Tests of a restored store while the hosts that know the newest owners are cut off.

The other hosts have restarted, so that the coordinator hears of no newer owners than those that
the store came back with.
"""

from __future__ import annotations

import asyncio
import logging
import unittest

from greengagefall.tests.ownership_simulation import Simulation
from greengagefall.tests.virtual_time import VirtualLoop, run_in_virtual_time

SETTLED_S = 5.0
# Time in which the keys of a draining server go to others.
MOVED_S = 2.0
COPY_AGE_S = 3.0
CUT_BEFORE_S = 0.5
DOWN_S = 0.5
# The cut outlasts the time for which hosts renew grants without a coordinator.
CUT_S = 12.0
CUT_ZONE = "x"
SEEDS = range(4)


class RestoreBesideCutTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def restore_beside_cut(self, loop: VirtualLoop, seed: int) -> list[str]:
        """Returns the violations while the store is restored beside a zone that is cut off."""
        simulation = Simulation(loop, seed=seed)
        delivery = asyncio.create_task(simulation.deliver_records())
        await asyncio.sleep(SETTLED_S)
        drained = next(one for one in simulation.servers.values() if one.zone != CUT_ZONE)
        drained.draining = True
        await asyncio.sleep(MOVED_S)
        drained.draining = False
        members = [*simulation.hosts.values(), *simulation.servers.values()]
        outside = [one.name for one in members if one.zone != CUT_ZONE]
        simulation.cuts = {
            frozenset((one.name, other))
            for one in members
            if one.zone == CUT_ZONE
            for other in [*outside, "store"]
        }
        await asyncio.sleep(CUT_BEFORE_S)
        restarted = [one for one in simulation.hosts.values() if one.zone != CUT_ZONE]
        simulation.store_up = False
        for host in restarted:
            await host.kill()
        await asyncio.sleep(DOWN_S)
        simulation.store_data.restore(COPY_AGE_S)
        simulation.store_up = True
        for host in restarted:
            simulation.start_host(host.name, host.zone)
        await asyncio.sleep(CUT_S)
        for host in simulation.hosts.values():
            await host.kill()
        delivery.cancel()
        return simulation.violations

    def play(self, seed: int) -> list[str]:
        return run_in_virtual_time(lambda loop: self.restore_beside_cut(loop, seed))

    def test_grants_of_hosts_behind_a_cut_are_waited_for_when_no_other_host_remembers(self):
        # The wait covered only grants in force, not those that a cut-off host goes on renewing.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                held_twice = [found for found in self.play(seed) if " while " in found]
                self.assertEqual(held_twice, [])


if __name__ == "__main__":
    unittest.main()
