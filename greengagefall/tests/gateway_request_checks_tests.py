"""Tests of what the router decides about route, API key, workspace and priority."""

from __future__ import annotations

import asyncio
import math
import random
import unittest
from unittest.mock import AsyncMock

from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine

from greengagefall.gateway import outcomes
from greengagefall.gateway.model import (
    CallerRequest,
    Destination,
    OperatorLimits,
    PlatformSettings,
    Route,
    RoutingTable,
    ServerEntry,
    Service,
)
from greengagefall.gateway.request_checks import AdmittedRequest, check_request
from greengagefall.gateway.router import Answer, Refusal, Router
from greengagefall.gateway.view import ClusterView
from greengagefall.ownership.model import Assignment, DispatcherRecord, HostIncarnation
from greengagefall.platform.requests import read_caller_request
from greengagefall.protocol.gateway_messages import Dispatched
from greengagefall.utils.clock import ManualClock
from greengagefall.workspaces.directory import NO_WORKSPACES, Workspace, WorkspaceDirectory

ME = HostIncarnation("me", 1)
SECRET = "sk-7f3a91"
ACME = Workspace("acme", priority=0, rate_per_s=5.0)
PLAIN = Workspace("plain")
DIRECTORY = WorkspaceDirectory([ACME, PLAIN], {SECRET: "acme", "p": "plain"}, required=True)
SPOOFED = [["Api-Key", SECRET], ["api-KEY", "x"], ["Api_Key", "x"], ["Tenant-Id", "evil"]]
SPOOFED += [["tenant_id", "evil"], ["X-A", "b"]]


def route(prefix: str, service: str = "pool", *, public: bool = False) -> Route:
    return Route(prefix, "h", prefix, (Destination(service, 1.0),), True, 3, 0.5, 2.0, 1, public)


ROUTES = (route("/public/", public=True), route("/keyed/", "keyed"), route("/gone/", "gone"))
SERVICES = {
    "pool": Service("pool", "/", 10, 0.0, 8.0, False, 0.0),
    "keyed": Service("keyed", "/", 10, 0.0, 8.0, True, 0.0),
}


def table(version: int = 1, workspaces: WorkspaceDirectory = DIRECTORY) -> RoutingTable:
    routes = (*ROUTES, route("/"))
    return RoutingTable(version, {"h": routes}, SERVICES, 0, 0, 0.0, workspaces=workspaces)


def request(target: str = "/", *api_keys: str, request_id: str = "r", headers=()) -> CallerRequest:
    rows = [list(row) for row in headers]
    return CallerRequest(request_id, "GET", "h", target, rows, b"", math.inf, -1, api_keys)


def check(sent: CallerRequest, workspaces: WorkspaceDirectory = DIRECTORY):
    return check_request(table(1, workspaces), sent, random.Random(1))


class OrderTests(unittest.TestCase):
    def test_route_is_checked_first_then_the_key_then_the_rest(self):
        # A caller without a key could otherwise learn which services exist.
        other_host = request("/", request_id="")._replace(host_name="other")
        for sent, reason in (
            (other_host, outcomes.NO_ROUTE),
            (request("/gone/1", request_id=""), outcomes.UNKNOWN_API_KEY),
            (request("/gone/1", SECRET, request_id=""), outcomes.NO_ID),
            (request("/gone/1", SECRET), outcomes.NO_SERVER),
            (request("/keyed/1", SECRET), outcomes.NO_KEY),
        ):
            with self.subTest(sent=sent):
                self.assertEqual(check(sent).reason, reason)

    def test_these_refusals_say_that_nothing_was_executed(self):
        for reason, status in (
            (outcomes.UNKNOWN_API_KEY, 401),
            (outcomes.UNREADABLE_WORKSPACE, 503),
            (outcomes.UNREADABLE_ROUTE, 503),
            (outcomes.UNREADABLE_SERVICE, 503),
        ):
            row = outcomes.OUTCOMES[reason]
            self.assertEqual((row.http_status, row.not_run), (status, True))


class KeyTests(unittest.TestCase):
    def test_a_missing_unknown_or_repeated_key_is_refused(self):
        for keys in ((), ("",), ("x",), (SECRET, SECRET), (SECRET, "p"), (f"{SECRET},p",)):
            with self.subTest(keys=keys):
                self.assertEqual(check(request("/", *keys)).reason, outcomes.UNKNOWN_API_KEY)

    def test_a_known_key_gives_its_workspace(self):
        self.assertEqual(check(request("/", SECRET)).workspace, ACME)

    def test_a_public_route_needs_no_key_and_has_no_workspace(self):
        for keys in ((), ("x",), (SECRET,)):
            self.assertIsNone(check(request("/public/1", *keys)).workspace)

    def test_a_path_that_may_lead_out_of_a_public_route_needs_a_key(self):
        for path in ("/public/../keyed/1", "/public/%2E%2e/x", "/public/a/..%5Cx", "/public/./x"):
            with self.subTest(path=path):
                self.assertEqual(check(request(path)).reason, outcomes.UNKNOWN_API_KEY)
                self.assertEqual(check(request(path, SECRET)).workspace, ACME)
        self.assertIsNone(check(request("/public/a..b/?x=/../")).workspace)

    def test_a_path_that_is_another_route_once_decoded_needs_a_key(self):
        """Guards against /%6Beyed/, which a server takes for /keyed/, on a public route /."""
        routes = (route("/keyed/"), route("/a%20b/", public=True), route("/", public=True))
        open_table = table()._replace(routes={"h": routes})
        for path in ("/%6Beyed/1", "//keyed/1", "/%2Fkeyed/1", "/\\keyed/1", "/x/..;a/keyed/1"):
            with self.subTest(path=path):
                refused = check_request(open_table, request(path), random.Random(1))
                self.assertEqual(refused.reason, outcomes.UNKNOWN_API_KEY)
        for path in ("/", "/a%20b/1", "/x%20y", "//x", "/keye%64", "/?/%6Beyed/"):
            with self.subTest(path=path):
                admitted = check_request(open_table, request(path), random.Random(1))
                self.assertIsNone(admitted.workspace)

    def test_priority_of_the_workspace_overrides_that_of_the_route(self):
        self.assertEqual(check(request("/", SECRET)).route.priority, 0)
        self.assertEqual(check(request("/", "p")).route.priority, 3)
        self.assertEqual(check(request("/public/", SECRET)).route.priority, 3)

    def test_keys_are_read_from_each_header_as_utf_8(self):
        headers = HTTPHeaders({"Host": "h"})
        headers.add("Api-Key", "clé".encode().decode("latin1"))
        headers.add("api-key", "\xe9")
        line = RequestStartLine("GET", "/", "HTTP/1.1")
        read = read_caller_request(HTTPServerRequest(headers=headers, start_line=line))
        self.assertEqual(read.api_keys, ("clé", "\udce9"))
        self.assertIsNone(WorkspaceDirectory(required=True).find(read.api_keys[1]))

    def test_the_repr_of_a_request_shows_no_key(self):
        sent = request(f"/?key={SECRET}", SECRET, headers=SPOOFED)
        admitted = check(sent)
        self.assertNotIn(SECRET, repr(sent) + repr(admitted) + repr(table()) + repr(DIRECTORY))


class HeaderTests(unittest.TestCase):
    def headers(self, target, *keys, workspaces=DIRECTORY):
        admitted = check(request(target, *keys, headers=SPOOFED), workspaces)
        self.assertIsInstance(admitted, AdmittedRequest)
        return admitted.request.headers

    def test_the_server_gets_the_workspace_and_never_the_key(self):
        self.assertEqual(self.headers("/", SECRET), [["X-A", "b"], ["Tenant-Id", "acme"]])

    def test_on_a_public_route_the_server_gets_neither(self):
        self.assertEqual(self.headers("/public/1", SECRET), [["X-A", "b"]])

    def test_without_workspaces_both_are_ordinary_headers(self):
        for keys in ((), (SECRET,), ("x", "y")):
            self.assertEqual(self.headers("/", *keys, workspaces=NO_WORKSPACES), SPOOFED)


class FakePeers:
    """Answers each message and keeps the last one."""

    async def call(self, host, message, timeout_s):
        self.message = message
        return Dispatched(0, 200, [], b"", 50)


class RouterTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        clock = ManualClock(10.0)
        settings = PlatformSettings(
            "me", "x", "", "", "", "", 1.0, 1.0, 20.0, 1.0, OperatorLimits()
        )
        self.view = ClusterView(settings, ME, clock)
        self.peers = FakePeers()
        self.router = Router(self.view, self.peers, clock)

    async def reason(self, *keys):
        outcome = await self.router.route(request("/", *keys))
        self.assertNotIsInstance(outcome, Answer)
        return outcome.reason

    async def test_the_dispatcher_gets_priority_and_workspace_but_no_key(self):
        self.view.update_routing_table(table(1))
        self.view.update_server(ServerEntry("p1", "pool", "", "x", 6, False, 0.0, 1))
        self.view.update_assignment(Assignment(1, 1, {}, {"p1": DispatcherRecord(ME)}))
        sent = request("/", SECRET, headers=SPOOFED)
        self.assertIsInstance(await self.router.route(sent), Answer)
        self.assertEqual(self.peers.message.priority, 0)
        self.assertIn(["Tenant-Id", "acme"], self.peers.message.headers)
        self.assertNotIn(SECRET, repr(self.peers.message))
        # Some requests of a workspace that is not urgent are sent as urgent ones.
        priorities = set()
        for _ in range(200):
            await self.router.route(request("/", "p"))
            priorities.add(self.peers.message.priority)
        self.assertEqual(priorities, {0, 3})

    async def test_a_host_that_serves_nothing_promotes_no_requests(self):
        # Guards against a router that does not tell the priorities what became of requests.
        self.view.update_routing_table(table(1))
        for _ in range(300):
            await self.reason("p")
        chosen = {self.router._priorities.choose(3, PLAIN) for _ in range(300)}
        self.assertEqual(chosen, {3})

    async def test_a_request_whose_caller_gave_up_counts_as_not_served(self):
        # Guards against an overload that looks like full service since callers leave first.
        self.view.update_routing_table(table(1))
        self.view.update_server(ServerEntry("p1", "pool", "", "x", 6, False, 0.0, 1))
        self.view.update_assignment(Assignment(1, 1, {}, {"p1": DispatcherRecord(ME)}))
        self.peers.call = AsyncMock(side_effect=asyncio.CancelledError)
        for _ in range(5):
            with self.assertRaises(asyncio.CancelledError):
                await self.router.route(request("/", "p"))
        self.assertEqual(self.router._priorities._served.value(), 0.0)

    async def test_each_request_is_checked_against_the_newest_version(self):
        # Guards against a key that stays valid since an earlier request was accepted with it.
        self.view.update_routing_table(table(1))
        # Accepted: it fails only since the test has no servers.
        self.assertEqual(await self.reason(SECRET), outcomes.NO_SERVER)
        rotated = WorkspaceDirectory([ACME], {"new": "acme"}, required=True)
        self.view.update_routing_table(table(2, rotated))
        self.assertEqual(await self.reason(SECRET), outcomes.UNKNOWN_API_KEY)
        self.assertEqual(await self.reason("new"), outcomes.NO_SERVER)
        # An older version that arrives late does not bring the key back.
        self.view.update_routing_table(table(1))
        self.assertEqual(await self.reason(SECRET), outcomes.UNKNOWN_API_KEY)

    async def test_a_refusal_tells_on_which_state_it_was_based(self):
        self.view.update_routing_table(table(5))
        refusal = await self.router.route(request("/", "x"))
        self.assertIsInstance(refusal, Refusal)
        inputs = dict(refusal.inputs)
        self.assertEqual((inputs["configuration"], inputs["store_lag_s"]), (5, 0.0))


if __name__ == "__main__":
    unittest.main()
