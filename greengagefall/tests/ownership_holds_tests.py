"""Tests of grant durations, rows of assignments, and the choice of dispatchers."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from greengagefall.gateway.dispatch_planning import DispatcherCandidate, plan_dispatchers
from greengagefall.gateway.model import ServerEntry
from greengagefall.ownership import rows
from greengagefall.ownership.exceptions import AssignmentError
from greengagefall.ownership.key_grants import (
    GRANT_DURATION_S,
    MAX_DELIVERY_DELAY_S,
    KeyGrantTracker,
    max_grant_lifetime_s,
)
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    Assignment,
    DispatcherRecord,
    HostIncarnation,
    KeyRange,
    ServerIncarnation,
)
from greengagefall.utils.clock import ManualClock

A = ServerIncarnation("a", 1)
B = ServerIncarnation("b", 2)
ONE = HostIncarnation("one", 5)
TWO = HostIncarnation("two", 6)
THREE = HostIncarnation("three", 7)


class KeyGrantTrackerTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(10.0)
        self.tracker = KeyGrantTracker(self.clock)

    def test_an_unanswered_grant_may_be_in_force_from_its_latest_arrival(self):
        self.tracker.record_sent(0, 99)
        expected_s = 10.0 + MAX_DELIVERY_DELAY_S + max_grant_lifetime_s()
        self.assertAlmostEqual(self.tracker.grants_expired_by_s(50, 60), expected_s)
        self.assertEqual(self.tracker.grants_expired_by_s(100, 200), 0.0)
        self.assertFalse(self.tracker.holds(50, 1))

    def test_a_grant_that_was_given_up_late_may_be_in_force_from_then(self):
        self.tracker.record_sent(0, 99)
        self.clock.advance(MAX_DELIVERY_DELAY_S + 1.0)
        self.tracker.record_given_up(0, 99)
        expected_s = self.clock.now_s() + max_grant_lifetime_s()
        self.assertAlmostEqual(self.tracker.grants_expired_by_s(50, 60), expected_s)

    def test_an_answered_grant_is_confirmed_from_the_time_it_was_sent(self):
        self.tracker.record_sent(0, 99)
        self.clock.advance(0.2)
        self.tracker.record_granted(0, 99, 4, 10.0)
        self.assertTrue(self.tracker.holds(99, 4))
        self.assertFalse(self.tracker.holds(99, 5))
        self.clock.advance(GRANT_DURATION_S - 0.1)
        self.assertFalse(self.tracker.holds(99, 4))

    def test_the_grant_lifetime_covers_a_slow_server_clock(self):
        self.assertGreaterEqual(max_grant_lifetime_s(), GRANT_DURATION_S * 1.02)

    def test_released_keys_are_not_held_and_their_neighbours_are(self):
        self.tracker.record_granted(0, 99, 4, 10.0)
        self.tracker.discard_confirmed(40, 59)
        held = [key for key in range(100) if self.tracker.holds(key, 4)]
        self.assertEqual(held, [*range(40), *range(60, 100)])


CUTS = st.lists(st.integers(1, 65_535), unique=True, max_size=8).map(sorted)


def assignment_of(cuts: list[int], version: int, seed: int) -> Assignment:
    rng = random.Random(seed)
    bounds = [0, *cuts, 65_536]
    key_ranges = []
    for index, first in enumerate(bounds[:-1]):
        owner = rng.choice((A, B))
        source = rng.choice((A, B, ServerIncarnation("", 0)))
        key_ranges.append(KeyRange(first, bounds[index + 1] - 1, owner, rng.randrange(99), source))
    dispatchers = {
        name: DispatcherRecord(rng.choice((ONE, TWO)), rng.choice(((), (THREE,))))
        for name in rng.sample(["a", "b", "c"], rng.randrange(4))
    }
    return Assignment(version, 99, {"svc": tuple(key_ranges)}, dispatchers)


class RowTests(unittest.TestCase):
    @given(CUTS, CUTS, st.integers(0, 99))
    def test_a_difference_turns_one_version_into_the_next(self, before, after, seed):
        old = assignment_of(before, 3, seed)
        new = assignment_of(after, 4, seed + 1)
        change = rows.difference(old, new)
        self.assertEqual(rows.apply_difference(old, 4, 99, change), new)

    @given(CUTS, st.integers(0, 99))
    def test_an_encoded_assignment_is_decoded_unchanged(self, cuts, seed):
        assignment = assignment_of(cuts, 8, seed)
        self.assertEqual(rows.decode(rows.encode(assignment, "w")), assignment)

    def test_an_empty_value_is_an_empty_assignment(self):
        self.assertEqual(rows.decode(b""), EMPTY_ASSIGNMENT)

    @given(st.binary(min_size=1, max_size=30))
    def test_unreadable_bytes_are_refused(self, value):
        with self.assertRaises(AssignmentError):
            rows.decode(value)

    def test_keys_are_found_in_their_key_range(self):
        assignment = assignment_of([100, 200], 1, 0)
        self.assertEqual(assignment.find_key_range("svc", 99).first, 0)
        self.assertEqual(assignment.find_key_range("svc", 100).first, 100)
        self.assertEqual(assignment.find_key_range("svc", 65_535).first, 200)
        self.assertIsNone(assignment.find_key_range("other", 5))


def entry(name: str, zone: str, service: str = "svc") -> ServerEntry:
    return ServerEntry(name, service, "10.0.0.1:80", zone, 6, False, 0.0, 1)


class DispatchPlanningTests(unittest.TestCase):
    def setUp(self):
        self.hosts = [
            DispatcherCandidate(ONE, "x", 1.0),
            DispatcherCandidate(TWO, "x", 1.0),
            DispatcherCandidate(THREE, "y", 1.0),
        ]
        self.servers = {name: entry(name, "x") for name in "abcd"}

    def plan(self, present, hosts=None, coordinator=THREE, keyed=("svc",), holders=()):
        return plan_dispatchers(
            present, self.servers, holders, hosts or self.hosts, coordinator, keyed
        )

    def test_hosts_of_the_zone_share_its_servers(self):
        planned = self.plan({})
        chosen = [planned[name].dispatcher for name in "abcd"]
        self.assertEqual(sorted(chosen), [ONE, ONE, TWO, TWO])

    def test_a_dispatcher_that_is_still_a_candidate_stays(self):
        planned = self.plan({})
        self.assertEqual(self.plan(planned), planned)

    def test_servers_of_a_lost_host_get_another_dispatcher_and_it_stays_a_granter(self):
        planned = self.plan({})
        after = self.plan(planned, self.hosts[1:])
        for name in "abcd":
            self.assertEqual(after[name].dispatcher, TWO)
            if planned[name].dispatcher == ONE:
                self.assertEqual(after[name].granters, (TWO, ONE))

    def test_a_host_of_another_zone_dispatches_until_the_zone_has_one(self):
        planned = self.plan({}, self.hosts[2:])
        self.assertTrue(all(row.dispatcher == THREE for row in planned.values()))
        after = self.plan(planned)
        self.assertTrue(all(row.dispatcher != THREE for row in after.values()))

    def test_the_coordinator_dispatches_nothing_if_another_host_can(self):
        planned = self.plan({}, coordinator=ONE)
        self.assertTrue(all(row.dispatcher == TWO for row in planned.values()))

    def test_servers_without_keys_share_a_dispatcher_in_their_zone(self):
        planned = self.plan({}, keyed=())
        self.assertEqual(len({row.dispatcher for row in planned.values()}), 1)

    def test_a_removed_server_keeps_its_dispatcher_while_it_may_hold_keys(self):
        planned = self.plan({})
        del self.servers["a"]
        self.assertIn("a", self.plan(planned, holders={"a"}))
        self.assertNotIn("a", self.plan(planned))

    def test_a_plan_without_hosts_changes_nothing(self):
        planned = self.plan({})
        lost = plan_dispatchers(planned, self.servers, (), [], THREE, ("svc",))
        self.assertEqual(lost, planned)
