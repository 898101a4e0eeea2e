"""Tests of orders about keys that arrive at a dispatcher after they are outdated."""

from __future__ import annotations

import asyncio
import logging
import unittest

from greengagefall.protocol.gateway_messages import ReleaseKeys
from greengagefall.tests.ownership_simulation import Simulation
from greengagefall.tests.simulated_servers import SERVICE
from greengagefall.tests.virtual_time import VirtualLoop

SETTLED_S = 5.0


class OutdatedReleaseTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def release_late(self, loop: VirtualLoop) -> tuple[object, bool]:
        """Returns the outcome of a late order, and whether the server holds the keys after it."""
        simulation = Simulation(loop, seed=1)
        delivery = asyncio.create_task(simulation.deliver_records())
        await asyncio.sleep(SETTLED_S)
        assignment = next(iter(simulation.hosts.values())).view.assignment
        key_range = assignment.key_ranges[SERVICE][0]
        dispatching = assignment.dispatchers[key_range.owner.server_id]
        host = simulation.hosts[dispatching.dispatcher.host]
        order = ReleaseKeys(
            0,
            assignment.version,
            *key_range.owner,
            key_range.first,
            key_range.last,
            key_range.fence - 1,
        )
        outcome = await host.channels.release(order)
        server = simulation.servers[key_range.owner.server_id]
        held = any(held.first <= key_range.first <= held.last for held in server.held_now())
        for one in simulation.hosts.values():
            await one.kill()
        delivery.cancel()
        return outcome, held

    def test_a_late_order_to_release_takes_no_keys_that_the_server_owns_again(self):
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        self.addCleanup(asyncio.set_event_loop, None)
        self.addCleanup(loop.close)
        outcome, held = loop.run_until_complete(self.release_late(loop))
        self.assertIsNone(outcome)
        self.assertTrue(held)


if __name__ == "__main__":
    unittest.main()
