"""Tests of records that another writer left: none may raise anything but RecordError."""

from __future__ import annotations

import json
import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from greengagefall.dispatch.connection_pool import ConnectionPool
from greengagefall.platform import records
from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.fields import shown
from greengagefall.platform.requests import server_request_headers

SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "maxConcurrency": 6,
    "state": "ready",
    "warmupLeftS": 1.5,
    "sequence": 4,
    "born": 17,
}
NESTED_LEVELS = 900
ODD_NUMBERS = ("NaN", "Infinity", "-Infinity", "1e999", "-1e999", "1" + "0" * 400, "1" * 5000)
ODD_TEXTS = ('""', '"\\ud800"', "[" * NESTED_LEVELS + "]" * NESTED_LEVELS, "null", "{}", "7")
ODD_ADDRESSES = (
    *("10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:²", "10.0.0.1:٣", "10.0.0.1:"),
    *("10.0.0.1", ":80", "host:80", "10.0.0.1:" + "1" * 5000, "10.0.0.1:80\r\nX: y"),
)
ODD_IDS = ("", "i 1", "i-1\r\nX: y", "i-\ud800", "i-é", "i-中")
MAX_MESSAGE_CHARS = 500


def with_field(fields: dict, name: str, raw: str) -> bytes:
    """Returns an object as JSON with the raw text in place of one field's value."""
    parts = [f"{json.dumps(one)}:{json.dumps(value)}" for one, value in fields.items()]
    parts = [part for part in parts if not part.startswith(json.dumps(name) + ":")]
    return ("{" + ",".join([*parts, f"{json.dumps(name)}:{raw}"]) + "}").encode()


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=5,
)


class OddServerEntryTests(unittest.TestCase):
    def assert_refused(self, value: bytes, key: str = "servers/i-1") -> None:
        with self.assertRaises(RecordError) as caught:
            records.decode_server_entry(key, value)
        self.assertLess(len(str(caught.exception)), MAX_MESSAGE_CHARS + len(key))

    def test_numbers_that_cannot_be_computed_with_are_refused(self):
        # An entry with "maxConcurrency":NaN ended the task that follows the servers.
        for name in ("maxConcurrency", "warmupLeftS", "born"):
            for raw in ODD_NUMBERS:
                with self.subTest(field=name, raw=raw[:12]):
                    self.assert_refused(with_field(SERVER, name, raw))

    def test_texts_that_cannot_be_encoded_or_shown_are_refused(self):
        for name in ("service", "address", "zone", "state"):
            for raw in ODD_TEXTS:
                with self.subTest(field=name, raw=raw[:12]):
                    self.assert_refused(with_field(SERVER, name, raw))

    def test_addresses_that_cannot_be_connected_to_are_refused(self):
        for address in ODD_ADDRESSES:
            with self.subTest(address=address[:24]):
                self.assert_refused(with_field(SERVER, "address", json.dumps(address)))

    def test_ids_that_cannot_be_sent_in_a_header_are_refused(self):
        for server_id in ODD_IDS:
            with self.subTest(server_id=server_id):
                self.assert_refused(json.dumps(SERVER).encode(), f"servers/{server_id}")

    def test_values_that_are_no_object_are_refused(self):
        for value in (b"", b"\xff{", b"[" * 100_000, b"{" * 100_000, b"null", b"[]", b'"x"'):
            with self.subTest(value=value[:8]):
                self.assert_refused(value)

    @given(st.sampled_from(sorted(SERVER)), JSON_VALUES)
    def test_any_value_of_any_field_is_refused_or_can_be_used(self, name, value):
        raw = json.dumps(value)
        try:
            entry = records.decode_server_entry("servers/i-1", with_field(SERVER, name, raw))
        except RecordError:
            return
        ConnectionPool(entry.address, 1).close()
        self.assertTrue(math.isfinite(entry.slots * entry.cold_remaining_s + entry.start_ms))
        for text in (entry.service, entry.zone):
            text.encode()
        for row in server_request_headers("h", "r", [], 1.0, entry.server_id):
            "".join(row).encode("latin1")


class ShownTests(unittest.TestCase):
    def test_a_deeply_nested_or_long_value_is_shown_in_short(self):
        nested: list = []
        for _ in range(50_000):
            nested = [nested]
        self.assertLess(len(shown(nested)), 100)
        self.assertLess(len(shown("x" * 1_000_000)), 200)
        # Taken apart level by level, since freeing it at once would recurse.
        while nested:
            nested = nested[0]


if __name__ == "__main__":
    unittest.main()
