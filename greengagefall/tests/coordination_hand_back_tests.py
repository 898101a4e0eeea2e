"""Tests of handing a dispatch right back to the preferred candidate."""

from __future__ import annotations

import random
import unittest

from greengagefall.coordination.candidate import Candidate
from greengagefall.coordination.epochs import first_members_record
from greengagefall.coordination.model import Member
from greengagefall.coordination.ring import candidates
from greengagefall.coordination.witness import Witness
from greengagefall.utils.clock import ManualClock

SERVER = "proofdesk/p1"
TICK_S = 0.1
MEMBERS = tuple(Member(name, f"{name}1", f"{name}:1", f"{name}:2", False) for name in "abc")


class HandBackTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        record = first_members_record("zone", MEMBERS)
        self.first, second, _ = (member.host for member in candidates(MEMBERS, SERVER))
        self.witnesses = {
            member.host: Witness(member.host, member.incarnation, self.clock) for member in MEMBERS
        }
        self.candidate = Candidate(self.witnesses[second], self.clock, random.Random(1))
        self.candidate.set_servers([SERVER])
        self.candidate.set_members(record)
        for host, witness in self.witnesses.items():
            if host != second:
                witness.set_members(record)

    def run_for(self, seconds, silent=()):
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for sent in self.candidate.build_requests({}):
                if sent.member.host not in silent:
                    reply = self.witnesses[sent.member.host].handle(sent.request)
                    self.candidate.on_reply(reply, sent.sent_at_s)

    def test_hands_back_to_a_candidate_that_answers(self):
        self.run_for(8.0)
        self.assertEqual(self.candidate.servers_to_hand_back(), [SERVER])

    def test_does_not_hand_back_to_a_lost_candidate(self):
        # Guards against a fault in which the host handed the right back every second to a candidate
        # that had been lost.
        self.run_for(8.0)
        self.run_for(3.0, silent={self.first})
        self.assertTrue(self.candidate.right(SERVER).may_send())
        self.assertEqual(self.candidate.servers_to_hand_back(), [])
