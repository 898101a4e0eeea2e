"""Tests of confirming writes whose answer or effect is lost."""

from __future__ import annotations

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from greengagefall.standins.memory_store import MemoryStore
from greengagefall.store.confirmed_writes import create_confirmed, replace_confirmed
from greengagefall.store.exceptions import (
    StoreLeaseLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from greengagefall.tests.waiting import eventually

KEY = "a/1"


class NoDelay(random.Random):
    """Random number generator that makes every delay zero."""

    def uniform(self, a, b):
        return 0.0


def has_id(change_id):
    return lambda value: value.get("id") == change_id


async def create(store, change_id, **options):
    value = {"id": change_id}
    return await create_confirmed(
        store, KEY, value, has_id(change_id), rng=random.Random(1), **options
    )


class ConfirmTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()

    async def test_write_with_a_lost_answer_is_confirmed_as_own(self):
        self.store.lose_next_answers = 1
        self.assertEqual(await create(self.store, "x"), Ok(True))
        self.assertEqual(await create(self.store, "y"), Ok(False))

    async def test_lost_write_is_sent_again(self):
        self.store.lose_next_writes = 2
        self.assertEqual(await create(self.store, "x"), Ok(True))

    async def test_replace_recognises_its_own_value(self):
        await self.store.create(KEY, {"id": "old"})
        revision = (await self.store.get(KEY)).unwrap().mod_revision
        self.store.lose_next_answers = 1
        first = await replace_confirmed(self.store, KEY, {"id": "x"}, revision, has_id("x"))
        second = await replace_confirmed(self.store, KEY, {"id": "y"}, revision, has_id("y"))
        self.assertEqual((first, second), (Ok(True), Ok(False)))

    async def test_replace_of_a_deleted_key_fails(self):
        replaced = await replace_confirmed(self.store, KEY, {"id": "x"}, 7, has_id("x"))
        self.assertEqual(replaced, Ok(False))

    async def test_outage_gives_an_error_instead_of_a_result(self):
        self.store.down = True
        down = await create(self.store, "x", timeout_s=0)
        self.store.down = False
        self.store.lose_next_writes = 1
        lost = await create(self.store, "x", timeout_s=0)
        self.assertIsInstance(down, Err)
        self.assertIsInstance(down.err_value, StoreUnavailableError)
        self.assertIsInstance(lost.err_value, StoreOutcomeUnknownError)

    async def test_write_is_confirmed_after_the_outage(self):
        self.store.down = True
        creating = asyncio.create_task(create(self.store, "x"))
        await eventually(lambda: self.store.calls >= 3)
        self.store.down = False
        self.assertEqual(await creating, Ok(True))

    async def test_nonexistent_lease_is_an_error(self):
        refused = await create(self.store, "x", lease_id=99)
        self.assertIsInstance(refused.err_value, StoreLeaseLostError)


class ConfirmRaceTests(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), min_size=2, max_size=4),
        st.booleans(),
    )
    def test_exactly_one_of_several_writers_succeeds(self, losses, replaces):
        asyncio.run(self.race(losses, replaces))

    async def race(self, losses, replaces):
        base = MemoryStore()
        if replaces:
            await base.create(KEY, {"id": "old"})
        revision = (await base.get(KEY)).unwrap().mod_revision if replaces else 0
        writers = []
        for number, (answers, writes) in enumerate(losses):
            store = MemoryStore(base.state)
            store.lose_next_answers, store.lose_next_writes = answers, writes
            value, is_own_value = {"id": number}, has_id(number)
            writers.append(
                replace_confirmed(store, KEY, value, revision, is_own_value, rng=NoDelay())
            )
        succeeded = [result.unwrap() for result in await asyncio.gather(*writers)]
        stored = (await base.get(KEY)).unwrap().value["id"]
        self.assertEqual(succeeded, [number == stored for number in range(len(losses))])


class MemoryStoreTests(unittest.IsolatedAsyncioTestCase):
    async def test_stores_with_a_shared_state_see_watches_and_leases(self):
        first = MemoryStore()
        second = MemoryStore(first.state)
        watch = second.watch("a/", 1)
        lease_id = (await first.lease_grant(5)).unwrap()
        await first.create(KEY, {"id": 1}, lease_id)
        put = await anext(watch)
        await first.lease_revoke(lease_id)
        delete = await anext(watch)
        self.assertEqual((put.kind, delete.kind), ("put", "delete"))
        second.end_watches()
        with self.assertRaises(StoreUnavailableError):
            await anext(watch)

    async def test_malformed_record_is_an_error(self):
        store = MemoryStore()
        store.put_raw("a/1", b"no")
        self.assertTrue((await store.get("a/1")).is_err())
