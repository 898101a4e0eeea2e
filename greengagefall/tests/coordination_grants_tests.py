"""Stateful tests of slice maps, grants and the release floor, with planted faults."""

from __future__ import annotations

import unittest

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

from greengagefall.coordination import slice_map_changes as changes
from greengagefall.coordination.grants import GRANT_TTL_S, MS_PER_S, GrantTracker
from greengagefall.tests.grants_model import (
    RATES,
    SERVERS,
    SLICES,
    GrantsModel,
    Server,
    first_seed_with_violation,
)
from greengagefall.utils import invariants
from greengagefall.utils.clock import ManualClock

MAJORITIES = ((0, 1), (0, 2), (1, 2), (0, 1, 2))
SERVER = st.sampled_from(SERVERS)
SLICE = st.integers(0, SLICES - 1)
INDEX = st.integers(0, 7)


class GrantsMachine(RuleBasedStateMachine):
    model_class = GrantsModel

    @initialize(rates=st.lists(st.sampled_from(RATES), min_size=3, max_size=3))
    def start(self, rates):
        self.model = self.model_class(rates)

    @rule(step_s=st.sampled_from([0.01, 0.5, 1.0, 1.6]))
    def advance(self, step_s):
        self.model.now_s += step_s

    @rule(server=SERVER, newest=st.booleans(), arrives=st.booleans())
    def renew(self, server, newest, arrives):
        self.model.renew(server, newest=newest, arrives=arrives)

    @precondition(lambda self: self.model.grants)
    @rule(index=INDEX, keep=st.booleans())
    def deliver_grant(self, index, keep):
        self.model.deliver_grant(index, keep)

    @rule(server=SERVER, index=INDEX)
    def answer(self, server, index):
        self.model.read_clock(server)
        self.model.deliver_answer(index)

    @rule(slice_id=SLICE, witnesses=st.sampled_from(MAJORITIES), learns=st.booleans())
    def move(self, slice_id, witnesses, learns):
        self.model.move(slice_id, witnesses, learns=learns)

    @rule(server=SERVER, majority=st.sampled_from(MAJORITIES), version=st.integers(1, 4))
    def take_over(self, server, majority, version):
        self.model.take_over(server, majority, version)

    @rule(server=SERVER)
    def restart_server(self, server):
        self.model.servers[server].restart()

    @invariant()
    def no_slice_is_held_twice(self):
        if hasattr(self, "model"):
            assert not self.model.slices_granted_twice(), self.model.slices_granted_twice()


class NoFloor(GrantsModel):
    has_floor = False


class NoWaitTracker(GrantTracker):
    def grants_expired_by_s(self, bounds):
        return self._clock.now_s()


class NoWait(GrantsModel):
    tracker_class = NoWaitTracker


class CountsFromReceipt(Server):
    def accept_grant(self, grant):
        until_ms = self.now_ms() + round(GRANT_TTL_S * MS_PER_S)
        return super().accept_grant(grant._replace(until_ms=until_ms))


class DelayedGrantCounts(GrantsModel):
    server_class = CountsFromReceipt


class EarlierGrantsIgnoredTracker(GrantTracker):
    def reset_for_right(self, fence):
        super().reset_for_right(fence)
        self._earlier_grants_expired_by_s = self._clock.now_s()


class EarlierGrantsIgnored(GrantsModel):
    tracker_class = EarlierGrantsIgnoredTracker


class LateAnswersCountTracker(GrantTracker):
    def record_clock_reading(self, incarnation, now_ms, sent_at_s):
        super().record_clock_reading(incarnation, now_ms, float("inf"))


class LateAnswersCount(GrantsModel):
    tracker_class = LateAnswersCountTracker


PLANTED = (NoFloor, NoWait, DelayedGrantCounts, EarlierGrantsIgnored, LateAnswersCount)
RUNS = 1500
STEPS = 60


class GrantsMachineTests(unittest.TestCase):
    def test_no_slice_is_held_twice(self) -> None:
        invariants.reset_violations()
        options = settings(max_examples=200, stateful_step_count=50)
        run_state_machine_as_test(GrantsMachine, settings=options)
        self.assertEqual(invariants.violations(), {})

    def test_random_runs_hold_no_slice_twice(self) -> None:
        self.assertIsNone(first_seed_with_violation(GrantsModel, range(RUNS), STEPS))

    def test_planted_faults_are_caught(self) -> None:
        for model_class in PLANTED:
            with self.subTest(fault=model_class.__name__):
                self.assertIsNotNone(first_seed_with_violation(model_class, range(RUNS), STEPS))


class GrantTrackerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.tracker = GrantTracker("proofdesk/a", self.clock)
        self.map = changes.initial_map("proofdesk", SLICES)
        self.map.apply(changes.next_delta(self.map, changes.assign(self.map, [(0, 2)], "a")))

    def test_late_answer_of_former_incarnation_is_not_used(self) -> None:
        self.tracker.reset_for_right(1)
        self.clock.advance(1.0)
        self.tracker.record_clock_reading("i2", 50, 1.0)
        self.tracker.issue_grant(self.map, 0)
        self.tracker.record_clock_reading("i1", 9000, 0.5)
        self.assertEqual(self.tracker.incarnation, "i2")
        self.assertTrue(self.tracker.may_hold_grant(0))

    def test_old_map_grants_nothing(self) -> None:
        self.tracker.reset_for_right(1)
        self.tracker.record_clock_reading("i1", 50, 0.0)
        self.assertIsNone(self.tracker.issue_grant(self.map, 2))
        self.assertIsNotNone(self.tracker.issue_grant(self.map, 1))


if __name__ == "__main__":
    unittest.main()
