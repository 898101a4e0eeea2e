"""Tests of parsing, patching and holding the routing configuration."""

from __future__ import annotations

import copy
import unittest

from hypothesis import given
from hypothesis import strategies as st

from greengagefall.protocol.codec import MAX_FRAME_BYTES, encode
from greengagefall.protocol.messages import Answer
from greengagefall.routing.classes import OTHER_CLASS, match_class
from greengagefall.routing.exceptions import StalePatchError
from greengagefall.routing.holder import ConfigHolder
from greengagefall.routing.parse import LIMIT_RANGES, empty_config, parse_config
from greengagefall.routing.patch import Patch, apply_patch, merge_patch
from greengagefall.utils.invariants import reset_violations, violations

DOCUMENT = {
    "version": 3,
    "patch_id": "p3",
    "zones": {"tanta": {"state": "in"}, "mansoura": {}},
    "lost_hosts": ["entry-1/abc"],
    "back_ends": {
        "catalogue": {
            "kind": "keyed",
            "slices": 64,
            "classes": [
                {"name": "read", "methods": ["GET"], "repeatable": True},
                {"name": "amend", "path_prefix": "/amend", "priority": 2},
            ],
            "servers": {
                "c-1": {"address": "127.0.0.1:9001", "zone": "tanta", "slots": 3},
                "c-2": {"address": "127.0.0.1:9002", "zone": "mansoura", "slots": 3},
            },
        },
        "orders": {"kind": "pooled"},
    },
}


def changed(path: str, value: object) -> dict:
    """Returns ``DOCUMENT`` with the field at the dotted ``path`` set to ``value``."""
    document = copy.deepcopy(DOCUMENT)
    *parents, field = path.split(".")
    node = document
    for parent in parents:
        node = node[int(parent)] if isinstance(node, list) else node.setdefault(parent, {})
    node[field] = value
    return document


class ParseTests(unittest.TestCase):
    def test_missing_fields_have_their_defaults(self):
        config = parse_config(DOCUMENT).unwrap()
        self.assertEqual(config.zones, {"tanta": "in", "mansoura": "in"})
        self.assertEqual(config.back_ends["catalogue"].servers["c-1"].cold_slots, 1)
        self.assertFalse(config.back_ends["catalogue"].classes[1].repeatable)
        self.assertEqual(config.back_ends["orders"].slice_count, 0)
        self.assertEqual(config.back_ends["orders"].policies["pick"], "two_choices")

    def test_errors_name_path_value_and_expectation(self):
        server = "back_ends.catalogue.servers.c-1"
        cases = [
            ("colour", 1, "unknown field"),
            ("zones.tanta.state", "up", "'up' is not one of in, lost, out"),
            (f"{server}.slots", 0, "0 is not between 1 and 10000"),
            (f"{server}.slots", True, "True is not an integer"),
            (f"{server}.cold_slots", 4, "4 is not between 1 and 3"),
            (f"{server}.weight", float("nan"), "nan is not a number"),
            (f"{server}.zone", "cairo", "unknown zone 'cairo'; known are mansoura, tanta"),
            (f"{server}.address", "localhost:1", "is not IP:port"),
            ("back_ends.catalogue.servers.c-2.address", "127.0.0.1:9001", "also the address of"),
            (f"{server}.state", None, "None is not one of"),
            ("back_ends.catalogue.kind", "sharded", "'sharded' is not one of keyed, pooled"),
            ("back_ends.catalogue.policies.pick", "best", "not one of round_robin, two_choices"),
            ("back_ends.catalogue.policies.magic", "on", "unknown field"),
            ("back_ends.catalogue.tuning.hedge_ratio", 2, "2 is not between 0 and 1"),
            ("back_ends.catalogue.tuning.hedge_rat", 0.1, "unknown field"),
            ("back_ends.catalogue.classes.0.methods", ["FETCH"], "'FETCH' is not one of"),
            ("back_ends.catalogue.classes.1.name", "read", "name of an earlier class"),
            ("back_ends.orders.slices", 8, "only a keyed back end"),
            ("limits.retry_ratio", 1.5, "1.5 is not between"),
            ("lost_hosts", "entry-1", "is not an array"),
        ]
        for path, value, reason in cases:
            with self.subTest(path=path, value=value):
                error = parse_config(changed(path, value)).unwrap_err()
                self.assertIn(reason, error.reason)
                self.assertTrue(str(error).startswith(path.rpartition(".")[0]))

    def test_kind_of_a_back_end_is_required(self):
        error = parse_config({"back_ends": {"orders": {}}}).unwrap_err()
        self.assertEqual(str(error), "back_ends.orders.kind: is required")

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: (
                st.lists(inner)
                | st.dictionaries(
                    st.sampled_from(["zones", "back_ends", "limits", "kind", "servers", "a"]), inner
                )
            ),
        )
    )
    def test_any_json_gives_a_result_without_an_exception(self, document):
        parse_config(document)

    def test_largest_request_and_answer_fit_into_a_frame(self):
        maxima = {name: allowed[2] for name, allowed in LIMIT_RANGES.items()}
        headers = [["X-Long", "x" * maxima["header_bytes"]]]
        for body_bytes in (maxima["body_bytes"], maxima["answer_bytes"]):
            answer = Answer(1, "id", 200, headers, bytes(body_bytes), 0, 0.0)
            self.assertLess(len(encode(answer)), MAX_FRAME_BYTES)

    def test_first_matching_class_is_returned(self):
        back_end = parse_config(DOCUMENT).unwrap().back_ends["catalogue"]
        self.assertEqual(match_class(back_end, "GET", "/amend/1").name, "read")
        self.assertEqual(match_class(back_end, "POST", "/amend/1").name, "amend")
        self.assertEqual(match_class(back_end, "POST", "/place"), OTHER_CLASS)


class PatchTests(unittest.TestCase):
    def setUp(self):
        self.config = parse_config(DOCUMENT).unwrap()

    def refusal_text(self, merge: dict) -> str:
        return str(apply_patch(self.config, Patch(3, "p4", merge)).unwrap_err())

    def test_merge_examples_of_rfc_7386(self):
        cases = [
            ({"a": "b"}, {"a": "c"}, {"a": "c"}),
            ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
            ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
            ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
            ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
            (["a", "b"], ["c", "d"], ["c", "d"]),
            ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
            ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
            ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
        ]
        for document, merge, expected in cases:
            self.assertEqual(merge_patch(document, merge), expected)

    def test_accepted_patch_creates_the_next_version(self):
        patch = Patch(3, "p4", {"zones": {"tanta": {"state": "out"}}})
        config = apply_patch(self.config, patch).unwrap()
        self.assertEqual((config.version, config.patch_id), (4, "p4"))
        self.assertEqual(config.zones["tanta"], "out")
        self.assertEqual(self.config.document, DOCUMENT)

    def test_stale_patch_error_has_the_current_version(self):
        error = apply_patch(self.config, Patch(2, "p4", {})).unwrap_err()
        self.assertIsInstance(error, StalePatchError)
        self.assertEqual(error.current_version, 3)

    def test_document_must_fit_into_the_store(self):
        hosts = [f"entry-{number}/{'x' * 180}" for number in range(9_000)]
        self.assertIn("allowed are 900000", self.refusal_text({"lost_hosts": hosts}))

    def test_changes_that_endanger_ownership_are_refused(self):
        moved = {"c-1": {"address": "127.0.0.1:9009"}}
        other_zone = {"c-1": {"zone": "mansoura"}}
        for merge, reason in [
            ({"version": 9}, "version: is set by the system"),
            ({"back_ends": {"catalogue": {"slices": 128}}}, "128 differs from 64"),
            ({"back_ends": {"orders": {"kind": "keyed"}}}, "keyed differs from pooled"),
            ({"back_ends": {"catalogue": {"servers": moved}}}, "c-1.address: 127.0.0.1:9009"),
            ({"back_ends": {"catalogue": {"servers": other_zone}}}, "c-1.zone: mansoura differs"),
            ({"back_ends": {"catalogue": {"servers": {"c-1": None}}}}, "only a draining server"),
            ({"back_ends": {"catalogue": None}}, "servers all drain"),
        ]:
            self.assertIn(reason, self.refusal_text(merge))


class HolderTests(unittest.TestCase):
    def setUp(self):
        reset_violations()
        self.addCleanup(reset_violations)

    @given(st.lists(st.integers(1, 9)))
    def test_version_is_the_highest_offered(self, versions):
        holder = ConfigHolder()
        seen = []
        holder.subscribe(lambda config: seen.append(config.version))
        for version in versions:
            holder.apply_if_newer(empty_config()._replace(version=version, patch_id=str(version)))
        self.assertEqual(holder.current.version, max(versions, default=0))
        self.assertEqual(seen, sorted(set(seen)))
        self.assertEqual(violations(), {})

    def test_two_documents_with_the_same_version_are_a_violation(self):
        holder = ConfigHolder()
        holder.apply_if_newer(empty_config()._replace(version=1, patch_id="a"))
        holder.apply_if_newer(empty_config()._replace(version=1, patch_id="b"))
        self.assertEqual(violations(), {"config_version_unique": 1})


if __name__ == "__main__":
    unittest.main()
