"""Compares executions of requests with the outcomes that the dispatcher and forwarder report."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from types import SimpleNamespace
from typing import ClassVar

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok
from tornado.httputil import HTTPHeaders

from greengagefall.coordination.grants import GrantTracker
from greengagefall.dispatch.connection_pool import HttpAnswer
from greengagefall.dispatch.exceptions import (
    AnswerLostError,
    AnswerMismatchError,
    AnswerTimeoutError,
    AnswerTooLargeError,
    NotSentError,
    SendRefusedError,
)
from greengagefall.dispatch.server_control import ControlReply
from greengagefall.dispatch.server_dispatcher import ServerDispatcher
from greengagefall.entry.forwarder import Forwarder
from greengagefall.entry.targets import Target
from greengagefall.protocol import refusals
from greengagefall.protocol.make_refusal import make_refusal
from greengagefall.protocol.messages import Answer, Forward
from greengagefall.routing.parse import parse_config
from greengagefall.utils import invariants
from greengagefall.utils.clock import ManualClock, SystemClock

IDS = [f"{kind}-{number}" for kind in ("read", "write") for number in range(3)]
RESULTS = ["ok", "refused", "lost_ran", "lost_not_run", "timeout", "crossed", "large", "not_sent"]
EXECUTED_RESULTS = {"ok", "lost_ran", "timeout", "crossed", "large"}
DOCUMENT = {
    "zones": {"a": {"state": "in"}},
    "back_ends": {
        "benchline": {
            "kind": "pooled",
            "queue_limit": 2,
            "servers": {"b1": {"address": "127.0.0.1:9", "zone": "a", "slots": 2}},
        }
    },
}
CONFIG = parse_config(DOCUMENT).ok_value
BACK_END = CONFIG.back_ends["benchline"]


def forward_message(request_id):
    repeatable = request_id.startswith("read")
    names = ("benchline", "b1", -1, 0, 0, "GET" if repeatable else "POST", "/", [], b"")
    return Forward(0, request_id, *names, 60_000, repeatable, 0, "caller", "")


class FakePool:
    """Stands in for the connections to a server; the test chooses the result of each request.

    ``executions`` counts the executions by request id.
    """

    def __init__(self):
        self.in_progress = []
        self.executions = Counter()

    async def exchange(self, request, timeout_s, may_send, matches):
        if not may_send():
            raise SendRefusedError("no right")
        request_id = dict(map(tuple, request.headers))["X-Request-Id"]
        future = asyncio.get_running_loop().create_future()
        self.in_progress.append((request_id, future))
        result = await future
        answer = answer_for_result(request_id, result)
        if not matches(answer):
            raise AnswerMismatchError(result)
        return answer

    def finish(self, index, result):
        request_id, future = self.in_progress.pop(index % len(self.in_progress))
        if future.done():
            # The dispatcher cancelled the exchange, but the server may still execute the request.
            self.executions[request_id] += result in EXECUTED_RESULTS
            return
        self.executions[request_id] += result in EXECUTED_RESULTS
        future.set_result(result)

    def close(self):
        self.in_progress.clear()


def answer_for_result(request_id, result):
    errors = {
        "lost_ran": AnswerLostError,
        "lost_not_run": AnswerLostError,
        "timeout": AnswerTimeoutError,
        "large": AnswerTooLargeError,
        "not_sent": NotSentError,
    }
    if result in errors:
        raise errors[result](result)
    if result == "refused":
        headers = HTTPHeaders({"X-Request-Id": request_id, "X-Not-Run": "shedding"})
        return HttpAnswer(503, headers, b"")
    answered = "another" if result == "crossed" else request_id
    return HttpAnswer(200, HTTPHeaders({"X-Request-Id": answered}), answered.encode())


class DispatcherMachine(RuleBasedStateMachine):
    """Exercises a dispatcher with resent ids, lost rights, restarts and disconnecting callers."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.right = SimpleNamespace(fence=7, held=True)
        self.right.may_send = lambda: self.right.held
        self.pool = FakePool()
        self.tasks = []
        self.violations = Counter(invariants.violations())
        self.loop.run_until_complete(self.start())

    async def start(self):
        clock = SystemClock()
        grant_tracker = GrantTracker("benchline/b1", clock)
        self.dispatcher = ServerDispatcher(
            BACK_END,
            BACK_END.servers["b1"],
            CONFIG.limits,
            self.right,
            grant_tracker,
            lambda: None,
            clock,
        )
        self.dispatcher._pool = self.pool
        self.report_incarnation("i1")

    def report_incarnation(self, incarnation):
        busy = self.dispatcher.limit.in_flight
        self.dispatcher.health.on_answer(False)
        self.dispatcher._on_control_reply(ControlReply(incarnation, 1, False, busy, True, "", 0, 0))

    def run_until_idle(self):
        async def yield_repeatedly():
            for _ in range(6):
                await asyncio.sleep(0)

        self.loop.run_until_complete(yield_repeatedly())
        for task, request_id in list(self.tasks):
            if task.done():
                self.tasks.remove((task, request_id))
                if not task.cancelled():
                    self.check_outcome(request_id, task.result())

    def check_outcome(self, request_id, outcome):
        assert outcome.request_id == request_id
        if isinstance(outcome, Answer):
            assert outcome.body == request_id.encode()
            assert self.pool.executions[request_id] >= 1
        elif outcome.not_run and request_id.startswith("write"):
            assert self.pool.executions[request_id] == 0, (
                "reported as not executed, but was executed"
            )

    @rule(request_id=st.sampled_from(IDS))
    def submit(self, request_id):
        task = self.loop.create_task(self.dispatcher.submit(forward_message(request_id)))
        self.tasks.append((task, request_id))
        self.run_until_idle()

    @rule(index=st.integers(0, 9), result=st.sampled_from(RESULTS))
    def server_finishes(self, index, result):
        if self.pool.in_progress:
            self.pool.finish(index, result)
            self.run_until_idle()

    @rule(index=st.integers(0, 9))
    def caller_disconnects(self, index):
        if self.tasks:
            self.tasks[index % len(self.tasks)][0].cancel()
            self.run_until_idle()

    @rule(held=st.booleans())
    def right_changes(self, held):
        self.right.held = held

    @rule(incarnation=st.sampled_from(["i1", "i2"]))
    def server_answers_control(self, incarnation):
        self.report_incarnation(incarnation)
        self.run_until_idle()

    @invariant()
    def non_idempotent_requests_are_executed_at_most_once(self):
        for request_id, executions in self.pool.executions.items():
            assert request_id.startswith("read") or executions <= 1, (
                f"{request_id} was executed {executions} times"
            )

    @invariant()
    def limit_and_internal_invariants_hold(self):
        assert self.dispatcher.limit.in_flight <= 2
        assert Counter(invariants.violations()) == self.violations

    def teardown(self):
        for task, _ in self.tasks:
            task.cancel()
        self.loop.run_until_complete(self.cancel_all())
        self.loop.close()

    async def cancel_all(self):
        pending = asyncio.all_tasks() - {asyncio.current_task()}
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)


DispatcherOutcomeTests = DispatcherMachine.TestCase


class ReleaseWithoutGrantsTests(unittest.IsolatedAsyncioTestCase):
    async def test_release_waits_after_every_request_of_unknown_outcome(self):
        # The server may still execute a request after a timeout, a lost connection or a caller's
        # disconnect. The test fails if only timeouts delay the release.
        clock = ManualClock()
        right = SimpleNamespace(fence=7, may_send=lambda: True, stored_map_version=lambda: 0)
        without_grants = BACK_END._replace(checks_orders=False)
        dispatcher = ServerDispatcher(
            without_grants,
            without_grants.servers["b1"],
            CONFIG.limits,
            right,
            GrantTracker("benchline/b1", clock),
            lambda: None,
            clock,
        )
        pool = dispatcher._pool = FakePool()
        for result in ("lost_ran", "timeout", "crossed", "large", None):
            dispatcher.health.on_answer(False)
            dispatcher._on_control_reply(ControlReply("i1", 1, False, 0, True, "", 0, 0))
            clock.advance(CONFIG.limits.timeout_ms / 1000)
            self.assertTrue(dispatcher.check_release([[0, 0]], 0)[0])
            task = asyncio.create_task(dispatcher.submit(forward_message("read-1")))
            await asyncio.sleep(0)
            if result is None:
                task.cancel()
            else:
                pool.finish(0, result)
            await asyncio.gather(task, return_exceptions=True)
            self.assertFalse(dispatcher.check_release([[0, 0]], 0)[0], result)
        await dispatcher.close()


class ForwarderOutcomeTests(unittest.TestCase):
    @given(
        results=st.lists(st.sampled_from(RESULTS), max_size=12),
        final_result=st.sampled_from(["ok", "not_sent", "refused"]),
        repeatable=st.booleans(),
    )
    def test_reported_outcome_is_true(self, results, final_result, repeatable):
        executions, outcome = asyncio.run(self.run_forwarder([*results, final_result], repeatable))
        if not repeatable:
            self.assertLessEqual(executions, 1)
        if isinstance(outcome, Answer):
            self.assertGreaterEqual(executions, 1)
        elif outcome.not_run:
            # The outcome is about all attempts: that a later attempt was not executed says nothing
            # about the first one.
            self.assertEqual(executions, 0)

    async def run_forwarder(self, results, repeatable):
        transport = ScriptedTransport(results)
        targets = SimpleNamespace(
            resolve=lambda request, attempted_servers: Ok(Target("p/s", "s", "h", 1, 1, 1)),
            record_outcome=lambda target, outcome: None,
        )
        forwarder = Forwarder(targets, transport, None, SystemClock(), 10.0)
        forwarder._pause = no_pause
        request = SimpleNamespace(
            request_id="r",
            back_end=BACK_END._replace(kind="keyed"),
            request_class=SimpleNamespace(repeatable=repeatable, priority=0),
            method="POST",
            path="/",
            headers=[],
            body=b"",
            timeout_ms=60_000,
            caller="c",
        )
        outcome = await forwarder.forward(request)
        return transport.executions, outcome


class ScriptedTransport:
    """Returns the scripted results in order and repeats the last one."""

    REASONS: ClassVar = {
        "refused": refusals.SERVER_REFUSED,
        "lost_ran": refusals.OUTCOME_UNKNOWN,
        "lost_not_run": refusals.OUTCOME_UNKNOWN,
        "timeout": refusals.TIMED_OUT,
        "crossed": refusals.CROSSED_ANSWER,
        "large": refusals.ANSWER_TOO_LARGE,
        "not_sent": refusals.SERVER_UNREACHABLE,
    }

    def __init__(self, results):
        self.results = results
        self.executions = 0

    async def send(self, target, message):
        result = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        self.executions += result in EXECUTED_RESULTS
        if result == "ok":
            return Answer(0, message.request_id, 200, [], b"", 0, 0.0)
        return make_refusal(message.request_id, self.REASONS[result])


async def no_pause(attempt, outcome, is_redirect, deadline_s):
    return True
