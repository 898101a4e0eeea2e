"""Tests of records of hosts and of the assignment that another writer left in the store."""

from __future__ import annotations

import json
import logging
import unittest
from unittest import mock

import cbor2
from hypothesis import given
from hypothesis import strategies as st
from result import Err
from tornado.httputil import HTTPHeaders

from greengagefall.dispatch.connection_pool import ConnectionPool, HttpAnswer
from greengagefall.gateway.records import (
    COORDINATOR_KEY,
    HOST_PREFIX,
    MemberRecords,
    decode_coordinator,
    decode_host,
    encode_coordinator,
    encode_host,
)
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership import rows
from greengagefall.ownership.exceptions import AssignmentError
from greengagefall.ownership.model import HostIncarnation
from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.store import KeyValue, PlatformStore
from greengagefall.standins.platform_store import PlatformStoreStandIn
from greengagefall.utils.clock import SystemClock

RECORD = HostRecord("edge-a", 17, "10.0.0.1:7660", "a", 1.5, True, 20.0, reads_kinds=True)
KEY = HOST_PREFIX + RECORD.host
NESTED = b"[" * 100_000
# Sound rows: last key, owner, fence and source; dispatcher.
ROWS = {"s/0": [65_535, "i-1", 17, 3, "", 0], "@i-1": ["edge-a", 17]}
CBOR_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(max_size=4),
    lambda values: st.lists(values, max_size=7) | st.dictionaries(st.text(), values, max_size=3),
    max_leaves=8,
)


class OddMemberTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_sound_records_are_decoded_unchanged(self):
        self.assertEqual(decode_host(KEY, encode_host(RECORD)), RECORD)
        self.assertEqual(
            decode_coordinator(encode_coordinator(RECORD.incarnation)), RECORD.incarnation
        )

    def test_an_odd_record_of_a_host_changes_nothing(self):
        # A number too large ended the task that follows the hosts, a weight of 0 the coordinator's.
        view = ClusterView(None, HostIncarnation("h", 1), SystemClock())
        records = MemberRecords(view)
        records.put(KeyValue(KEY, encode_host(RECORD), 1))
        for name, raw in (
            *(("start_ms", "1e999"), ("start_ms", "NaN"), ("start_ms", "1.5")),
            *(("weight", "1" + "0" * 400), ("weight", "0"), ("weight", "NaN"), ("weight", "-1")),
            *(("address", '"10.0.0.1:99999"'), ("address", '"nowhere"'), ("zone", '"\\ud800"')),
            *(("host", '"edge-b"'), ("host", "[[]]")),
        ):
            sound = json.dumps(RECORD._asdict())
            value = f"{sound[:-1]},{json.dumps(name)}:{raw}}}".encode()
            with self.subTest(field=name, raw=raw[:9]):
                records.put(KeyValue(KEY, value, 2))
                self.assertEqual(view.hosts, {RECORD.host: RECORD})
        records.put(KeyValue(KEY, NESTED, 2))
        self.assertEqual(view.hosts, {RECORD.host: RECORD})

    def test_an_odd_record_of_the_coordinator_changes_nothing(self):
        view = ClusterView(None, HostIncarnation("h", 1), SystemClock())
        records = MemberRecords(view)
        records.put(KeyValue(COORDINATOR_KEY, encode_coordinator(RECORD.incarnation), 1))
        for value in (
            b'{"host":"x","start_ms":1e999}',
            b'{"host":"x","start_ms":' + b"9" * 400 + b"}",
            b'{"host":"\\ud800","start_ms":1}',
            b'{"host":{},"start_ms":1}',
            NESTED,
        ):
            with self.subTest(value=value[:30]):
                records.put(KeyValue(COORDINATOR_KEY, value, 2))
                self.assertEqual(view.coordinator, RECORD.incarnation)

    def test_a_record_under_the_key_of_another_host_is_refused(self):
        with self.assertRaises(RecordError):
            decode_host(HOST_PREFIX + "edge-b", encode_host(RECORD))


class OddAssignmentTests(unittest.TestCase):
    def test_sound_rows_are_decoded(self):
        rows.decode(cbor2.dumps([4, 3, "edge-a/17#1", ROWS]))

    @given(st.sampled_from(sorted(ROWS)), st.integers(0, 5), CBOR_VALUES)
    def test_any_value_in_a_row_is_refused_or_can_be_used(self, name, index, value):
        row = list(ROWS[name])
        row[index % len(row)] = value
        self.decode_and_use([4, 3, "edge-a/17#1", {**ROWS, name: row}])

    @given(st.integers(0, 3), CBOR_VALUES)
    def test_any_value_beside_the_rows_is_refused_or_can_be_used(self, index, value):
        fields = [4, 3, "edge-a/17#1", ROWS]
        fields[index] = value
        self.decode_and_use(fields)

    def decode_and_use(self, fields):
        # A coordinator and all hosts that read the store failed on a fence that is no number.
        try:
            assignment = rows.decode(cbor2.dumps(fields))
        except AssignmentError:
            return
        rows.encode(assignment._replace(version=assignment.version + 1), "w")
        assignment.find_key_range("s", 5)
        for key_ranges in assignment.key_ranges.values():
            for key_range in key_ranges:
                self.assertGreaterEqual(key_range.fence + key_range.size + key_range.first, 0)
                json.dumps(key_range)

    def test_deep_nesting_is_refused(self):
        for value in (b"\x81" * 100_000, b"\x81" * 300 + b"\x00", b"\xa1" * 100_000):
            with self.subTest(value=value[:4]), self.assertRaises(AssignmentError):
                rows.decode(value)


class OddKeyTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.store = PlatformStoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.client = PlatformStore(self.store.address)
        self.addCleanup(self.client.close)

    async def test_a_key_that_cannot_be_encoded_keeps_no_other_from_being_read(self):
        # Hosts pass the keys on in messages, which such a key makes impossible to encode.
        await self.store.put("servers/a", b"1")
        await self.store.put("servers/\ud800", b"1")
        await self.store.put("servers/z", b"1")
        read = (await self.client.range("servers/")).unwrap()
        self.assertEqual([one.key for one in read.key_values], ["servers/a", "servers/z"])
        changes = (await self.client.watch("servers/", 0, 1.0)).unwrap()
        self.assertEqual([one.key_value.key for one in changes.events], ["servers/a", "servers/z"])
        await self.store.delete("servers/\ud800")
        changes = (await self.client.watch("servers/", changes.revision, 0.1)).unwrap()
        self.assertEqual(changes.events, [])

    async def test_an_answer_that_is_nested_too_deeply_is_an_error(self):
        with mock.patch.object(
            ConnectionPool,
            "exchange",
            mock.AsyncMock(return_value=HttpAnswer(200, HTTPHeaders(), NESTED)),
        ):
            self.assertIsInstance(await self.client.range("servers/"), Err)

    async def test_a_revision_that_is_no_number_is_an_error(self):
        answer = HttpAnswer(200, HTTPHeaders(), b'{"items":[],"at":1e999}')
        with mock.patch.object(ConnectionPool, "exchange", mock.AsyncMock(return_value=answer)):
            self.assertIsInstance(await self.client.range("servers/"), Err)


if __name__ == "__main__":
    unittest.main()
