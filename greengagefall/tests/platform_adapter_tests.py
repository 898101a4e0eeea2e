"""Tests of decoding the platform's settings, records and headers, malformed ones included."""

from __future__ import annotations

import json
import math
import unittest

from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from greengagefall.gateway.model import NO_KEY
from greengagefall.platform import records, requests
from greengagefall.platform.configuration import decode_routing_table
from greengagefall.platform.exceptions import PlatformSettingsError, RecordError
from greengagefall.platform.settings import parse_platform_settings
from greengagefall.standins.platform_documents import routing

SETTINGS = """
grants=call
self.nodeName=edge-a-1
self.ip=10.1.0.35
self.zone=a
self.limits.cpuShare=0.5
self.limits.cpuCores=2
self.limits.memoryMb=235
network.listen.frontend=10.1.0.35:8144
network.listen.readiness=10.1.0.35:8140
network.portRange=7660,7675
platform.heartbeatS=0.87
platform.platform.address=10.200.1.7:8142
platform.platform.ttlMinS=1
terms.bounds.drainTimeoutS=2.5
terms.bounds.somethingNew=true
a line of another kind
"""
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


def encoded(fields) -> bytes:
    return json.dumps(fields).encode()


class SettingsTests(unittest.TestCase):
    def test_known_fields_are_read_and_unknown_fields_are_ignored(self):
        settings = parse_platform_settings(SETTINGS)
        self.assertEqual(settings.host, "edge-a-1")
        self.assertEqual(settings.peer_address, "10.1.0.35:7660")
        self.assertEqual(settings.cpu_cores, 1.0)
        self.assertEqual(settings.memory_bytes, 235_000_000)
        self.assertEqual(settings.limits.drain_timeout_s, 2.5)
        self.assertEqual(settings.limits.evacuation_timeout_s, 5.0)

    def test_error_names_a_missing_or_malformed_field(self):
        for field, value in (
            ("self.nodeName", ""),
            ("network.listen.frontend", "10.1.0.35"),
            ("network.portRange", "many"),
            ("platform.heartbeatS", "soon"),
            ("platform.heartbeatS", "nan"),
            ("self.limits.memoryMb", "inf"),
        ):
            with self.subTest(field=field):
                text = SETTINGS + f"{field}={value}\n"
                with self.assertRaisesRegex(PlatformSettingsError, field):
                    parse_platform_settings(text)


class RecordTests(unittest.TestCase):
    def test_server_entry_is_decoded(self):
        entry = records.decode_server_entry("servers/i-1", encoded(SERVER))
        self.assertEqual(entry.server_id, "i-1")
        self.assertEqual((entry.slots, entry.cold_remaining_s, entry.start_ms), (6, 1.5, 17))
        self.assertFalse(entry.draining)

    def test_server_entry_with_a_malformed_field_is_refused(self):
        for change in (
            {"state": "asleep"},
            {"state": 4},
            {"service": None},
            {"maxConcurrency": "six"},
            {"maxConcurrency": 0},
            {"maxConcurrency": True},
            {"address": "nowhere"},
            {"born": 1.5},
            {"warmupLeftS": "long"},
        ):
            with self.subTest(change=change), self.assertRaises(RecordError):
                records.decode_server_entry("servers/i-1", encoded({**SERVER, **change}))

    def test_server_entry_with_a_missing_field_is_refused(self):
        for name in ("service", "address", "zone", "maxConcurrency", "state"):
            fields = {key: value for key, value in SERVER.items() if key != name}
            with self.subTest(name=name), self.assertRaises(RecordError):
                records.decode_server_entry("servers/i-1", encoded(fields))

    @given(st.binary(max_size=40))
    def test_arbitrary_bytes_raise_record_error(self, value):
        for decode in (
            lambda: records.decode_server_entry("servers/x", value),
            lambda: decode_routing_table(value),
        ):
            with self.assertRaises(RecordError):
                decode()

    def test_routing_table_is_decoded(self):
        table = decode_routing_table(encoded(routing(0x1F)))
        self.assertEqual(table.version, 31)
        route = table.find_route("shop.example", "/drafts/9")
        self.assertTrue(route.idempotent)
        self.assertEqual(route.max_attempts, 2)
        self.assertIsNone(table.find_route("shop.example", "/draft"))
        self.assertTrue(table.services["proofdesk"].keyed)
        self.assertFalse(table.services["benchline"].keyed)

    def test_longest_matching_prefix_wins(self):
        fields = routing(1)
        rule = fields["listeners"][0]["routingRules"][0]
        longer = {**rule, "name": "longer", "match": {"prefix": "/drafts/old/"}}
        fields["listeners"][0]["routingRules"].append(longer)
        table = decode_routing_table(encoded(fields))
        self.assertEqual(table.find_route("shop.example", "/drafts/old/1").name, "longer")
        self.assertEqual(table.find_route("shop.example", "/drafts/1").name, "drafts")

    def test_zone_is_read_from_an_evacuation_key(self):
        self.assertEqual(records.zone_of_evacuation_key("op/evacuate/north"), "north")
        self.assertEqual(records.zone_of_evacuation_key("op/config"), "")


class HeaderTests(unittest.TestCase):
    def test_server_request_carries_remaining_time_and_expected_server(self):
        headers = dict(
            requests.server_request_headers("shop.example", "r-1", [["X-A", "b"]], 1.2345, "i-1")
        )
        self.assertEqual(headers["Deadline-Ms"], "1234")
        self.assertEqual(headers["Expected-Instance"], "i-1")
        self.assertEqual(headers["Host"], "shop.example")
        self.assertEqual(headers["X-A"], "b")

    def test_only_marked_answers_count_as_not_executed(self):
        metadata = requests.read_answer_metadata(503, HTTPHeaders({"Not-Executed": "1"}))
        self.assertTrue(metadata.not_run)
        self.assertFalse(requests.read_answer_metadata(503, HTTPHeaders()).not_run)
        self.assertTrue(requests.read_answer_metadata(421, HTTPHeaders()).misdirected)

    def test_an_answer_that_contradicts_its_mark_does_not_count_as_not_executed(self):
        """Guards against a promise that the server's own status or value takes back."""
        for status, value in ((200, "1"), (204, "1"), (503, "0"), (503, "false"), (503, "")):
            with self.subTest(status=status, value=value):
                headers = HTTPHeaders({"Not-Executed": value})
                self.assertFalse(requests.read_answer_metadata(status, headers).not_run)

    def test_load_is_read_with_and_without_the_slowdown_field(self):
        load = requests.read_load(HTTPHeaders({"Upstream-Load": "3,1,8,250"}))
        self.assertEqual(load, (3, 1, 8, 2.5))
        load = requests.read_load(HTTPHeaders({"Upstream-Load": "3,1,8"}))
        self.assertEqual(load.slowdown_factor, 1.0)
        for value in ("busy", "1,0,6,nan", "1,0,6,inf", "1,0,6,0", "1,0,6,-50"):
            self.assertIsNone(requests.read_load(HTTPHeaders({"Upstream-Load": value})), value)

    def test_rate_limit_is_a_number_of_at_least_zero_or_absent(self):
        limits = {"2.9": 2.9, "0": 0.0, "4": 4.0, "soon": math.inf, "nan": math.inf, "-1": math.inf}
        for value, rate_per_s in limits.items():
            with self.subTest(value=value):
                read = requests.read_max_rate_per_s(HTTPHeaders({"Server-Limit": value}))
                self.assertEqual(read, rate_per_s)
        self.assertEqual(requests.read_max_rate_per_s(HTTPHeaders()), math.inf)

    def test_malformed_deadlines_and_keys_take_their_defaults(self):
        # Guards against an error while a request is read, after which it gets no answer, and
        # against a deadline that cannot be computed with.
        for value in ("soon", "nan", "inf", "-inf", "1e999"):
            self.assertEqual(requests._timeout_s(value), math.inf, value)
        self.assertEqual(requests._timeout_s("1500"), 1.5)
        for value in (None, "", "65536", "-1", "x", "9" * 5000):
            self.assertEqual(requests._key(value), NO_KEY)
        self.assertEqual(requests._key("65535"), 65_535)
