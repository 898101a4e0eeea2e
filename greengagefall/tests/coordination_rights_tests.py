"""Tests of witnesses, candidates and dispatch rights, with planted faults."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from greengagefall.bench.explore_rights import explore, run_one
from greengagefall.bench.rights_model_hosts import BACK_END, SERVER_KEY, HostModel
from greengagefall.coordination import epochs
from greengagefall.coordination.candidate import TICK_S, Candidate
from greengagefall.coordination.dispatch_right import DispatchRight, RightTiming
from greengagefall.coordination.witness import Witness
from greengagefall.protocol.messages import Endorse
from greengagefall.tests.planted_rights import PLANTED, RARE
from greengagefall.utils import invariants
from greengagefall.utils.clock import ManualClock

CI_RUNS = 100
SEARCHED_RUNS = 500
MIN_VALID_SHARE = 0.3
HOSTS = 3
HOST = st.integers(0, HOSTS - 1)
HOST_SET = st.sets(HOST, max_size=HOSTS)
INDEX = st.integers(0, 15)


class RightsMachine(RuleBasedStateMachine):
    """Executes the steps of hosts, messages and the coordinator in any order, each as a rule.

    A paused host is one that makes no step; a lost message is one that is never delivered.
    """

    right_class = DispatchRight

    def __init__(self) -> None:
        super().__init__()
        candidate_class = type("MachineCandidate", (Candidate,), {"right_class": self.right_class})
        self.simulation = SimpleNamespace(
            now_s=0.0, rng=random.Random(0), candidate_class=candidate_class
        )
        self.hosts = [HostModel(self.simulation, f"entry-{n}") for n in range(HOSTS)]
        self.record = epochs.first_members_record("tanta", [host.member() for host in self.hosts])
        self.requests: list[tuple] = []
        self.replies: list[tuple] = []
        self.last_use = ("", 0)
        for host in self.hosts:
            host.candidate.set_members(self.record)

    @initialize(host=HOST)
    def hold(self, host):
        """Starts with a host that holds the right in most examples."""
        self.ask(host, 8, set(range(HOSTS)))

    @rule(step_s=st.sampled_from([0.05, 0.3, 0.6, 1.0]))
    def advance(self, step_s):
        self.simulation.now_s += step_s

    @rule(host=HOST, ticks=st.sampled_from([1, 2, 4, 8]), reached=HOST_SET)
    def ask(self, host, ticks, reached):
        """Lets a host send its due requests for some ticks; the hosts it reaches answer at once."""
        sender = self.hosts[host]
        for _ in range(ticks):
            for outgoing_request in sender.candidate.build_requests({BACK_END: sender.map_version}):
                self.requests.append((sender, sender.incarnation, outgoing_request))
                if outgoing_request.member.host in {f"entry-{n}" for n in reached}:
                    self.deliver(len(self.requests) - 1, keep=False, answered=True)
            self.simulation.now_s += TICK_S

    @precondition(lambda self: self.requests)
    @rule(index=INDEX, keep=st.booleans(), answered=st.booleans())
    def deliver(self, index, keep, answered):
        index %= len(self.requests)
        sender, incarnation, outgoing_request = self.requests[index]
        if not keep:
            del self.requests[index]
        witness = next(host for host in self.hosts if host.name == outgoing_request.member.host)
        reply = witness.witness.handle(outgoing_request.request)
        self.replies.append((sender, incarnation, reply, outgoing_request.sent_at_s))
        if answered:
            self.deliver_reply(-1)

    @precondition(lambda self: self.replies)
    @rule(index=INDEX)
    def deliver_reply(self, index):
        sender, incarnation, reply, sent_at_s = self.replies.pop(index % len(self.replies))
        if sender.incarnation == incarnation:
            sender.candidate.on_reply(reply, sent_at_s)

    @rule(host=HOST)
    def give_back(self, host):
        self.hosts[host].candidate.give_back(SERVER_KEY)

    @rule(hosts=HOST_SET)
    def learn_record(self, hosts):
        for host in hosts:
            self.hosts[host].candidate.set_members(self.record)

    @rule(restarted=HOST_SET, told=HOST_SET)
    def write_epoch(self, restarted, told):
        """Restarts some hosts; the coordinator writes the next epoch if it may do so."""
        for host in restarted:
            self.hosts[host].start()
        answers = {host.name: host.answer() for host in self.hosts}
        changed = [host.member() for host in self.hosts if host.member() not in self.record.members]
        if changed and epochs.is_epoch_complete(self.record, answers):
            self.record = epochs.next_members_record(self.record, updated=changed)
        self.learn_record(told)

    @invariant()
    def one_dispatcher(self):
        holders = [host for host in self.hosts if host.may_send()]
        assert len(holders) <= 1, [host.name for host in holders]
        for host in holders:
            use = (f"{host.name}/{host.incarnation}", host.right().fence)
            assert use == self.last_use or use[1] > self.last_use[1], (use, self.last_use)
            self.last_use = use


class RightsExplorationTests(unittest.TestCase):
    def setUp(self) -> None:
        invariants.reset_violations()

    def test_machine_has_one_dispatcher(self) -> None:
        options = settings(max_examples=100, stateful_step_count=40)
        run_state_machine_as_test(RightsMachine, settings=options)

    def test_random_runs_have_one_dispatcher(self) -> None:
        results = explore(range(CI_RUNS), "harsh")
        self.assertEqual([result for result in results if result.violation], [])
        valid_share = sum(result.valid_share for result in results) / len(results)
        self.assertGreater(valid_share, MIN_VALID_SHARE)
        self.assertEqual(invariants.violations(), {})

    def test_quiet_run_keeps_one_dispatcher(self) -> None:
        result = run_one(0, "quiet")
        self.assertEqual((result.take_overs, result.violation), (1, ""))
        self.assertGreater(result.valid_share, 0.98)

    def test_planted_rules_are_caught(self) -> None:
        for name in PLANTED.keys() - RARE:
            parts = PLANTED[name]
            results = (run_one(seed, parts=parts) for seed in range(SEARCHED_RUNS))
            with self.subTest(rule=name):
                self.assertTrue(any(result.violation for result in results))


def build_request(host: str, number: int, **changes: object) -> Endorse:
    request = Endorse(0, host, "i1", 1, [[SERVER_KEY, 0]], {}, False, number)
    return request._replace(**changes)


class WitnessTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.members = [epochs.Member(name, "i1", "", "", False) for name in ("a", "b", "c")]
        self.record = epochs.first_members_record("tanta", self.members)
        self.witness = Witness("a", "i1", self.clock)
        self.witness.set_members(self.record)

    def endorsed(self, request: Endorse) -> bool:
        return self.witness.handle(request).results[0][1]

    def test_endorsement_is_exclusive_until_expiry_also_across_epochs(self) -> None:
        self.assertTrue(self.endorsed(build_request("b", 1)))
        self.assertFalse(self.endorsed(build_request("c", 1)))
        self.witness.set_members(epochs.next_members_record(self.record))
        reply = self.witness.handle(build_request("b", 2, epoch=2))
        self.assertEqual(reply.results, [[SERVER_KEY, True, 0, True]])
        self.assertFalse(self.endorsed(build_request("c", 2, epoch=2)))
        self.assertFalse(self.endorsed(build_request("c", 3, epoch=1)))
        self.clock.advance(1.0)
        self.assertTrue(self.endorsed(build_request("c", 4, epoch=2)))

    def test_request_older_than_a_give_back_is_not_endorsed(self) -> None:
        self.assertTrue(self.endorsed(build_request("b", 1)))
        self.assertFalse(self.endorsed(build_request("b", 3, resign=True)))
        self.assertFalse(self.endorsed(build_request("b", 2)))
        self.assertTrue(self.endorsed(build_request("c", 1)))

    def test_give_back_older_than_a_request_is_ignored(self) -> None:
        self.assertTrue(self.endorsed(build_request("b", 2)))
        self.assertFalse(self.endorsed(build_request("b", 1, resign=True)))
        self.assertFalse(self.endorsed(build_request("c", 1)))

    def test_other_incarnation_neither_endorses_nor_is_endorsed(self) -> None:
        self.assertFalse(self.endorsed(build_request("b", 1, incarnation="i2")))
        restarted = Witness("a", "i2", self.clock)
        restarted.set_members(self.record)
        self.assertFalse(restarted.handle(build_request("b", 1)).results[0][1])


class SingleHostTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        record = epochs.first_members_record("tanta", [epochs.Member("a", "i1", "", "", False)])
        self.candidate = Candidate(Witness("a", "i1", self.clock), self.clock, random.Random(0))
        self.candidate.set_servers([SERVER_KEY])
        self.candidate.set_members(record)
        self.right = self.candidate.right(SERVER_KEY)

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self.candidate.build_requests({})

    def test_right_expires_without_renewal(self) -> None:
        self.run_for(0.5)
        self.assertTrue(self.right.may_send())
        self.clock.advance(RightTiming().usable_endorsement_s())
        self.assertFalse(self.right.may_send())

    def test_right_gained_again_has_a_higher_fence(self) -> None:
        self.run_for(0.5)
        fence = self.right.fence
        self.clock.advance(2.0)
        self.run_for(0.5)
        self.assertTrue(self.right.may_send())
        self.assertGreater(self.right.fence, fence)

    def test_reply_to_a_request_before_give_back_is_ignored(self) -> None:
        self.run_for(0.5)
        sent_at_s = self.clock.now_s()
        request = build_request("a", 100, servers=[[SERVER_KEY, self.right.fence]])
        reply = Witness("a", "i1", self.clock).handle(request)
        reply = reply._replace(epoch=1, results=[[SERVER_KEY, True, self.right.fence, False]])
        for server_keys in ([SERVER_KEY], []):
            self.candidate.set_servers(server_keys)
            self.candidate.give_back(SERVER_KEY)
        self.candidate.set_servers([SERVER_KEY])
        self.candidate.on_reply(reply, sent_at_s)
        self.assertFalse(self.candidate.right(SERVER_KEY).has_majority())

    def test_resigned_host_gives_back_and_sends_no_requests(self) -> None:
        self.run_for(0.5)
        self.candidate.resign()
        self.assertFalse(self.right.may_send())
        self.run_for(2.0)
        self.assertEqual(self.candidate.held_rights(), [])
        self.assertEqual(self.candidate.dispatcher_host(SERVER_KEY), "")


if __name__ == "__main__":
    unittest.main()
