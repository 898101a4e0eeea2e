"""Tests resolving the entry host that dispatches a backend server."""

from __future__ import annotations

import json
import unittest

from greengagefall.coordination.epochs import first_members_record, members_record_to_json
from greengagefall.coordination.model import Member
from greengagefall.entry.host_state import HostState
from greengagefall.entry.targets import AVOID_HOST_S, Target, TargetResolver
from greengagefall.protocol import refusals
from greengagefall.protocol.make_refusal import make_refusal
from greengagefall.protocol.messages import Answer, Documents
from greengagefall.utils.clock import ManualClock

SERVER = "proofdesk/p1"


class TargetsTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.state = HostState("d", "zone-b", "d1")
        members = [Member(name, f"{name}1", f"{name}:1", f"{name}:2", False) for name in "abc"]
        record = members_record_to_json(first_members_record("zone-a", members))
        self.state.merge(Documents(0, [["members/zone-a", 1, "whole", json.dumps(record)]]))
        self.targets = TargetResolver(self.state, None, self.clock)
        self.candidates = [member.host for member in self.state.candidates(SERVER, "zone-a")]

    def dispatcher_host(self):
        return self.targets.dispatcher_host(SERVER, "zone-a")

    def record_refusal(self, host, reason, hint=""):
        outcome = make_refusal("r", reason, hint_host=hint)
        self.targets.record_outcome(Target(SERVER, "p1", host, 1, 1, 1), outcome)

    def record_answer(self, host):
        answer = Answer(0, "r", 200, [], b"", 0, 0.0)
        self.targets.record_outcome(Target(SERVER, "p1", host, 1, 1, 1), answer)

    def test_host_that_answered_is_used_again(self):
        self.record_answer(self.candidates[2])
        self.assertEqual(self.dispatcher_host(), self.candidates[2])

    def test_hint_host_is_used(self):
        self.record_refusal(self.candidates[0], refusals.NOT_DISPATCHER, hint=self.candidates[2])
        self.assertEqual(self.dispatcher_host(), self.candidates[2])

    def test_many_failures_at_one_host_advance_one_candidate(self):
        # If each failed request advances to the next candidate, they skip the host that took over.
        self.assertEqual(self.dispatcher_host(), self.candidates[0])
        for _ in range(5):
            self.record_refusal(self.candidates[0], refusals.NOT_DISPATCHER)
        self.assertEqual(self.dispatcher_host(), self.candidates[1])

    def test_stopping_host_is_not_used_again(self):
        # A host that stops as planned refuses requests, possibly for long before its process ends.
        self.record_answer(self.candidates[2])
        self.record_refusal(self.candidates[2], refusals.STOPPING)
        self.assertNotEqual(self.dispatcher_host(), self.candidates[2])

    def test_unreachable_host_is_used_last_for_a_while(self):
        self.assertEqual(self.dispatcher_host(), self.candidates[0])
        self.record_refusal(self.candidates[0], refusals.DISPATCHER_UNREACHABLE)
        used_hosts = {self.dispatcher_host()}
        self.record_refusal(self.dispatcher_host(), refusals.NOT_DISPATCHER)
        used_hosts.add(self.dispatcher_host())
        self.assertNotIn(self.candidates[0], used_hosts)
        self.clock.advance(AVOID_HOST_S + 0.1)
        self.record_refusal(self.dispatcher_host(), refusals.NOT_DISPATCHER)
        self.assertIn(self.dispatcher_host(), self.candidates)
