"""Tests of the entry host's gate: cost, memory, fallback and validity of permits."""

from __future__ import annotations

import asyncio
import math
import unittest
from unittest import mock

from greengagefall.gateway import outcomes
from greengagefall.gateway.model import (
    NO_KEY,
    CallerRequest,
    Destination,
    OperatorLimits,
    Route,
    RoutingTable,
    Service,
)
from greengagefall.gateway.peers import UNREACHABLE
from greengagefall.gateway.router import Router
from greengagefall.protocol.gateway_messages import Dispatched, QuotaGranted
from greengagefall.quotas import gate
from greengagefall.quotas.arithmetic import PERMIT_VALIDITY_S
from greengagefall.quotas.gate import UNLIMITED, QuotaDecision, QuotaGate
from greengagefall.utils.clock import ManualClock
from greengagefall.workspaces.directory import Workspace, WorkspaceDirectory

WORKSPACE = Workspace("w", rate_per_s=10.0, burst=5.0)
API_KEY = "key"
TIMEOUT_S = 1.0
POOL = Service("pool", "/", 8, 0.0, 0.0, False, 0.0)
ROUTE = Route("r", "h", "/", (Destination("pool", 1.0),), True, 1, 0.5, 2.0, 2)


class GateTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(100.0)
        self.calls = []
        self.replies = {}
        self.delay_s = 0.0
        self.gate = QuotaGate(self.call, lambda _: "limiter", lambda _: "fallback", self.clock)

    async def call(self, host, message, timeout_s):
        self.calls.append((host, message.needed, message.expected))
        await asyncio.sleep(0)
        self.clock.advance(self.delay_s)
        granted = self.replies[host]
        if granted is None:
            return UNREACHABLE
        granted = min(granted, message.needed + message.expected)
        retry_after_ms = 0 if granted >= message.needed else 700
        return QuotaGranted(0, True, granted, retry_after_ms)

    async def take(self, count=1, workspace=WORKSPACE):
        return await asyncio.gather(*(self.gate.take(workspace, TIMEOUT_S) for _ in range(count)))

    async def test_workspace_without_limit_costs_no_call(self):
        """Guards against work for requests that no quota limits."""
        self.assertEqual(await self.take(1, Workspace("free")), [UNLIMITED])
        self.assertEqual(await self.take(1, None), [UNLIMITED])
        self.assertEqual(self.calls, [])

    async def test_requests_that_wait_share_one_call(self):
        """Guards against one call per request while another is under way."""
        self.replies["limiter"] = 100
        decisions = await self.take(8)
        self.assertTrue(all(decision.granted for decision in decisions))
        self.assertEqual([needed for _, needed, _ in self.calls], [8])

    async def take_during_the_first_call(self, *, abandon=False):
        """Returns the decision for a request that arrives while the first call is under way."""
        release = asyncio.Event()
        call = self.gate._call

        async def held_call(*arguments):
            await release.wait()
            return await call(*arguments)

        self.gate._call = held_call
        first = asyncio.create_task(self.gate.take(WORKSPACE, TIMEOUT_S))
        await asyncio.sleep(0)
        second = asyncio.create_task(self.gate.take(WORKSPACE, TIMEOUT_S))
        await asyncio.sleep(0)
        if abandon:
            first.cancel()
        release.set()
        return await second

    async def test_permits_left_go_to_requests_that_arrived_during_the_call(self):
        """Guards against a second round trip, and requests overtaken, while permits are unused."""
        self.replies["limiter"] = 100
        with mock.patch.object(gate._Demand, "expected", return_value=2):
            decision = await self.take_during_the_first_call()
        self.assertTrue(decision.granted)
        self.assertEqual(len(self.calls), 1)

    async def test_request_is_not_refused_in_the_place_of_one_that_left(self):
        """Guards against a refusal by a call that did not ask for the request."""
        granted = iter((0, 1))
        self.replies = mock.MagicMock()
        self.replies.__getitem__.side_effect = lambda _: next(granted)
        self.assertTrue((await self.take_during_the_first_call(abandon=True)).granted)

    async def test_exhausted_quota_is_remembered_until_the_named_time(self):
        """Guards against a call for each request over the quota, and against refusing longer."""
        self.replies["limiter"] = 0
        (first,) = await self.take()
        self.clock.advance(0.69)
        (second,) = await self.take()
        self.assertEqual((first.reason, second.reason), (outcomes.OVER_QUOTA,) * 2)
        self.assertEqual(len(self.calls), 1)
        self.clock.advance(0.02)
        self.replies["limiter"] = 1
        self.assertTrue((await self.take())[0].granted)

    async def test_raised_limit_ends_the_memory_of_an_exhausted_quota(self):
        """Guards against refusals by a limit that is no longer in force."""
        self.replies["limiter"] = 0
        await self.take()
        self.replies["limiter"] = 1
        (decision,) = await self.take(1, WORKSPACE._replace(rate_per_s=50.0))
        self.assertTrue(decision.granted)

    async def test_fallback_is_asked_while_the_limiter_does_not_answer(self):
        """Guards against refusals while only the limiter is unreachable, and repeated waits."""
        self.replies.update(limiter=None, fallback=1)
        self.assertEqual((await self.take())[0].source, "fallback")
        self.assertEqual((await self.take())[0].source, "fallback")
        self.assertEqual([host for host, _, _ in self.calls], ["limiter", "fallback", "fallback"])

    async def test_refused_with_503_if_nobody_answers(self):
        """Guards against passing requests on without a permit."""
        self.replies.update(limiter=None, fallback=None)
        (decision,) = await self.take()
        self.assertEqual(decision.reason, outcomes.QUOTA_UNAVAILABLE)
        self.assertGreater(decision.retry_after_ms, 0)

    async def test_reply_after_the_validity_grants_nothing(self):
        """Guards against permits that pass in a later window than the one that they count in."""
        self.replies.update(limiter=1, fallback=None)
        self.delay_s = PERMIT_VALIDITY_S
        self.assertFalse((await self.take())[0].granted)

    async def test_permit_is_checked_again_when_the_request_resumes(self):
        """Guards against a process that is suspended between the reply and the use."""
        self.replies["limiter"] = 1
        distribute = self.gate._distribute

        def distribute_and_suspend(*arguments):
            distribute(*arguments)
            self.clock.advance(PERMIT_VALIDITY_S)

        self.gate._distribute = distribute_and_suspend
        self.assertFalse((await self.take())[0].granted)

    async def test_unused_permits_expire(self):
        """Guards against a stock that outlasts the window."""
        self.replies["limiter"] = 100
        await self.take()
        while not self.gate._states["w"].stock:
            await self.take()
        calls = len(self.calls)
        self.clock.advance(PERMIT_VALIDITY_S)
        await self.take()
        self.assertEqual(len(self.calls), calls + 1)

    async def test_failed_call_refuses_the_requests_that_wait(self):
        """Guards against requests that wait until their deadline after an error."""
        with self.assertLogs("greengagefall", "ERROR"):
            (decision,) = await self.take()  # No reply is scripted: the call raises an error.
        self.assertEqual(decision.reason, outcomes.QUOTA_UNAVAILABLE)
        self.assertEqual(decision.source, "none")


class RepeatedSendTests(unittest.IsolatedAsyncioTestCase):
    async def repeat(self, outcome, granted):
        """Returns the permits and sends of a request whose first attempt had an outcome."""
        workspaces = WorkspaceDirectory([WORKSPACE], {API_KEY: WORKSPACE.name}, required=True)
        table = RoutingTable(1, {"h": (ROUTE,)}, {"pool": POOL}, 0, 0, 0.0, workspaces=workspaces)
        view = mock.Mock(routing_table=table)
        view.settings.limits = OperatorLimits()
        view.hosts = {}
        gate = mock.Mock(take=mock.AsyncMock(side_effect=granted))
        router = Router(view, None, ManualClock(100.0), quota_gate=gate)
        answer = Dispatched(0, 200, [], b"", 0)
        router._target = mock.Mock(return_value=("host", ""))
        router._send = mock.AsyncMock(side_effect=[outcome, answer])
        request = CallerRequest("id", "GET", "h", "/", [], b"", math.inf, NO_KEY, (API_KEY,))
        await router.route(request)
        return gate.take.await_count, router._send.await_count

    async def test_send_after_one_that_may_have_run_takes_another_permit(self):
        """Guards against two arrivals at servers that count as one."""
        lost = outcomes.failure(outcomes.OUTCOME_UNKNOWN, sent=True)
        granted, refused = UNLIMITED, QuotaDecision(False, outcomes.OVER_QUOTA)
        self.assertEqual(await self.repeat(lost, [granted, granted]), (2, 2))
        self.assertEqual(await self.repeat(lost, [granted, refused]), (2, 1))

    async def test_send_after_one_that_did_not_run_takes_none(self):
        """Guards against a permit, and a call, for each attempt that reached no server."""
        refused = outcomes.failure(outcomes.SERVER_REFUSED, sent=True)
        self.assertEqual(await self.repeat(refused, [UNLIMITED]), (1, 2))

    async def test_request_over_the_quota_is_not_sent(self):
        """Guards against a refusal with 429 whose request is executed."""
        over = QuotaDecision(False, outcomes.OVER_QUOTA)
        self.assertEqual(await self.repeat(None, [over]), (1, 0))
