"""Tests of the election of a zone's coordinator."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from greengagefall.coordinator import election
from greengagefall.coordinator.election import Election, KnownCoordinator
from greengagefall.coordinator.keys import coordinator_key
from greengagefall.standins.memory_store import MemoryStore
from greengagefall.tests.waiting import eventually
from greengagefall.utils.clock import SystemClock

ZONE = "ee-north-a"
TTL_S = 2


class FakeView:
    """A zone view that returns the coordinator and hosts that the test sets."""

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.coordinator = KnownCoordinator("", 0, 3600.0)

    async def known_coordinator(self) -> KnownCoordinator:
        return self.coordinator

    async def hosts(self) -> list[str]:
        return self.names


class ElectionTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.view = FakeView(["h1", "h2", "h3"])
        patch = mock.patch.multiple(election, POLL_INTERVAL_S=0.01, TURN_S=0.02)
        patch.start()
        self.addCleanup(patch.stop)

    def candidate(self, host: str, store: MemoryStore | None = None) -> Election:
        rng = random.Random(host)
        return Election(store or self.store, self.view, host, ZONE, TTL_S, SystemClock(), rng)

    async def record(self) -> dict:
        return (await self.store.get(coordinator_key(ZONE))).ok_value.value

    async def test_one_of_many_wins_and_terms_grow(self):
        candidates = [self.candidate(host) for host in self.view.names]
        tasks = [asyncio.create_task(candidate.campaign_until_won()) for candidate in candidates]
        await eventually(lambda: any(task.done() for task in tasks))
        await asyncio.sleep(0.2)
        self.assertEqual([task.done() for task in tasks].count(True), 1)
        winner = candidates[[task.done() for task in tasks].index(True)]
        self.assertTrue(winner.has_valid_lease)
        self.assertEqual((await self.record())["term"], winner.term)
        await winner.resign()
        self.assertFalse(winner.has_valid_lease)
        await eventually(lambda: [task.done() for task in tasks].count(True) == 2)
        others = [one for one in candidates if one is not winner and one.has_valid_lease]
        self.assertGreater(others[0].term, winner.term)
        for task in tasks:
            task.cancel()

    async def test_lost_answer_is_confirmed_by_reading_back(self):
        candidate = self.candidate("h1")
        create = self.store.create

        async def lossy(*args):
            self.store.lose_next_answers = 1
            return await create(*args)

        self.store.create = lossy
        term = await candidate.campaign_until_won()
        self.assertEqual(await self.record(), {"host": "h1", "term": term})

    async def test_lost_write_does_not_win_the_election(self):
        candidate = self.candidate("h1")
        create, calls = self.store.create, []

        async def lossy(*args):
            calls.append(args)
            self.store.lose_next_writes = 1 if len(calls) == 1 else 0
            return await create(*args)

        self.store.create = lossy
        term = await candidate.campaign_until_won()
        self.assertEqual(len(calls), 2)
        self.assertEqual(await self.record(), {"host": "h1", "term": term})

    async def test_revoked_lease_ends_the_term(self):
        candidate = self.candidate("h1")
        await candidate.campaign_until_won()
        renewing = asyncio.create_task(candidate.renew_lease_until_lost())
        for lease_id in list(self.store.state.leases):
            self.store.state.revoke_lease(lease_id)
        await asyncio.wait_for(renewing, 30)
        self.assertFalse(candidate.has_valid_lease)

    async def test_store_outage_invalidates_the_lease_but_does_not_end_the_term(self):
        candidate = self.candidate("h1")
        await candidate.campaign_until_won()
        renewing = asyncio.create_task(candidate.renew_lease_until_lost())
        self.store.down = True
        await eventually(lambda: not candidate.has_valid_lease)
        self.assertFalse(renewing.done())
        self.store.down = False
        await eventually(lambda: candidate.has_valid_lease or renewing.done())
        renewing.cancel()

    async def test_standby_makes_no_store_call_while_a_coordinator_is_known(self):
        self.view.coordinator = KnownCoordinator("h9", 7, 0.3)
        task = asyncio.create_task(self.candidate("h1").campaign_until_won())
        await asyncio.sleep(0.3)
        self.assertEqual(self.store.calls, 0)
        task.cancel()

    async def test_campaigns_in_an_outage_do_not_grow_with_the_number_of_hosts(self):
        calls = {}
        for host_count in (4, 40):
            self.store = MemoryStore()
            self.store.down = True
            self.view = FakeView([f"h{number}" for number in range(host_count)])
            candidates = [self.candidate(host) for host in self.view.names]
            tasks = [
                asyncio.create_task(candidate.campaign_until_won()) for candidate in candidates
            ]
            await asyncio.sleep(1.6)
            calls[host_count] = self.store.calls
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self.assertGreater(calls[4], 0)
        self.assertLess(calls[40], 2 * calls[4] + 20)
