"""Tests of a backend server that restarts under its id behind a cut from the store.

The store still has the entry of its former incarnation, while hosts reach the new one.
"""

from __future__ import annotations

import asyncio
import logging
import unittest

from greengagefall.tests.ownership_simulation import Simulation
from greengagefall.tests.simulated_servers import SERVICE
from greengagefall.tests.virtual_time import VirtualLoop, run_in_virtual_time

SETTLED_S = 5.0
DOWN_S = 0.05
# The store drops an entry after three heartbeat intervals of a second; the cut is shorter.
CUT_S = 2.6
MOVED_S = 8.0
SEEDS = range(8)


class UnseenRestartTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def restart_unseen(self, loop: VirtualLoop, seed: int) -> list[str]:
        """Returns the violations while a server restarts behind a cut and then writes its entry."""
        simulation = Simulation(loop, seed=seed)
        delivery = asyncio.create_task(simulation.deliver_records())
        await asyncio.sleep(SETTLED_S)
        assignment = next(iter(simulation.hosts.values())).view.assignment
        server = simulation.servers[assignment.key_ranges[SERVICE][0].owner.server_id]
        server.reaches_store = False
        server.stop()
        await asyncio.sleep(DOWN_S)
        server.restart()
        server.up = True
        await asyncio.sleep(CUT_S)
        # Without load the keys would otherwise go to the new incarnation of the same server.
        server.draining = True
        server.reaches_store = True
        await asyncio.sleep(MOVED_S)
        for host in simulation.hosts.values():
            await host.kill()
        delivery.cancel()
        return simulation.violations

    def play(self, seed: int) -> list[str]:
        return run_in_virtual_time(lambda loop: self.restart_unseen(loop, seed))

    def test_keys_of_a_restarted_server_go_to_others_only_after_its_release(self):
        # A newer entry was taken as proof that the server holds nothing, whatever it was granted.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                held_twice = [found for found in self.play(seed) if " while " in found]
                self.assertEqual(held_twice, [])

    def test_a_server_that_restarted_unseen_is_granted_no_fence_of_its_former_incarnation(self):
        # The store's entry of the former incarnation was taken as proof that it still runs.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                same_fence = [found for found in self.play(seed) if "had keys of it" in found]
                self.assertEqual(same_fence, [])


if __name__ == "__main__":
    unittest.main()
