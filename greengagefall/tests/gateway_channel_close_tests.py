"""Tests of a channel whose server's entry is missing for a while on the host that dispatches it."""

from __future__ import annotations

import asyncio
import logging
import unittest

from greengagefall.gateway.dispatchers import CHANNEL_CLOSE_DELAY_S
from greengagefall.protocol.gateway_messages import ReleaseKeys
from greengagefall.tests.ownership_simulation import Simulation
from greengagefall.tests.simulated_network import PATH_SILENT
from greengagefall.tests.simulated_servers import SERVICE
from greengagefall.tests.virtual_time import VirtualLoop

SETTLED_S = 5.0
MISSING_S = CHANNEL_CLOSE_DELAY_S + 0.5


class MissingEntryTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def release_after_gap(self, loop: VirtualLoop) -> tuple[float, float]:
        """Returns how long the server holds the keys, and when the host says that this ends."""
        simulation = Simulation(loop, seed=1)
        delivery = asyncio.create_task(simulation.deliver_records())
        await asyncio.sleep(SETTLED_S)
        assignment = next(iter(simulation.hosts.values())).view.assignment
        key_range = assignment.key_ranges[SERVICE][0]
        server = simulation.servers[key_range.owner.server_id]
        dispatching = assignment.dispatchers[server.server_id]
        host = simulation.hosts[dispatching.dispatcher.host]
        simulation.cuts.add(frozenset((host.name, "store")))
        host.view.remove_server(server.server_id)
        await asyncio.sleep(MISSING_S)
        host.view.update_server(server.entry())
        simulation.broken_paths[host.name, server.name] = PATH_SILENT
        version = host.view.assignment.version
        fence = key_range.fence + 1000
        order = ReleaseKeys(0, version, *key_range.owner, key_range.first, key_range.last, fence)
        outcome = await host.channels.release(order)
        ends_s = loop.now_s + outcome.ends_in_s
        held_until_s = max((held.end_s for held in server.held_now()), default=0.0)
        for one in simulation.hosts.values():
            await one.kill()
        delivery.cancel()
        return held_until_s, ends_s

    def test_grants_in_force_are_known_after_the_entry_was_missing(self):
        # The channel was closed with grants in force, and its successor knew nothing of them.
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        self.addCleanup(asyncio.set_event_loop, None)
        self.addCleanup(loop.close)
        held_until_s, ends_s = loop.run_until_complete(self.release_after_gap(loop))
        self.assertGreaterEqual(ends_s, held_until_s)


if __name__ == "__main__":
    unittest.main()
