"""Tests of finding the dispatcher of a backend server."""

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
        self.order = [member.host for member in self.state.candidates(SERVER, "zone-a")]

    def ask(self):
        return self.targets.dispatcher_host(SERVER, "zone-a")

    def learn(self, host, reason, hint=""):
        outcome = make_refusal("r", reason, hint_host=hint)
        self.targets.record_outcome(Target(SERVER, "p1", host, 1, 1, 1), outcome)

    def answered_by(self, host):
        answer = Answer(0, "r", 200, [], b"", 0, 0.0)
        self.targets.record_outcome(Target(SERVER, "p1", host, 1, 1, 1), answer)

    def test_remembers_who_answered(self):
        self.answered_by(self.order[2])
        self.assertEqual(self.ask(), self.order[2])

    def test_follows_a_hint(self):
        self.learn(self.order[0], refusals.NOT_DISPATCHER, hint=self.order[2])
        self.assertEqual(self.ask(), self.order[2])

    def test_many_failures_at_one_host_move_on_once(self):
        # Each failed request once moved on by itself, past the host that had taken over.
        self.assertEqual(self.ask(), self.order[0])
        for _ in range(5):
            self.learn(self.order[0], refusals.NOT_DISPATCHER)
        self.assertEqual(self.ask(), self.order[1])

    def test_a_stopping_host_is_left(self):
        # A host that stopped as planned was once asked until its process had ended.
        self.answered_by(self.order[2])
        self.learn(self.order[2], refusals.STOPPING)
        self.assertNotEqual(self.ask(), self.order[2])

    def test_an_unreachable_host_is_asked_last_for_a_while(self):
        self.assertEqual(self.ask(), self.order[0])
        self.learn(self.order[0], refusals.DISPATCHER_UNREACHABLE)
        asked = {self.ask()}
        self.learn(self.ask(), refusals.NOT_DISPATCHER)
        asked.add(self.ask())
        self.assertNotIn(self.order[0], asked)
        self.clock.advance(AVOID_HOST_S + 0.1)
        self.learn(self.ask(), refusals.NOT_DISPATCHER)
        self.assertIn(self.ask(), self.order)
