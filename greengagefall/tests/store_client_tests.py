"""Tests of the clients of the store and the host list against stand-ins of the services."""

from __future__ import annotations

import asyncio
import contextlib
import random
import unittest

from greengagefall.standins.host_list import HostListService
from greengagefall.standins.kv_service import KvFaults, KvService
from greengagefall.standins.kv_state import PutOp
from greengagefall.standins.memory_store import MemoryStore
from greengagefall.store import etcd_json
from greengagefall.store.backoff import BACKOFF_CAP_S, Backoff
from greengagefall.store.client import StoreClient
from greengagefall.store.exceptions import (
    HostListError,
    StoreCompactedError,
    StoreLeaseLostError,
    StoreOutcomeUnknownError,
    StoreRecordError,
    StoreRefusedError,
    StoreUnavailableError,
)
from greengagefall.store.host_list import HostListClient, ListedHost
from greengagefall.store.model import Compare, Put, absent, exists, unchanged
from greengagefall.tests.waiting import eventually
from greengagefall.utils.clock import ManualClock
from greengagefall.utils.token_bucket import TokenBucket

SHORT_TIMEOUT_S = 0.2


class StoreClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.service = KvService("127.0.0.1:0")
        await self.service.start()
        self.addAsyncCleanup(self.service.close)
        self.client = await self.make_client()

    async def make_client(self, **options):
        client = StoreClient(self.service.address, host="h1", zone="z1", **options)
        await client.start()
        self.addAsyncCleanup(client.close)
        return client

    def put_raw(self, key, value):
        self.service.state.write([PutOp(key.encode(), value, 0)])

    async def collect(self, watch, wanted):
        seen = []
        async with contextlib.aclosing(watch) as events:
            async for event in events:
                seen.append(event)
                if len(seen) == wanted:
                    break
        return seen

    async def test_create_get_replace_and_range(self):
        self.assertIsNone((await self.client.get("a/1")).unwrap())
        self.assertTrue((await self.client.create("a/1", {"n": 1})).unwrap())
        self.assertFalse((await self.client.create("a/1", {"n": 2})).unwrap())
        key_value = (await self.client.get("a/1")).unwrap()
        self.assertEqual(key_value.value, {"n": 1})
        self.assertTrue(
            (await self.client.replace("a/1", {"n": 3}, key_value.mod_revision)).unwrap()
        )
        self.assertFalse(
            (await self.client.replace("a/1", {"n": 4}, key_value.mod_revision)).unwrap()
        )
        await self.client.create("a/2", {})
        await self.client.create("b/1", {})
        key_values, revision = (await self.client.range("a/")).unwrap()
        self.assertEqual([key_value.key for key_value in key_values], ["a/1", "a/2"])
        self.assertEqual(key_values[0].value, {"n": 3})
        self.assertEqual(revision, self.service.state.revision)

    async def test_transactions_apply_all_or_nothing(self):
        await self.client.create("a", {"n": 1})
        revision = (await self.client.get("a")).unwrap().mod_revision
        conditions = [
            exists("a"),
            absent("b"),
            unchanged("a", revision),
            Compare("a", "VALUE", {"n": 1}),
        ]
        outcome = (await self.client.txn(conditions, [Put("b", {})], ["a"])).unwrap()
        self.assertTrue(outcome.succeeded)
        self.assertFalse((await self.client.txn(conditions, [Put("c", {})])).unwrap().succeeded)
        key_values, _ = (await self.client.range("")).unwrap()
        self.assertEqual([key_value.key for key_value in key_values], ["b"])

    async def test_transaction_that_writes_a_key_twice_is_refused(self):
        for store in (self.client, MemoryStore()):
            puts = await store.txn([], [Put("a", {}), Put("a", {})])
            delete = await store.txn([], [Put("a", {})], ["a"])
            for refused in (puts, delete):
                self.assertIsInstance(refused.unwrap_err(), StoreRefusedError)

    async def test_delete_range_excludes_the_end(self):
        for key in ("d/1", "d/2", "d/3"):
            await self.client.create(key, {})
        self.assertEqual((await self.client.delete_range("d/1", "d/3")).unwrap(), 2)
        self.assertIsNotNone((await self.client.get("d/3")).unwrap())

    async def test_too_large_writes_are_refused_without_sending(self):
        big = await self.client.create("a", {"text": "x" * etcd_json.MAX_VALUE_BYTES})
        many = await self.client.txn([], [], ["k"] * (etcd_json.MAX_TXN_OPS + 1))
        for refused in (big, many):
            self.assertIsInstance(refused.unwrap_err(), StoreRefusedError)
        self.assertEqual(self.service.counts["txn"], 0)

    async def test_expired_lease_deletes_its_keys(self):
        lease_id = (await self.client.lease_grant(5)).unwrap()
        self.assertTrue((await self.client.create("c", {}, lease_id)).unwrap())
        self.assertEqual((await self.client.lease_keepalive(lease_id)).unwrap(), 5)
        self.service.state.expire_leases(float("inf"))
        self.assertIsNone((await self.client.get("c")).unwrap())
        self.assertEqual((await self.client.lease_keepalive(lease_id)).unwrap(), 0)
        expired = await self.client.create("c", {}, lease_id)
        self.assertIsInstance(expired.unwrap_err(), StoreLeaseLostError)

    async def test_write_with_a_lost_answer_has_an_unknown_outcome(self):
        self.service.faults = KvFaults(lose_answers=1)
        lost = await self.client.create("a", {"n": 1})
        self.assertIsInstance(lost.unwrap_err(), StoreOutcomeUnknownError)
        self.assertEqual((await self.client.get("a")).unwrap().value, {"n": 1})

    async def test_outage_gives_unknown_outcome_for_writes_and_unavailable_for_reads(self):
        client = await self.make_client(call_timeout_s=SHORT_TIMEOUT_S)
        for faults in (KvFaults(outage="refuse"), KvFaults(outage="hang")):
            with self.subTest(faults=faults):
                self.service.set_faults(faults)
                write, read = await client.create("a", {}), await client.get("a")
                self.assertIsInstance(write.unwrap_err(), StoreOutcomeUnknownError)
                self.assertIsInstance(read.unwrap_err(), StoreUnavailableError)

    async def test_cut_hosts_and_zones_get_no_answer(self):
        client = await self.make_client(call_timeout_s=SHORT_TIMEOUT_S)
        for faults in (KvFaults(cut_hosts=("h1",)), KvFaults(cut_zones=("z1",))):
            self.service.set_faults(faults)
            self.assertTrue((await client.get("a")).is_err())
        self.service.set_faults(KvFaults(cut_hosts=("h2",), cut_zones=("z2",)))
        self.assertTrue((await client.get("a")).is_ok())

    async def test_closed_client_and_refused_connection_are_unavailable(self):
        address = self.service.address
        await self.service.close()
        client = StoreClient(address)
        closed = await client.create("a", {})
        await client.start()
        refused = await client.create("a", {})
        await client.close()
        self.assertIsInstance(closed.unwrap_err(), StoreUnavailableError)
        self.assertIsInstance(refused.unwrap_err(), StoreUnavailableError)

    async def test_malformed_records_give_record_errors(self):
        for value in (b"{", b"[1]", b"\xff", b""):
            self.put_raw("bad", value)
            for read in (await self.client.get("bad"), await self.client.range("b")):
                self.assertIsInstance(read.unwrap_err(), StoreRecordError)
                self.assertEqual(read.unwrap_err().key, "bad")

    async def test_calls_over_the_rate_limit_are_refused_without_sending(self):
        client = await self.make_client(calls_per_s=2)
        calls = [client.get("a") for _ in range(8)]
        results = await asyncio.gather(*calls)
        refused = [result for result in results if result.is_err()]
        self.assertEqual(len(refused), 4)
        self.assertEqual(self.service.counts["range"], 4)

    async def test_watch_reports_past_and_new_changes_across_renewals(self):
        client = await self.make_client(watch_renew_s=0.05)
        await client.create("w/0", {})
        start = self.service.state.revision
        await client.create("x", {})
        watching = asyncio.create_task(self.collect(client.watch("w/", start), 4))
        await eventually(lambda: self.service.counts["watch"] >= 3)
        await client.txn([], [Put("w/1", {"n": 1}), Put("w/2", {})], ["w/0"])
        seen = [
            (event.kind, event.key_value.key, event.key_value.value) for event in await watching
        ]
        expected = [("put", "w/0", {}), ("put", "w/1", {"n": 1}), ("put", "w/2", {})]
        self.assertEqual(seen, [*expected, ("delete", "w/0", {})])

    async def test_failed_watches_raise_typed_errors(self):
        self.put_raw("w/1", b"nonsense")
        with self.assertRaises(StoreRecordError):
            await anext(self.client.watch("w/", 1))
        self.service.state._compacted_revision = 5
        with self.assertRaises(StoreCompactedError):
            await anext(self.client.watch("w/", 2))
        waiting = asyncio.create_task(self.collect(self.client.watch("w/", 50), 1))
        await eventually(lambda: self.service.watches)
        self.service.set_faults(KvFaults(outage="refuse"))
        with self.assertRaises(StoreUnavailableError):
            await waiting

    async def test_watch_of_a_hanging_store_is_unavailable(self):
        client = await self.make_client(call_timeout_s=SHORT_TIMEOUT_S)
        self.service.set_faults(KvFaults(outage="hang"))
        with self.assertRaises(StoreUnavailableError):
            await anext(client.watch("w/", 1))

    async def test_closed_watch_closes_its_connection(self):
        watch = self.client.watch("w/", 1)
        self.put_raw("w/1", b"{}")
        await anext(watch)
        self.assertEqual(len(self.service.watches), 1)
        await watch.aclose()
        await eventually(lambda: not self.service.watches)


class CallRateTests(unittest.TestCase):
    def test_token_bucket_limits_the_rate(self):
        clock = ManualClock()
        bucket = TokenBucket(10, 2, clock)
        self.assertEqual([bucket.reserve() for _ in range(3)], [0.0, 0.0, 0.1])
        clock.advance(0.2)
        self.assertEqual(bucket.reserve(), 0.0)

    def test_backoff_grows_to_its_cap_with_full_jitter(self):
        backoff = Backoff(random.Random(1))
        self.assertEqual(backoff.delay_s(), 0)
        for _ in range(100):
            backoff.record_failure()
        delays = [backoff.delay_s() for _ in range(200)]
        self.assertLess(max(delays), BACKOFF_CAP_S)
        self.assertLess(min(delays), BACKOFF_CAP_S / 10)
        self.assertGreater(max(delays), BACKOFF_CAP_S * 0.9)
        backoff.reset()
        self.assertEqual(backoff.delay_s(), 0)


class HostListTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.service = HostListService("127.0.0.1:0")
        await self.service.start()
        self.addAsyncCleanup(self.service.close)
        self.client = HostListClient(self.service.address)
        await self.client.start()
        self.addAsyncCleanup(self.client.close)

    def register(self, host, state="live", now_s=0.0):
        labels = {"host": host, "zone": "tanta", "state": state, "http": "127.0.0.1:2"}
        self.service.register({"targets": ["127.0.0.1:1"], "labels": labels}, now_s)

    async def test_live_and_leaving_hosts_are_listed(self):
        self.register("e1")
        self.register("e2", "leaving")
        self.register("e3")
        self.register("e3", "removed")
        hosts = (await self.client.fetch()).unwrap()
        first = ListedHost("e1", "tanta", "127.0.0.1:1", "127.0.0.1:2", "live")
        self.assertEqual(hosts, [first, first._replace(host="e2", state="leaving")])

    def test_changes_are_listed_after_the_lag(self):
        self.service.faults = self.service.faults._replace(lag_s=5.0)
        self.register("e1", now_s=10.0)
        self.assertEqual(self.service.entries(14.9), [])
        self.assertEqual(len(self.service.entries(15.0)), 1)

    async def test_malformed_entries_are_omitted_and_outages_are_errors(self):
        self.register("e1")
        self.register("e2", "asleep")
        labels = {"host": "e3", "state": "live"}
        self.service.register({"targets": [], "labels": labels}, 0.0)
        self.assertEqual([host.host for host in (await self.client.fetch()).unwrap()], ["e1"])
        self.service.faults = self.service.faults._replace(down=True)
        self.assertIsInstance((await self.client.fetch()).unwrap_err(), HostListError)
