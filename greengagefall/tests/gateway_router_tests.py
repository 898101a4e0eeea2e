"""Tests of retries and refusals of the router, without a network."""

from __future__ import annotations

import math
import unittest
from collections import Counter

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
from greengagefall.gateway.peers import REPLY_LOST, UNREACHABLE
from greengagefall.gateway.pool_choice import DispatcherLoads, ServerLoad, mean_load_percent
from greengagefall.gateway.router import Answer, Refusal, Router
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import (
    LAST_KEY,
    Assignment,
    DispatcherRecord,
    HostIncarnation,
    KeyRange,
    ServerIncarnation,
)
from greengagefall.protocol.gateway_messages import Dispatched, NotDispatched
from greengagefall.utils.clock import ManualClock

ME = HostIncarnation("me", 1)
SAME_ZONE = HostIncarnation("near", 2)
OTHER_ZONE = HostIncarnation("far", 3)
ANSWER = Dispatched(0, 200, [["X", "y"]], b"body", 50)


def failed(reason: str, *, sent: bool = False) -> NotDispatched:
    row = outcomes.OUTCOMES[reason]
    return NotDispatched(0, reason, sent, row.not_run, 250, 50, "s1")


class FakePeers:
    """Answers calls from a list; the last entry is repeated."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.calls = []
        self.on_call = lambda *_: None

    async def call(self, host, message, timeout_s):
        self.calls.append((host, message))
        self.on_call()
        return self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]


def route(prefix, *, idempotent, attempts=2, parts=(("keyed", 1.0),)):
    destinations = tuple(Destination(name, weight) for name, weight in parts)
    return Route(prefix, "h", prefix, destinations, idempotent, 1, 0.5, 2.0, attempts)


class RouterTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(10.0)
        settings = PlatformSettings(
            "me", "x", "", "", "", "", 1.0, 1.0, 20.0, 1.0, OperatorLimits(retry_extra=40.0)
        )
        self.view = ClusterView(settings, ME, self.clock)
        routes = (
            route("/safe/", idempotent=True),
            route("/once/", idempotent=False),
            route("/pool/", idempotent=False, parts=(("pool", 1.0),)),
            route("/split/", idempotent=False, parts=(("pool", 3.0), ("keyed", 1.0))),
        )
        services = {
            "keyed": Service("keyed", "/", 10, 3.0, 8.0, True, 5.0),
            "pool": Service("pool", "/", 10, 3.0, 8.0, False, 0.0),
        }
        self.view.update_routing_table(RoutingTable(3, {"h": routes}, services, 0, 0, 0.0))
        for name, zone in (("p1", "x"), ("p2", "y")):
            self.view.update_server(ServerEntry(name, "pool", "", zone, 6, False, 0.0, 1))
        key_range = KeyRange(0, LAST_KEY, ServerIncarnation("s1", 1), 1)
        dispatching = {
            "s1": DispatcherRecord(SAME_ZONE),
            "p1": DispatcherRecord(SAME_ZONE),
            "p2": DispatcherRecord(OTHER_ZONE),
        }
        self.view.update_assignment(Assignment(1, 1, {"keyed": (key_range,)}, dispatching))

    def request(self, target, key=7, request_id="r"):
        return CallerRequest(request_id, "GET", "h", target, [], b"", math.inf, key)

    async def route_request(self, target, *replies, **changes):
        self.peers = FakePeers(replies or [ANSWER])
        self.router = Router(self.view, self.peers, self.clock)
        return await self.router.route(self.request(target, **changes))

    async def test_answer_is_passed_on_unchanged(self):
        outcome = await self.route_request("/safe/1")
        self.assertEqual(outcome, Answer(200, [["X", "y"]], b"body"))
        host, message = self.peers.calls[0]
        self.assertEqual((host, message.server_id, message.key), ("near", "s1", 7))
        self.assertEqual(message.remaining_ms, 2000)

    async def test_the_kind_is_sent_only_to_hosts_that_can_read_it(self):
        """Guards against a link that a host of an earlier version closes at each request."""
        for reads_kinds, kind in ((True, "/safe/"), (False, "")):
            record = HostRecord("near", 2, "", "x", 1.0, reads_kinds=reads_kinds)
            self.view.hosts["near"] = record
            await self.route_request("/safe/1")
            self.assertEqual(self.peers.calls[0][1].kind, kind)
        del self.view.hosts["near"]
        await self.route_request("/safe/1")
        self.assertEqual(self.peers.calls[0][1].kind, "")

    async def test_non_idempotent_request_is_not_retried_after_unknown_outcome(self):
        for reply in (
            REPLY_LOST,
            failed(outcomes.OUTCOME_UNKNOWN, sent=True),
            failed(outcomes.TIMED_OUT, sent=True),
            failed(outcomes.BAD_ANSWER, sent=True),
        ):
            with self.subTest(reply=reply):
                outcome = await self.route_request("/once/1", reply, ANSWER)
                self.assertIsInstance(outcome, Refusal)
                self.assertFalse(outcomes.OUTCOMES[outcome.reason].not_run)
                self.assertEqual(len(self.peers.calls), 1)

    async def test_idempotent_request_is_retried_after_lost_answer(self):
        for reply in (failed(outcomes.OUTCOME_UNKNOWN, sent=True), REPLY_LOST):
            # A reason that is not retryable is retried only if the request may have been executed.
            outcome = await self.route_request("/safe/1", reply, ANSWER)
            self.assertIsInstance(outcome, Answer)

    async def test_attempts_do_not_exceed_the_limit_of_the_route(self):
        await self.route_request("/safe/1", failed(outcomes.OUTCOME_UNKNOWN, sent=True))
        self.assertEqual(len(self.peers.calls), 2)

    async def test_request_that_was_not_executed_is_routed_again(self):
        outcome = await self.route_request("/once/1", failed(outcomes.NOT_OWNER), ANSWER)
        self.assertIsInstance(outcome, Answer)
        self.assertEqual(len(self.peers.calls), 2)

    async def test_a_refusal_after_an_unknown_outcome_does_not_say_not_executed(self):
        """Guards against a 503 for a request that an earlier attempt may have had executed."""
        not_run = [reason for reason, row in outcomes.OUTCOMES.items() if row.not_run]
        cases = [(outcomes.OUTCOME_UNKNOWN, reason) for reason in not_run]
        cases += [(outcomes.TIMED_OUT, outcomes.QUEUE_FULL)]
        cases += [(outcomes.BAD_ANSWER, outcomes.SERVER_REFUSED)]
        for before, reason in cases:
            with self.subTest(before=before, reason=reason):
                replies = failed(before, sent=True), failed(reason)
                outcome = await self.route_request("/safe/1", *replies)
                self.assertEqual(outcome, Refusal(before, 0))
                self.assertGreater(len(self.peers.calls), 1)

    async def test_a_dispatcher_that_cannot_be_reached_after_a_lost_reply_promises_nothing(self):
        outcome = await self.route_request("/safe/1", REPLY_LOST, UNREACHABLE)
        self.assertEqual(outcome, Refusal(outcomes.OUTCOME_UNKNOWN, 0))

    async def test_a_key_without_an_owner_after_a_lost_reply_promises_nothing(self):
        peers = FakePeers([REPLY_LOST])
        peers.on_call = lambda: self.view.update_assignment(Assignment(2, 1, {}, {}))
        outcome = await Router(self.view, peers, self.clock).route(self.request("/safe/1"))
        self.assertEqual(outcome, Refusal(outcomes.OUTCOME_UNKNOWN, 0))

    async def test_full_queue_is_refused_at_once_with_retry_after(self):
        outcome = await self.route_request("/once/1", failed(outcomes.QUEUE_FULL), ANSWER)
        self.assertEqual(outcome, Refusal(outcomes.QUEUE_FULL, 250))
        self.assertEqual(len(self.peers.calls), 1)

    async def test_unreachable_dispatcher_means_not_executed(self):
        outcome = await self.route_request("/once/1", UNREACHABLE)
        self.assertEqual(outcome.reason, outcomes.DISPATCHER_UNREACHABLE)
        self.assertTrue(outcomes.OUTCOMES[outcome.reason].not_run)

    async def test_retries_stay_within_the_budget(self):
        peers = FakePeers([failed(outcomes.OUTCOME_UNKNOWN, sent=True)])
        router = Router(self.view, peers, self.clock)
        for _ in range(300):
            await router._attempt_until_final(
                self.request("/safe/1"),
                self.view.routing_table.routes["h"][0],
                self.view.routing_table.services["keyed"],
                self.clock.now_s(),
                self.clock.now_s() + 2.0,
            )
        limits = self.view.settings.limits
        self.assertLess(len(peers.calls) - 300, limits.retry_extra + limits.retry_ratio * 300)

    async def test_pooled_request_follows_changes_of_the_servers(self):
        await self.route_request("/pool/1", key=-1)
        self.view.set_evacuated("x", True)
        await self.router.route(self.request("/pool/2", key=-1))
        self.view.set_evacuated("x", False)
        await self.router.route(self.request("/pool/3", key=-1))
        self.assertEqual([host for host, _ in self.peers.calls], ["near", "far", "near"])

    async def test_pooled_request_stays_in_the_zone_while_it_has_spare_capacity(self):
        await self.route_request("/pool/1", key=-1)
        self.assertEqual(self.peers.calls[0][0], "near")

    async def test_services_of_a_route_are_chosen_by_weight(self):
        peers = FakePeers([ANSWER])
        router = Router(self.view, peers, self.clock)
        for _ in range(2000):
            await router.route(self.request("/split/1"))
        shares = Counter(message.service for _, message in peers.calls)
        self.assertAlmostEqual(shares["pool"] / 2000, 0.75, delta=0.05)

    async def test_invalid_requests_are_refused_with_their_reason(self):
        for changes, reason in (
            ({"key": -1}, outcomes.NO_KEY),
            ({"request_id": ""}, outcomes.NO_ID),
        ):
            outcome = await self.route_request("/once/1", **changes)
            self.assertEqual(outcome.reason, reason)
        self.assertEqual((await self.route_request("/nowhere")).reason, outcomes.NO_ROUTE)


class DispatcherLoadsTests(unittest.TestCase):
    def test_dispatcher_in_same_zone_is_avoided_while_full_and_used_again_later(self):
        clock = ManualClock(5.0)
        loads = DispatcherLoads(clock)
        slots = {"near": 12, "far": 12}
        self.assertEqual(loads.choose("pool", slots, {"near"}), "near")
        loads.record_reply("pool", "near", failed(outcomes.QUEUE_FULL))
        self.assertEqual(loads.choose("pool", slots, {"near"}), "far")
        clock.advance(2.0)
        self.assertEqual(loads.choose("pool", slots, {"near"}), "near")

    def test_no_host_is_chosen_without_servers(self):
        self.assertIsNone(DispatcherLoads(ManualClock()).choose("pool", {}, set()))

    def test_a_busy_server_beside_idle_ones_sends_no_request_to_another_zone(self):
        loads = DispatcherLoads(ManualClock())
        percent = mean_load_percent([ServerLoad(125, 4), ServerLoad(0, 4), ServerLoad(25, 4)])
        loads.record_reply("pool", "near", Dispatched(0, 200, [], b"", percent))
        self.assertEqual(loads.choose("pool", {"near": 12, "far": 40}, {"near"}), "near")

    def test_a_dispatcher_without_usable_servers_counts_as_full(self):
        self.assertEqual(mean_load_percent([]), 100)
