"""Tests of configurations with odd values: only what needs an unreadable entry is refused."""

from __future__ import annotations

import json
import math
import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from greengagefall.gateway import outcomes, view
from greengagefall.gateway.model import CallerRequest
from greengagefall.gateway.records import OperatorRecords
from greengagefall.gateway.request_checks import AdmittedRequest, check_request
from greengagefall.gateway.view import ClusterView
from greengagefall.ownership.model import HostIncarnation
from greengagefall.platform.configuration import decode_routing_table
from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.store import KeyValue
from greengagefall.protocol.gateway_messages import StoreChanges
from greengagefall.standins.platform_documents import HOST_NAME, cluster, routing, rule
from greengagefall.utils.clock import ManualClock

SECRET = "sk-7f3a91"
OTHER_SECRET = "sk-02cc54"
OTHER_HOST = "desk.example"
KEY = 7
NESTED_LEVELS = 900
RULE = ("listeners", 0, "routingRules", 0)
# Raw JSON that no field accepts.
ODD_VALUES = (
    *("null", "NaN", "-Infinity", "1e999", "-1", "1" + "0" * 400, "1" * 5000, '"\\ud800"'),
    *('""', "[" * NESTED_LEVELS + "]" * NESTED_LEVELS, "[7]"),
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=5,
)
PLACEHOLDER = "@@"


def document(version: int = 7) -> dict:
    """Returns a configuration of two host names and two workspaces."""
    rules = [
        rule("old", "/drafts/old/", "benchline", kind="download"),
        rule("drafts", "/drafts/", "benchline", kind="safe", attempts=2),
    ]
    fields = routing(version, rules=rules)
    other = {"hostname": OTHER_HOST, "routingRules": [rule("all", "/", "spare", kind="safe")]}
    fields["listeners"].append(other)
    fields["clusters"] = [cluster("benchline"), cluster("spare")]
    fields["tenants"] = [
        {"name": "acme", "apiKeys": [SECRET], "priority": 2, "ratePerS": 5, "burst": 9},
        {"name": "zenith", "apiKeys": [OTHER_SECRET]},
    ]
    return fields


def with_value(path: tuple, raw: str, fields: dict | None = None) -> bytes:
    """Returns the configuration with raw JSON at a place."""
    fields = fields or document()
    target = fields
    for step in path[:-1]:
        target = target[step]
    target[path[-1]] = PLACEHOLDER
    return json.dumps(fields).replace(f'"{PLACEHOLDER}"', raw).encode()


def outcome(table, host_name=HOST_NAME, target="/drafts/1", api_keys=(SECRET,)):
    """Returns the reason for which a request is refused, the route's name if it is not."""
    request = CallerRequest("r", "GET", host_name, target, [], b"", math.inf, KEY, api_keys)
    checked = check_request(table, request, random.Random(1))
    return checked.route.name if isinstance(checked, AdmittedRequest) else checked.reason


class OddEntryTests(unittest.TestCase):
    """Guards against a whole document that is unreadable because of one value.

    A route of the kind ``download`` once made every host refuse all requests.
    """

    def check(self, path, raw, expected, *, others_served=True, **request):
        with self.subTest(path=path, raw=raw[:12]):
            table = decode_routing_table(with_value(path, raw))
            self.assertEqual(outcome(table, **request), expected)
            if others_served:
                self.assertEqual(outcome(table, OTHER_HOST, api_keys=(OTHER_SECRET,)), "all")
            self.assertTrue(table.unreadable.entries)

    def test_the_kind_download_is_served_as_idempotent(self):
        table = decode_routing_table(json.dumps(document()).encode())
        self.assertTrue(table.find_route(HOST_NAME, "/drafts/old/1").idempotent)
        self.assertEqual(table.unreadable.entries, ())

    def test_an_odd_field_of_a_route_refuses_only_its_own_requests(self):
        fields = ("name", "kind", "priority", "latencyGoalS", "public", "action")
        paths = [(*RULE, name) for name in fields]
        paths += [(*RULE, "action", name) for name in ("service", "timeoutS", "attempts")]
        for path in paths:
            for raw in ODD_VALUES:
                self.check(path, raw, outcomes.UNREADABLE_ROUTE, target="/drafts/old/1")
                self.check(path, raw, "drafts", target="/drafts/1")
        self.check((*RULE, "kind"), '"stream"', outcomes.UNREADABLE_ROUTE, target="/drafts/old/1")

    def test_an_odd_traffic_split_refuses_only_its_own_requests(self):
        service = '{"service": "benchline", "weight": %s}'
        raws = [*ODD_VALUES, "[]", "{}", "[{}]", f"[{service % 0}]", f"[{service % 1}, 7]"]
        for raw in (*raws, *(f"[{service % odd}]" for odd in ODD_VALUES)):
            path = (*RULE, "action", "trafficSplit")
            self.check(path, raw, outcomes.UNREADABLE_ROUTE, target="/drafts/old/1")

    def test_an_unreadable_prefix_refuses_what_no_other_route_of_the_host_name_matches(self):
        for path in (RULE, (*RULE, "match"), (*RULE, "match", "prefix")):
            for raw in ODD_VALUES:
                self.check(path, raw, outcomes.UNREADABLE_ROUTE, target="/elsewhere")
                self.check(path, raw, "drafts", target="/drafts/old/1")
        for raw in (*ODD_VALUES, "{}"):
            path = ("listeners", 0, "routingRules")
            if raw != "[7]":
                self.check(path, raw, outcomes.UNREADABLE_ROUTE, target="/drafts/1")

    def test_an_unreadable_host_name_refuses_all_host_names_without_a_listener(self):
        for path in (("listeners", 0), ("listeners", 0, "hostname")):
            for raw in ODD_VALUES:
                self.check(path, raw, outcomes.UNREADABLE_ROUTE)
                self.check(path, raw, outcomes.UNREADABLE_ROUTE, host_name="unknown.example")

    def test_a_host_name_with_a_readable_listener_gets_404_beside_an_unreadable_one(self):
        """Guards against a 503 that asks for retries of requests that no route will match."""
        fields = document()
        fields["listeners"][1]["routingRules"][0]["match"]["prefix"] = "/desk/"
        table = decode_routing_table(with_value(("listeners", 0), "7", fields))
        self.assertEqual(outcome(table, OTHER_HOST, "/elsewhere"), outcomes.NO_ROUTE)

    def test_an_unreadable_entry_makes_the_other_entries_of_its_service_unusable(self):
        fields = document()
        fields["clusters"].append(cluster("benchline"))
        table = decode_routing_table(with_value(("clusters", 0, "warmupS"), '"x"', fields))
        self.assertEqual(outcome(table), outcomes.UNREADABLE_SERVICE)
        self.assertNotIn("benchline", table.services)

    def test_a_section_that_is_no_list_counts_as_unreadable_entries(self):
        for raw in (*ODD_VALUES, "{}"):
            if raw.startswith("["):
                continue
            reasons = {
                "listeners": outcomes.UNREADABLE_ROUTE,
                "clusters": outcomes.UNREADABLE_SERVICE,
                "tenants": outcomes.UNREADABLE_WORKSPACE,
            }
            for section, reason in reasons.items():
                self.check((section,), raw, reason, others_served=False)

    def test_an_odd_service_refuses_only_its_own_requests(self):
        names = ("healthCheck", "maxConnections", "warmupS", "coldPerS", "shardEnabled", "warmS")
        paths = [("clusters", 0), *(("clusters", 0, name) for name in ("name", *names))]
        for path in paths:
            for raw in ODD_VALUES:
                self.check(path, raw, outcomes.UNREADABLE_SERVICE)

    def test_odd_limits_take_their_defaults(self):
        names = ("maxHeaderBytes", "maxBodyBytes", "idleTimeoutS", "headerTimeoutS")
        for path in (("limits",), *(("limits", name) for name in names)):
            for raw in ODD_VALUES:
                self.check(path, raw, "drafts")
        table = decode_routing_table(with_value(("limits",), "7"))
        self.assertEqual((table.max_header_bytes, table.idle_timeout_s), (65_536, 60.0))

    def test_an_odd_workspace_refuses_only_its_own_keys(self):
        for name in ("name", "priority", "ratePerS", "burst"):
            for raw in ODD_VALUES:
                self.check(("tenants", 0, name), raw, outcomes.UNREADABLE_WORKSPACE)
        for raw in ('"a\\r\\nX: y"', '" a"', '"\\u00e9"'):
            self.check(("tenants", 0, "name"), raw, outcomes.UNREADABLE_WORKSPACE)

    def test_unreadable_keys_refuse_unknown_keys_but_no_known_ones(self):
        unreadable = outcomes.UNREADABLE_WORKSPACE
        for path in (("tenants", 0), ("tenants", 0, "apiKeys")):
            for raw in ODD_VALUES:
                self.check(path, raw, unreadable)
                self.check(path, raw, outcomes.UNKNOWN_API_KEY, api_keys=())
        for raw in ODD_VALUES:
            keys = f'["{SECRET}", {raw}]'
            self.check(("tenants", 0, "apiKeys"), keys, "drafts")
            self.check(("tenants", 0, "apiKeys"), keys, unreadable, api_keys=("another",))

    def test_a_document_without_a_readable_version_is_refused(self):
        for raw in (*ODD_VALUES, '"x"', '"' + "1" * 65 + '"'):
            with self.subTest(raw=raw[:12]), self.assertRaises(RecordError):
                decode_routing_table(with_value(("version",), raw))
        for value in (b"", b"\xff{", b"[]", b"null", b"[" * 100_000):
            with self.subTest(value=value[:8]), self.assertRaises(RecordError):
                decode_routing_table(value)

    @given(st.data(), JSON_VALUES)
    def test_any_value_at_any_place_is_refused_or_can_be_used(self, data, value):
        fields = document()
        path: tuple = ()
        target: object = fields
        while (
            isinstance(target, (dict, list)) and target and (not path or data.draw(st.booleans()))
        ):
            steps = sorted(target) if isinstance(target, dict) else range(len(target))
            path = (*path, data.draw(st.sampled_from(steps)))
            target = target[path[-1]]
        try:
            table = decode_routing_table(with_value(path, json.dumps(value), fields))
        except RecordError:
            self.assertEqual(path, ("version",))
            return
        for host_name in (HOST_NAME, OTHER_HOST):
            for api_keys in ((SECRET,), (OTHER_SECRET,), ("x",)):
                outcome(table, host_name, "/drafts/old/1", api_keys)


class AmbiguousWorkspaceTests(unittest.TestCase):
    """Guards against requests that are served for a workspace that was guessed."""

    def reason(self, tenants, api_keys=(SECRET,)):
        fields = {**document(), "tenants": tenants}
        return outcome(decode_routing_table(json.dumps(fields).encode()), api_keys=api_keys)

    def test_a_key_of_two_workspaces_is_refused_and_their_other_keys_are_served(self):
        tenants = [
            {"name": "acme", "apiKeys": [SECRET, "a"]},
            {"name": "zenith", "apiKeys": ["z", SECRET]},
        ]
        for order in (tenants, tenants[::-1]):
            self.assertEqual(self.reason(order), outcomes.UNREADABLE_WORKSPACE)
            self.assertEqual(self.reason(order, ("a",)), "drafts")
            self.assertEqual(self.reason(order, ("z",)), "drafts")

    def test_a_key_that_one_workspace_lists_twice_is_served(self):
        self.assertEqual(self.reason([{"name": "acme", "apiKeys": [SECRET, SECRET]}]), "drafts")

    def test_two_entries_of_one_name_are_refused(self):
        tenants = [{"name": "acme", "apiKeys": [SECRET]}, {"name": "acme", "apiKeys": ["b"]}]
        self.assertEqual(self.reason(tenants), outcomes.UNREADABLE_WORKSPACE)
        self.assertEqual(self.reason(tenants, ("b",)), outcomes.UNREADABLE_WORKSPACE)

    def test_a_workspace_without_keys_accepts_none(self):
        for tenants in ([], [{"name": "acme", "apiKeys": []}], [{"name": "acme"}]):
            self.assertEqual(self.reason(tenants), outcomes.UNKNOWN_API_KEY)
            self.assertEqual(self.reason(tenants, ("",)), outcomes.UNKNOWN_API_KEY)


class ReportTests(unittest.TestCase):
    def setUp(self):
        self.view = ClusterView(None, HostIncarnation("h", 1), ManualClock())
        self.records = OperatorRecords(self.view)

    def put(self, value: bytes) -> list[str]:
        """Applies a configuration; returns its log lines with all their fields."""
        with self.assertLogs("greengagefall", "DEBUG") as logs:
            self.records.put(KeyValue("op/config", value, 1))
        return [str(record.__dict__) for record in logs.records]

    def test_each_unreadable_entry_is_logged_and_counted_once_per_version(self):
        # A watch delivers the same version again after each of its interruptions.
        value = with_value((*RULE, "kind"), '"' + "x" * 5000 + '"')
        with mock.patch.object(view, "count") as count:
            lines = self.put(value)
            with self.assertNoLogs("greengagefall"):
                self.records.put(KeyValue("op/config", value, 2))
        place = "listeners[0].routingRules[0].kind"
        [line] = [line for line in lines if place in line]
        self.assertLess(len(line), 1500)
        section = mock.call("unreadable_entries", section="listeners")
        self.assertEqual(count.mock_calls.count(section), 1)

    def test_a_document_without_a_version_leaves_the_former_one_in_force(self):
        self.put(json.dumps(document()).encode())
        self.put(with_value(("version",), "7"))
        self.assertEqual(outcome(self.view.routing_table), "drafts")

    def test_the_repr_of_changes_that_relays_pass_on_shows_no_key(self):
        value = json.dumps(document()).encode()
        changes = StoreChanges(1, [["op/", 5, True, [["op/config", value, 5]], []]], 0, 0, 0)
        self.assertNotIn(SECRET, repr(changes))

    def test_no_log_line_error_or_repr_shows_a_key(self):
        # Keys at a wrong place, in the wrong type, and in a record that is no JSON.
        key = f'"{SECRET}"'
        nested = (f'[{{"apiKeys": {key}}}]', f'{{"{SECRET}": {key}}}', f"[[{key}]]")
        places = [("tenants",), ("tenants", 0)]
        places += [("tenants", 0, name) for name in ("name", "apiKeys", "priority", "ratePerS")]
        values = [with_value(path, raw) for path in places for raw in (key, f"[{key}]", *nested)]
        places = [
            ("version",),
            ("listeners",),
            ("limits",),
            ("clusters", 0, "name"),
            (*RULE, "kind"),
        ]
        values += [with_value(path, raw) for path in places for raw in nested]
        values += [json.dumps(document()).encode()[:-1], json.dumps([document()]).encode()]
        twice = document()
        twice["tenants"][1]["apiKeys"] = [SECRET]
        values.append(json.dumps(twice).encode())
        values.append(b"\xff" + json.dumps(document()).encode())
        for value in values:
            self.view.routing_table = view.EMPTY_ROUTING_TABLE
            with self.subTest(value=value[-200:]):
                self.assertNotIn(SECRET, "".join(self.put(value)))
                self.assertNotIn(SECRET, repr(self.view.routing_table))
                self.assertNotIn(SECRET, repr(KeyValue("op/config", value, 1)))
                self.assert_no_error_shows_a_key(value)

    def assert_no_error_shows_a_key(self, value):
        try:
            decode_routing_table(value)
        except RecordError as error:
            for shown in (error, error.__cause__, error.__context__):
                self.assertNotIn(SECRET, repr(shown) + str(vars(shown) if shown else ""))


if __name__ == "__main__":
    unittest.main()
