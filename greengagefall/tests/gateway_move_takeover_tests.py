"""Tests of key ranges that still move between servers while their dispatchers change."""

from __future__ import annotations

import asyncio
import logging
import unittest
from functools import partial
from typing import TYPE_CHECKING

from greengagefall.tests.ownership_simulation import Simulation
from greengagefall.tests.planted_ownership import keep_fences_of_moves
from greengagefall.tests.simulated_servers import SERVICE
from greengagefall.tests.virtual_time import VirtualLoop, run_in_virtual_time, wait_for

if TYPE_CHECKING:
    from greengagefall.ownership.model import KeyRange

SETTLED_S = 5.0
MOVE_TIMEOUT_S = 15.0
HOSTS_DOWN_S = 0.5
TAKEN_OVER_TIMEOUT_S = 5.0
# The new coordinator waits for 3.1 s for the former owner, and the store lists a server for 3 s
# after its last word: the new owner restarts within both times.
RESTART_DELAY_S = 1.0
RECOVERY_S = 15.0
SEEDS = range(8)


class MoveTakeoverTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def lose_all_hosts_during_move(self, seed: int, loop: VirtualLoop) -> Simulation:
        """Returns the simulation after a new owner restarted unseen before its move was over.

        The former owner is not reached. All hosts are killed once the new owner has the keys and
        before the coordinator has written that the move is over.
        """
        simulation = Simulation(loop, seed=seed)
        delivery = asyncio.create_task(simulation.deliver_records())
        await asyncio.sleep(SETTLED_S)
        former = simulation.servers["s0"]
        former.calls_pass.clear()
        async with asyncio.timeout(MOVE_TIMEOUT_S):
            await wait_for(lambda: _granted_moves(simulation))
        moved = _granted_moves(simulation)[0]
        owner = simulation.servers[moved.owner.server_id]
        # Its other keys go away, so that its next dispatcher grants it nothing before.
        owner.draining = True
        for host in simulation.hosts.values():
            await host.kill()
        await asyncio.sleep(HOSTS_DOWN_S)
        for host in list(simulation.hosts.values()):
            simulation.start_host(host.name, host.zone)
        async with asyncio.timeout(TAKEN_OVER_TIMEOUT_S):
            await wait_for(lambda: _has_dispatcher(simulation, moved))
        await asyncio.sleep(RESTART_DELAY_S)
        owner.reaches_store = False
        owner.stop()
        owner.restart()
        owner.up = True
        await asyncio.sleep(RECOVERY_S)
        former.end_hold()
        owner.reaches_store = True
        owner.draining = False
        await asyncio.sleep(RECOVERY_S)
        for host in simulation.hosts.values():
            await host.kill()
        delivery.cancel()
        return simulation

    def play(self, seed: int) -> Simulation:
        return run_in_virtual_time(partial(self.lose_all_hosts_during_move, seed))

    def test_a_moving_range_is_not_granted_again_under_the_fence_of_a_former_dispatcher(self):
        # Only ranges that did not move got new fences when their dispatcher changed.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = self.play(seed)
                self.assertEqual(simulation.violations, [])
                self.assertTrue(simulation.all_held())

    def test_oracle_detects_planted_fences_that_stay_while_ranges_move(self):
        with keep_fences_of_moves():
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    self.assertNotEqual(self.play(seed).violations, [])


def _granted_moves(simulation: Simulation) -> list[KeyRange]:
    """Returns the ranges that their new owners hold, and that still move by the assignment."""
    newest = max(
        (host.view.assignment for host in simulation.hosts.values()),
        key=lambda assignment: assignment.version,
    )
    return [
        key_range
        for key_range in newest.key_ranges.get(SERVICE, ())
        if key_range.moving
        and any(
            held.fence == key_range.fence
            for held in simulation.servers[key_range.owner.server_id].held_now()
        )
    ]


def _has_dispatcher(simulation: Simulation, moved: KeyRange) -> bool:
    """Returns whether a running host dispatches the owner of a range."""
    running = {host.host_incarnation: host for host in simulation.hosts.values()}
    return any(
        record.dispatcher in running
        for host in running.values()
        for server_id, record in host.view.assignment.dispatchers.items()
        if server_id == moved.owner.server_id
    )


if __name__ == "__main__":
    unittest.main()
