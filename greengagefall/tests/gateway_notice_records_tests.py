"""Tests in virtual time of the records of pending notices and of their delivery."""

from __future__ import annotations

import asyncio
import json
import unittest
from types import SimpleNamespace

from result import Err, Ok

from greengagefall.dispatch.connection_pool import HttpAnswer
from greengagefall.dispatch.exceptions import NotSentError
from greengagefall.gateway.model import ServerEntry
from greengagefall.gateway.notice_delivery import FAST_RETRIES_S, NoticeDelivery
from greengagefall.gateway.notice_records import (
    MAX_WAIT_S,
    NOTICES_PREFIX,
    NoticeRecords,
    StoredNotices,
    decode_notices,
    encode_notices,
)
from greengagefall.gateway.server_addresses import ADDRESSES_KEY, ServerAddresses
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import Assignment, HostIncarnation, KeyRange, ServerIncarnation
from greengagefall.ownership.pending_notices import MAX_NOTICES, NoticeRecord, PendingNotice
from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.store import KeyValue
from greengagefall.store.exceptions import StoreUnavailableError
from greengagefall.tests.virtual_time import LoopClock, VirtualTimeTestCase

SERVICE = "proofdesk"
ADDRESS = "10.0.0.1:1"
SERVER, OTHER = ServerIncarnation("s0", 1), ServerIncarnation("s1", 1)
NOTICE, NEXT = PendingNotice(0, 9, 7), PendingNotice(20, 29, 8)
RECORD = NoticeRecord(SERVER, SERVICE, ADDRESS, (NOTICE,))
SETTLED_S = 2.0


def entry_of(server: ServerIncarnation, address: str = ADDRESS) -> ServerEntry:
    return ServerEntry(server.server_id, SERVICE, address, "a", 6, False, 0.0, server.start_ms)


class FakeStore:
    """Keeps key-values; may be silent."""

    def __init__(self) -> None:
        self.key_values: dict[str, KeyValue] = {}
        self.writes = 0
        self.silent = False
        self._revision = 1

    async def get(self, key):
        await asyncio.sleep(0.004)
        return Err(StoreUnavailableError("silent")) if self.silent else Ok(self.key_values.get(key))

    async def txn(self, expected, puts, deletes=()):
        await asyncio.sleep(0.004)
        if self.silent:
            return Err(StoreUnavailableError("silent"))
        for key, revision in expected.items():
            found = self.key_values.get(key)
            if (found.mod_revision if found else 0) != revision:
                return Ok(None)
        self.writes += 1
        self._revision += 1
        for put in puts:
            self.key_values[put.key] = KeyValue(put.key, put.value, self._revision)
        for key in deletes:
            self.key_values.pop(key, None)
        return Ok(self._revision)

    def record(self, server: ServerIncarnation) -> NoticeRecord | None:
        key = NOTICES_PREFIX + server.server_id
        found = self.key_values.get(key)
        return None if found is None else decode_notices(key, found.value)


class FakePool:
    """Connections to one server; records the releases that are sent.

    Attributes:
        status: Status of the answers; 0 while the server is not reached.
    """

    def __init__(self) -> None:
        self.status = 0
        self.sent: list[bytes] = []
        self.tries = 0

    async def exchange(self, request, timeout_s, may_send, matches=None):
        self.tries += 1
        await asyncio.sleep(0.001)
        if not self.status:
            raise NotSentError("not reached")
        if not may_send():
            raise NotSentError("not allowed")
        self.sent.append(request.body)
        return HttpAnswer(self.status, {}, b"")

    def close(self) -> None:
        return


class PendingNoticesTestCase(VirtualTimeTestCase):
    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.view = ClusterView(SimpleNamespace(), HostIncarnation("h0", 1), LoopClock(self.loop))
        self.view.hosts["h0"] = HostRecord("h0", 1, "", "a", 1.0)

    def run_for(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))


class NoticeRecordsTests(PendingNoticesTestCase):
    def setUp(self):
        super().setUp()
        self.address = ADDRESS
        self.records = NoticeRecords(self.store, self.view, lambda server: self.address)
        self.addCleanup(self.records.close)

    def add(self, *added: tuple[ServerIncarnation, PendingNotice]) -> float:
        """Adds notices at once; returns how long that took."""

        async def run() -> None:
            await asyncio.gather(*(self.records.add(one, SERVICE, notice) for one, notice in added))

        started_s = self.loop.time()
        self.loop.run_until_complete(run())
        return self.loop.time() - started_s

    def test_notices_of_several_servers_are_written_at_once(self):
        self.add((SERVER, NOTICE), (SERVER, NEXT), (OTHER, NOTICE))
        self.assertEqual(self.store.writes, 1)
        self.assertEqual(self.store.record(SERVER).notices, (NOTICE, NEXT))
        self.assertEqual(self.store.record(OTHER).notices, (NOTICE,))

    def test_a_record_that_others_changed_is_read_and_kept(self):
        self.add((SERVER, NOTICE))
        key = NOTICES_PREFIX + SERVER.server_id
        by_other = RECORD._replace(notices=(PendingNotice(50, 59, 9),))
        self.store.key_values[key] = KeyValue(key, encode_notices(by_other), 99)
        self.add((SERVER, NEXT))
        self.assertEqual(self.store.record(SERVER).notices, (NEXT, *by_other.notices))

    def test_a_record_that_was_delivered_is_written_again(self):
        self.add((SERVER, NOTICE))
        self.store.key_values.clear()
        self.add((SERVER, NEXT))
        self.assertEqual(self.store.record(SERVER).notices, (NEXT,))

    def test_keys_do_not_wait_long_for_a_silent_store_and_the_record_follows(self):
        self.store.silent = True
        self.assertLess(self.add((SERVER, NOTICE)), MAX_WAIT_S + 0.1)
        self.store.silent = False
        self.run_for(SETTLED_S)
        self.assertEqual(self.store.record(SERVER).notices, (NOTICE,))

    def test_nothing_is_recorded_of_a_process_that_has_ended(self):
        self.view.update_server(entry_of(SERVER._replace(start_ms=2)))
        self.add((SERVER, NOTICE))
        self.assertIsNone(self.store.record(SERVER))

    def test_too_many_notices_become_one_under_the_highest_token(self):
        notices = tuple(PendingNotice(10 * n, 10 * n, n + 1) for n in range(MAX_NOTICES + 1))
        record = RECORD._replace(notices=()).add_all(notices)
        self.assertEqual(record.notices, (PendingNotice(0, 10 * MAX_NOTICES, MAX_NOTICES + 1),))

    def test_odd_records_are_rejected(self):
        key = NOTICES_PREFIX + SERVER.server_id
        valid = encode_notices(RECORD)
        self.assertEqual(decode_notices(key, valid), RECORD)
        for value in (
            b"[]",
            valid.replace(b"[0, 9, 7]", b"[9, 0, 7]"),
            valid.replace(b"[0, 9, 7]", b"[0, true, 7]"),
            valid.replace(b"[[0, 9, 7]]", b"7"),
            valid.replace(b"s0", b"s1"),
            valid.replace(ADDRESS.encode(), b"nowhere"),
        ):
            with self.assertRaises(RecordError):
                decode_notices(key, value)

    def test_addresses_are_written_once_and_known_to_the_next_coordinator(self):
        addresses, next_one = ServerAddresses(self.store), ServerAddresses(self.store)
        addresses.note([entry_of(SERVER), entry_of(OTHER, "10.0.0.2:1")])
        puts = addresses.changed({SERVER.server_id})
        self.loop.run_until_complete(self.store.txn({}, puts))
        addresses.note_written()
        self.assertEqual(addresses.changed({SERVER.server_id}), [])
        self.loop.run_until_complete(next_one.read())
        self.assertEqual(next_one.find(SERVER), ADDRESS)
        self.assertEqual(next_one.find(SERVER._replace(start_ms=2)), "")
        self.store.key_values[ADDRESSES_KEY] = KeyValue(ADDRESSES_KEY, b'{"s0": 1}', 9)
        self.loop.run_until_complete(next_one.read())
        self.assertEqual(next_one.find(SERVER), ADDRESS)


class NoticeDeliveryTests(PendingNoticesTestCase):
    def setUp(self):
        super().setUp()
        self.pool = FakePool()
        self.delivery = NoticeDelivery(
            self.view,
            self.store,
            LoopClock(self.loop),
            lambda address: self.pool,
            lambda host: False,
        )
        self.loop.run_until_complete(self.start())
        self.addCleanup(self.run_for, 0.1)
        self.addCleanup(self.delivery.close)
        key = NOTICES_PREFIX + SERVER.server_id
        self.store.key_values[key] = KeyValue(key, encode_notices(RECORD), 5)
        self.view.pending_notices[SERVER.server_id] = StoredNotices(RECORD, 5)

    async def start(self) -> None:
        self.delivery.start()

    def update_server(self, entry: ServerEntry) -> None:
        async def update() -> None:
            self.view.update_server(entry)

        self.loop.run_until_complete(update())

    def test_a_server_that_is_reached_again_is_told_at_once_and_the_record_deleted(self):
        self.run_for(SETTLED_S)
        self.pool.status = 200
        self.run_for(0.3)
        self.assertEqual(len(self.pool.sent), 1)
        self.assertIsNone(self.store.record(SERVER))

    def test_another_process_at_the_address_ends_the_record(self):
        self.pool.status = 421
        self.run_for(SETTLED_S)
        self.assertIsNone(self.store.record(SERVER))

    def test_a_later_process_of_the_server_ends_the_record(self):
        self.run_for(SETTLED_S)
        self.update_server(entry_of(SERVER._replace(start_ms=2)))
        self.run_for(SETTLED_S)
        self.assertEqual(self.pool.sent, [])
        self.assertIsNone(self.store.record(SERVER))

    def test_a_failure_of_the_server_does_not_end_the_record(self):
        self.pool.status = 500
        self.run_for(SETTLED_S)
        self.assertEqual(self.store.record(SERVER), RECORD)

    def test_keys_that_the_server_owns_are_left_out(self):
        owned = (KeyRange(5, 9, SERVER, 8),)
        self.view.assignment = Assignment(1, 8, {SERVICE: owned}, {})
        self.pool.status = 200
        self.run_for(SETTLED_S)
        sent = [json.loads(body) for body in self.pool.sent]
        self.assertEqual([(one["from"], one["target"]) for one in sent], [(0, 4)])

    def test_a_server_that_may_own_keys_by_a_newer_assignment_is_not_told(self):
        self.update_server(entry_of(SERVER))
        self.view.assignment = Assignment(1, 8, {}, {})
        self.pool.status = 200
        self.run_for(SETTLED_S)
        self.assertEqual(self.pool.sent, [])
        self.view.confirm_assignment(1, self.loop.time())
        self.run_for(SETTLED_S)
        self.assertEqual(len(self.pool.sent), 1)

    def test_a_host_without_an_assignment_tells_a_server_that_is_listed_again(self):
        self.update_server(entry_of(SERVER))
        self.pool.status = 200
        self.run_for(SETTLED_S)
        self.assertEqual(len(self.pool.sent), 1)

    def test_a_host_that_has_not_read_the_entries_waits(self):
        self.view.knows_entries = lambda: False
        self.pool.status = 200
        self.run_for(SETTLED_S)
        self.assertEqual(self.pool.sent, [])

    def test_a_server_that_stays_away_is_tried_less_often(self):
        self.run_for(FAST_RETRIES_S + 1.0)
        before = self.pool.tries
        self.run_for(10.0)
        self.assertLessEqual(self.pool.tries - before, 11)
        self.assertEqual(self.store.record(SERVER), RECORD)


if __name__ == "__main__":
    unittest.main()
