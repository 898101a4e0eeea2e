"""Tests of ``greengagefallctl`` against an in-memory store."""

from __future__ import annotations

import json
import unittest
from typing import Any

from click.testing import CliRunner, Result
from result import Err, Ok
from tornado.testing import AsyncHTTPTestCase, gen_test
from tornado.web import Application, RequestHandler

from greengagefall.commands import exit_codes
from greengagefall.commands.ctl import main
from greengagefall.commands.ctl_session import Connections, EntryError
from greengagefall.coordination.epochs import first_members_record, members_record_to_json
from greengagefall.coordination.model import Member, SliceRange
from greengagefall.coordination.slice_map import delta_to_json
from greengagefall.coordination.slice_map_changes import initial_map, next_delta
from greengagefall.standins.memory_store import MemoryStore
from greengagefall.tests.routing_parse_tests import DOCUMENT

MERGE = {field: DOCUMENT[field] for field in ("zones", "back_ends")}
STATUS = {
    "host": "entry-1",
    "zone": "tanta",
    "ready": True,
    "epoch": 4,
    "config_version": 3,
    "violations": {},
    "servers": [
        {
            "server": "catalogue/c-1",
            "dispatcher": "entry-1",
            "state": "up",
            "limit": 3,
            "in_flight": 1,
            "busy": 0.333,
        }
    ],
}
SLICES = {
    "catalogue": {
        "runs": [
            [0, 9, "owned", "c-1", 1, "tanta"],
            [10, 19, "releasing", "c-2", 1, "tanta"],
            [20, 29, "free", "", 0, "tanta"],
            [30, 63, "owned", "c-1", 1, "tanta"],
        ]
    }
}


class FakeConnections:
    """An in-memory store, and entry hosts that answer with fixed pages.

    Attributes:
        memory: The store.
        pages: JSON documents by address and path; other requests are refused.
    """

    def __init__(self) -> None:
        self.memory = MemoryStore()
        self.pages: dict[tuple[str, str], Any] = {}

    def store(self, settings: object) -> MemoryStore:
        return self.memory

    async def fetch(self, address: str, path: str, timeout_s: float) -> Any:
        page = self.pages.get((address, path))
        return Err(EntryError(f"{address}: refused")) if page is None else Ok(page)


class CtlTestCase(unittest.TestCase):
    def setUp(self):
        self.connections = FakeConnections()

    def invoke(self, *args: str, text: str | None = None) -> Result:
        flags = ["--store", "127.0.0.1:2379", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2"]
        return CliRunner().invoke(main, [*flags, *args], obj=self.connections, input=text)

    def apply(self, base: int, merge: dict, *args: str) -> Result:
        flags = ["--base-version", str(base), *args]
        return self.invoke("config", "apply", "-", *flags, text=json.dumps(merge))

    def document(self) -> dict:
        return json.loads(self.invoke("config", "show").output)

    def assert_fails(self, outcome: Result, code: int, *parts: str) -> None:
        self.assertEqual(outcome.exit_code, code, outcome.output)
        for part in parts:
            self.assertIn(part, outcome.output)


class ConfigCommandTests(CtlTestCase):
    def test_apply_show_history_diff(self):
        self.assertEqual(self.apply(0, MERGE, "--patch-id", "one").exit_code, 0)
        outcome = self.apply(1, {"zones": {"tanta": {"state": "out"}}}, "--patch-id", "two")
        self.assertIn("Version 2 is accepted (patch two)", outcome.output)
        self.assertEqual(self.document()["zones"]["tanta"], {"state": "out"})
        self.assertIn("zones.tanta.state", self.invoke("config", "history").output)
        rows = json.loads(self.invoke("--json", "config", "diff", "1", "2").output)
        self.assertEqual(rows, [{"path": "zones.tanta.state", "before": '"in"', "after": '"out"'}])

    def test_repeated_patch_is_accepted_once(self):
        for _ in range(2):
            outcome = self.apply(0, MERGE, "--patch-id", "one")
            self.assertIn("Version 1 is accepted", outcome.output)
        self.assertEqual(self.document()["version"], 1)

    def test_exit_codes(self):
        self.assert_fails(self.invoke("config", "show"), exit_codes.REFUSED, "no version yet")
        self.apply(0, MERGE)
        self.assert_fails(self.apply(0, {}), exit_codes.STALE_PATCH, "current version is 1")
        bad = {"zones": {"tanta": {"state": "up"}}}
        self.assert_fails(self.apply(1, bad), exit_codes.REFUSED, "zones.tanta.state: 'up'")
        self.assert_fails(self.apply(-1, {}), exit_codes.USAGE, "--base-version")
        outcome = self.invoke("config", "apply", "-", "--base-version", "1", text="{")
        self.assert_fails(outcome, exit_codes.REFUSED, "not JSON")
        self.connections.memory.down = True
        outcome = self.invoke("config", "show")
        self.assert_fails(outcome, exit_codes.STORE_UNAVAILABLE, "the store at 127.0.0.1:2379")

    def test_dry_run_changes_nothing(self):
        self.apply(0, MERGE)
        outcome = self.apply(1, {"zones": {"tanta": {"state": "out"}}}, "--dry-run")
        self.assertIn("zones.tanta.state", outcome.output)
        self.assertEqual(self.document()["version"], 1)

    def test_missing_store_is_a_usage_error(self):
        outcome = CliRunner().invoke(main, ["config", "show"], obj=self.connections)
        self.assert_fails(outcome, exit_codes.USAGE, "--store", "GREENGAGEFALL_STORE")

    def test_help_lists_exit_codes(self):
        text = " ".join(self.invoke("--help").output.split())
        for code, meaning in exit_codes.MEANINGS.items():
            self.assertIn(f"{code} {meaning}", text)


class RemovalTests(CtlTestCase):
    def put(self, key: str, document: dict) -> None:
        self.connections.memory.put_raw(key, json.dumps(document).encode())

    def test_removal_of_server_that_owns_slices_is_refused(self):
        removal = {"back_ends": {"catalogue": {"servers": {"c-1": None}}}}
        self.apply(0, MERGE)
        self.invoke("server", "drain", "catalogue", "c-1")
        slice_map = initial_map("catalogue", 64)
        self.put("backends/catalogue/slices", slice_map.to_json())
        owner = next_delta(slice_map, [SliceRange(0, 9, "owned", "c-1", 1, "tanta")])
        self.put("backends/catalogue/deltas/0000000001", delta_to_json(owner))
        self.assert_fails(self.apply(2, removal), exit_codes.REFUSED, "c-1: still owns 10 slices")
        slice_map.apply(owner)
        release = next_delta(slice_map, [SliceRange(0, 9, "releasing", "c-1", 1, "tanta")])
        self.put("backends/catalogue/deltas/0000000002", delta_to_json(release))
        self.assert_fails(self.apply(2, removal), exit_codes.REFUSED, "c-1: still owns 10 slices")
        slice_map.apply(release)
        moved = next_delta(slice_map, [SliceRange(0, 9, "owned", "c-2", 3, "tanta")])
        self.put("backends/catalogue/deltas/0000000003", delta_to_json(moved))
        self.assertEqual(self.apply(2, removal).exit_code, 0)


class ChangeCommandTests(CtlTestCase):
    def setUp(self):
        super().setUp()
        self.apply(0, MERGE)

    def test_zone_server_and_host(self):
        for args, path, value in [
            (("zone", "out", "tanta"), "zones.tanta.state", "out"),
            (("zone", "lost", "tanta", "--yes"), "zones.tanta.state", "lost"),
            (("zone", "in", "tanta"), "zones.tanta.state", "in"),
            (
                ("server", "drain", "catalogue", "c-1"),
                "back_ends.catalogue.servers.c-1.state",
                "draining",
            ),
            (
                ("server", "undrain", "catalogue", "c-1"),
                "back_ends.catalogue.servers.c-1.state",
                "active",
            ),
            (("host", "lost", "entry-1", "abc", "--yes"), "lost_hosts", ["entry-1/abc"]),
        ]:
            self.assertEqual(self.invoke(*args).exit_code, 0, args)
            node: Any = self.document()
            for field in path.split("."):
                node = node[field]
            self.assertEqual(node, value)

    def test_change_without_effect_creates_no_version(self):
        outcome = self.invoke("--json", "zone", "in", "tanta")
        self.assertEqual(json.loads(outcome.output)["version"], 1)

    def test_unknown_outcome_is_confirmed(self):
        self.connections.memory.lose_next_answers = 1
        self.assertEqual(self.invoke("zone", "out", "tanta").exit_code, 0)
        self.assertEqual(self.document()["version"], 2)

    def test_error_for_unknown_name_lists_known_names(self):
        for args, part in [
            (("zone", "out", "cairo"), "known are mansoura, tanta"),
            (("server", "drain", "ledger", "c-1"), "known are catalogue, orders"),
            (("server", "drain", "catalogue", "c-9"), "known are c-1, c-2"),
        ]:
            self.assert_fails(self.invoke(*args), exit_codes.REFUSED, part)

    def test_attesting_a_loss_asks_for_confirmation(self):
        outcome = self.invoke("host", "lost", "entry-1", "abc", text="n\n")
        self.assert_fails(outcome, exit_codes.REFUSED, "Has this process certainly ended?")
        self.assertEqual(self.document()["version"], 1)


class ViewCommandTests(CtlTestCase):
    def put_page(self, address: str, page: str, document: Any) -> None:
        self.connections.pages[address, f"/.greengagefall/{page}"] = document

    def test_status_fails_unless_every_host_answers(self):
        self.put_page("127.0.0.1:1", "status", STATUS)
        outcome = self.invoke("status")
        self.assert_fails(outcome, exit_codes.REFUSED, "catalogue/c-1", "127.0.0.1:2: refused")
        self.put_page("127.0.0.1:2", "status", STATUS)
        self.assertEqual(self.invoke("status").exit_code, 0)
        self.put_page("127.0.0.1:2", "status", {**STATUS, "violations": {"one_owner": 1}})
        self.assert_fails(self.invoke("status"), exit_codes.REFUSED)

    def test_slices_by_owner_and_by_range(self):
        self.put_page("127.0.0.1:2", "slices", SLICES)
        rows = json.loads(self.invoke("--json", "slices", "catalogue").output)
        counts = {row["owner"]: (row["slices"], row["releasing"]) for row in rows}
        self.assertEqual(counts, {"c-1": (44, 0), "c-2": (10, 10), "(none)": (10, 0)})
        self.assertIn("releasing", self.invoke("slices", "--runs").output)

    def test_why_prints_the_facts(self):
        facts = {"back_end": "catalogue", "owner": "c-1", "candidates": ["entry-1", "entry-2"]}
        self.put_page("127.0.0.1:1", "why?back_end=catalogue&key=a%2Fb", facts)
        output = self.invoke("why", "catalogue", "a/b").output
        self.assertIn("entry-1, entry-2", output)
        self.assertIn("no host that answered holds its dispatch right", output)
        self.put_page("127.0.0.1:2", "status", STATUS)
        explained = json.loads(self.invoke("--json", "why", "catalogue", "a/b").output)
        self.assertEqual((explained["held_by"], explained["server_health"]), (["entry-1"], "up"))
        self.assert_fails(self.invoke("why", "catalogue", "x"), exit_codes.REFUSED, "refused")

    def test_hosts_lists_members(self):
        member = Member("entry-1", "abc", "127.0.0.1:7", "127.0.0.1:8", False)
        record = json.dumps(members_record_to_json(first_members_record("tanta", [member])))
        self.connections.memory.put_raw("zones/tanta/members", record.encode())
        self.assertIn("abc", self.invoke("hosts").output)


class FetchTests(AsyncHTTPTestCase):
    def get_app(self) -> Application:
        class Page(RequestHandler):
            def get(self, code: str, text: str) -> None:
                self.set_status(int(code))
                self.write(text)

        return Application([(r"/(\d+)/(.*)", Page)])

    async def fetch_text(self, path: str, address: str = "") -> str:
        address = address or f"127.0.0.1:{self.get_http_port()}"
        fetched = await Connections().fetch(address, path, 5.0)
        return str(fetched.ok_value if isinstance(fetched, Ok) else fetched.err_value)

    @gen_test
    async def test_answers_other_than_json_objects_are_errors(self):
        for path, part in [
            ("/200/{}", "{}"),
            ("/200/[]", "status 200, no JSON object"),
            ("/502/oops", "status 502, no JSON object"),
            ('/404/{"error":"no-page"}', "no-page"),
        ]:
            self.assertIn(part, await self.fetch_text(path))
        self.assertIn("refused", await self.fetch_text("/", address="127.0.0.1:1"))


if __name__ == "__main__":
    unittest.main()
