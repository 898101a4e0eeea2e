"""Tests of orders about keys that arrive at a dispatcher after they are outdated."""

from __future__ import annotations

import asyncio
import logging
import unittest
from functools import partial
from typing import TYPE_CHECKING

from greengagefall.protocol.gateway_messages import ReleaseKeys
from greengagefall.tests.ownership_simulation import Simulation
from greengagefall.tests.simulated_servers import SERVICE
from greengagefall.tests.virtual_time import (
    VirtualLoop,
    VirtualTimeTestCase,
    run_in_virtual_time,
    wait_for,
)

if TYPE_CHECKING:
    from greengagefall.gateway.model import ServerEntry

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


class ReleaseForDispatcherTests(VirtualTimeTestCase):
    """A host that does not dispatch a server is asked to have it release keys."""

    def release(
        self,
        *,
        own_keys: bool = False,
        listed: bool = True,
        newer_ms: int = 0,
        reached: bool = True,
        current: bool = True,
    ):
        """Returns the outcome, and whether the server knows the fence of the order by then."""
        return self.loop.run_until_complete(
            self._release(own_keys, listed, newer_ms, reached, current)
        )

    async def _release(
        self, own_keys: bool, listed: bool, newer_ms: int, reached: bool, current: bool
    ):
        simulation = Simulation(self.loop, seed=1)
        delivery = asyncio.create_task(simulation.deliver_records())
        await asyncio.sleep(SETTLED_S)
        assignment = next(iter(simulation.hosts.values())).view.assignment
        own, other = assignment.key_ranges[SERVICE][:2]
        dispatcher = assignment.dispatchers[own.owner.server_id].dispatcher.host
        asked = next(one for one in simulation.hosts.values() if one.name != dispatcher)
        server = simulation.servers[own.owner.server_id]
        if not listed:
            asked.view.remove_server(own.owner.server_id)
        if not reached:
            simulation.cuts.add(frozenset((asked.name, server.name)))
        if not current:
            asked.view.is_assignment_current = lambda: False
        if newer_ms:
            asked.view.update_server(server.entry()._replace(start_ms=newer_ms))
        first, last = (own.first, own.last) if own_keys else (other.first, other.last)
        order = ReleaseKeys(0, assignment.version, *own.owner, first, last, assignment.last_fence)
        outcome = await asked.channels.release(order)
        known = server.fences[-1]
        for one in simulation.hosts.values():
            await one.kill()
        delivery.cancel()
        return outcome, known == (first, last, assignment.last_fence)

    def test_keys_that_the_server_does_not_own_are_released(self):
        outcome, told = self.release()
        self.assertTrue(outcome.released)
        self.assertTrue(told)

    def test_keys_that_the_server_owns_are_not_released(self):
        # A release ends a newer grant, too.
        self.assertEqual(self.release(own_keys=True), (None, False))

    def test_a_server_without_an_entry_is_not_asked(self):
        self.assertEqual(self.release(listed=False), (None, False))

    def test_a_server_that_restarted_is_not_asked(self):
        self.assertEqual(self.release(newer_ms=10**6), (None, False))

    def test_a_host_that_was_told_nothing_new_for_long_releases_nothing(self):
        # A late order reached a host that had not heard that the server owned the keys again.
        self.assertEqual(self.release(current=False), (None, False))

    def test_a_release_without_an_answer_tells_nothing_of_the_grants_of_others(self):
        # "All grants of this host have expired" was taken for those of its killed process.
        self.assertEqual(self.release(reached=False), (None, False))


class TellingHostTests(VirtualTimeTestCase):
    """A host tells a server of newer fencing tokens only while that is its task."""

    async def settle(self) -> None:
        self.simulation = Simulation(self.loop, seed=1)
        delivery = asyncio.create_task(self.simulation.deliver_records())
        await asyncio.sleep(SETTLED_S)
        for one in self.simulation.hosts.values():
            await one.kill()
        delivery.cancel()

    async def replace(self, entry: ServerEntry) -> None:
        for host in self.simulation.hosts.values():
            host.view.update_server(entry)
            host.channels.close()

    def tellers(self, server: str) -> list[str]:
        """Returns the names of the hosts that would tell a server."""
        found = self.simulation.servers[server]
        return [
            host.name
            for host in self.simulation.hosts.values()
            if host.channels._may_tell(found.entry().incarnation, found.entry().address)
        ]

    def test_only_the_dispatcher_tells_its_server(self):
        # A former dispatcher may have missed that the server owns keys again.
        self.loop.run_until_complete(self.settle())
        assignment = next(iter(self.simulation.hosts.values())).view.assignment
        for server, dispatching in assignment.dispatchers.items():
            self.assertEqual(self.tellers(server), [dispatching.dispatcher.host])

    def test_nobody_tells_a_server_whose_process_was_replaced(self):
        # The later process would lose keys that it was granted.
        self.loop.run_until_complete(self.settle())
        for number, changes in enumerate(({"start_ms": 99}, {"start_ms": 99, "server_id": "new"})):
            server = self.simulation.servers[f"s{number}"]
            self.assertEqual(len(self.tellers(server.name)), 1)
            self.loop.run_until_complete(self.replace(server.entry()._replace(**changes)))
            with self.subTest(changes=changes):
                self.assertEqual(self.tellers(server.name), [])


class RestartedDispatcherTests(unittest.TestCase):
    """A dispatcher starts again while the coordinator orders it to release keys."""

    SEEDS = range(6)
    RESTART_S = 0.05
    RECOVERY_S = 3.0

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def restart_during_move(self, seed: int, loop: VirtualLoop) -> list[str]:
        """Returns the violations; the server holds keys, and answers no host."""
        simulation = Simulation(loop, seed)
        delivery = asyncio.create_task(simulation.deliver_records())
        await asyncio.sleep(SETTLED_S)
        coordinating = next(one for one in simulation.hosts.values() if one.handlers.coordinator)
        server_id, name = next(
            (server_id, dispatching.dispatcher.host)
            for server_id, dispatching in coordinating.view.assignment.dispatchers.items()
            if dispatching.dispatcher.host != coordinating.name
        )
        server, killed = simulation.servers[server_id], simulation.hosts[name]
        renewed_until_s = server.held_now()[0].end_s
        await wait_for(lambda: server.held_now()[0].end_s != renewed_until_s)
        server.calls_pass.clear()
        await killed.kill()
        server.draining = True
        version = coordinating.view.assignment.version
        await wait_for(lambda: coordinating.view.assignment.version != version)
        # The coordinator can't write yet that the dispatcher's process is another one.
        simulation.cuts.add(frozenset((coordinating.name, "store")))
        await asyncio.sleep(self.RESTART_S)
        simulation.start_host(killed.name, killed.zone)
        await asyncio.sleep(self.RECOVERY_S)
        for one in simulation.hosts.values():
            await one.kill()
        delivery.cancel()
        return simulation.violations

    def test_the_grants_of_the_killed_process_are_waited_for(self):
        # Its next process has no channel, and answered that all of its grants had expired.
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_in_virtual_time(partial(self.restart_during_move, seed)), [])


if __name__ == "__main__":
    unittest.main()
