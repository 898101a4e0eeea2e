"""Tests of the planning of key ownership by load."""

from __future__ import annotations

import random
import unittest

from greengagefall.ownership.balance import Balance, LoadEstimate
from greengagefall.ownership.key_load import KeyCounter, KeyRates
from greengagefall.ownership.key_moves import (
    REASON_NEW_SERVER,
    REASON_OVERLOAD,
    apply_moves,
    merge_adjacent_ranges,
)
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    LAST_KEY,
    NO_INCARNATION,
    ServerIncarnation,
)
from greengagefall.ownership.planning import PlanInput, plan_moves, plan_urgent_moves
from greengagefall.ownership.shares import ServerCapacity

SERVICE = "proofdesk"
ROUNDS = 60
# So long that the rates of ``rates_of`` hardly vary by chance.
LONG_TIME_CONSTANT_S = 100.0


def server(name: str, service_time_s: float = 0.2, slots: int = 6) -> ServerCapacity:
    return ServerCapacity(ServerIncarnation(name, 1), "a", slots, service_time_s, float("inf"))


def rates_of(per_s: dict[int, float], time_constant_s: float = LONG_TIME_CONSTANT_S) -> KeyRates:
    rates = KeyRates(time_constant_s)
    rates.decay_to(0.0)
    for key, rate in per_s.items():
        rates.add(key, round(rate * time_constant_s))
    rates.build_prefix_sums()
    return rates


def input_of(key_ranges, servers, rates, **others) -> PlanInput:
    """Returns the input of a plan with the same load over a short and a long time."""
    estimate = LoadEstimate(servers, rates)
    return PlanInput(key_ranges, estimate, estimate, **others)


class PlanningTests(unittest.TestCase):
    def apply_plans(self, servers, rates, assignment=EMPTY_ASSIGNMENT):
        """Applies plans until one has no moves; returns the assignment and all moves."""
        moved = []
        moves = [None]
        for _ in range(ROUNDS):
            plan_input = input_of(assignment.key_ranges.get(SERVICE, ()), servers, rates)
            moves = plan_moves(plan_input)
            if not moves:
                break
            moved.extend(moves)
            assignment = merge_adjacent_ranges(apply_moves(assignment, SERVICE, moves), SERVICE)
            key_ranges = tuple(
                key_range._replace(source=NO_INCARNATION)
                for key_range in assignment.key_ranges[SERVICE]
            )
            assignment = assignment._replace(key_ranges={SERVICE: key_ranges})
            self.assert_all_keys_owned(assignment)
        self.assertFalse(moves, "planning still moves keys after the last round")
        return assignment, moved

    def assert_all_keys_owned(self, assignment):
        expected = 0
        for key_range in assignment.key_ranges[SERVICE]:
            self.assertEqual(key_range.first, expected)
            expected = key_range.last + 1
        self.assertEqual(expected, LAST_KEY + 1)

    def load(self, assignment, rates, name):
        return sum(
            rates.rate(key_range.first, key_range.last)
            for key_range in assignment.key_ranges[SERVICE]
            if key_range.owner.server_id == name
        )

    def test_a_service_without_usable_servers_keeps_its_ranges(self):
        # The plan by load divided by the capacity of no server.
        assignment, _ = self.apply_plans([server("a")], rates_of({}))
        plan_input = input_of(assignment.key_ranges[SERVICE], [], rates_of({5: 3.0}))
        self.assertEqual(plan_moves(plan_input), [])

    def test_first_owners_share_all_keys_by_their_slots(self):
        assignment, _ = self.apply_plans([server("a"), server("b", slots=12)], rates_of({}))
        sizes = {
            key_range.owner.server_id: key_range.size
            for key_range in assignment.key_ranges[SERVICE]
        }
        self.assertAlmostEqual(sizes["b"] / sizes["a"], 2, delta=0.01)

    def test_a_busy_key_range_is_split_between_several_servers(self):
        """60 requests a second on 60 neighbouring keys are twice the capacity of one server."""
        servers = [server(name) for name in "abcdef"]
        rates = rates_of(dict.fromkeys(range(1000, 1060), 1.0))
        assignment, _ = self.apply_plans(servers, rates)
        loads = [self.load(assignment, rates, name) for name in "abcdef"]
        self.assertLess(max(loads), 0.7 * 30)
        self.assertGreaterEqual(sum(load > 5 for load in loads), 3)

    def test_busy_keys_side_by_side_are_spread_over_many_servers_by_one_plan(self):
        """Halving the load of one server in each plan took five plans, a second each."""
        servers = [server(f"s{number:03}", 0.25, 3) for number in range(100)]
        calm = dict.fromkeys(range(0, LAST_KEY, 20), 0.005)
        assignment, _ = self.apply_plans(servers, rates_of(calm))
        hot = calm | dict.fromkeys(range(30000, 30200), 1.0)
        estimate = LoadEstimate(servers, rates_of(hot))
        key_ranges = assignment.key_ranges[SERVICE]
        moves = plan_moves(PlanInput(key_ranges, estimate, estimate))
        moved_keys = sum(move.last - move.first + 1 for move in moves)
        self.assertLess(moved_keys, 0.03 * LAST_KEY)
        balance = Balance(apply_moves(assignment, SERVICE, moves).key_ranges[SERVICE], estimate)
        overloaded = [one for one in balance.servers if balance.utilisation(one) > 1.0]
        self.assertEqual(overloaded, [])

    def test_a_single_busy_key_is_moved_alone_to_the_fastest_server(self):
        """One key has 35 requests a second; a usual server can serve 30, the fast one 60."""
        servers = [server("a"), server("b"), server("c"), server("fast", 0.1)]
        rates = rates_of({1030: 35.0, 2000: 3.0, 2100: 3.0})
        assignment, _ = self.apply_plans(servers, rates)
        owner = assignment.find_key_range(SERVICE, 1030).owner
        self.assertEqual(owner.server_id, "fast")
        self.assertEqual(self.load(assignment, rates, "fast"), 35.0)

    def test_a_busy_key_leaves_its_neighbours_in_one_move(self):
        """One of many keys of a server suddenly gets more requests than the server can execute."""
        servers = [server("a"), server("b"), server("c"), server("fast", 0.05)]
        rates = dict.fromkeys(range(0, 65000, 1300), 0.5)
        assignment, _ = self.apply_plans(servers, rates_of(rates))
        key = next(
            key
            for key in rates
            if assignment.find_key_range(SERVICE, key).owner.server_id != "fast"
            and assignment.find_key_range(SERVICE, key).size > 10
        )
        plan_input = input_of(
            assignment.key_ranges[SERVICE], servers, rates_of({**rates, key: 33.0})
        )
        move = plan_moves(plan_input)[0]
        self.assertEqual((move.first, move.last), (key, key))
        self.assertEqual(move.target.server_id, "fast")

    def test_many_keys_leave_a_server_of_little_capacity_in_one_move(self):
        """Each key of the server alone has more requests than its remaining capacity."""
        servers = [server(name) for name in "abcd"]
        rates = rates_of(dict.fromkeys(range(0, 65000, 650), 0.4))
        assignment, _ = self.apply_plans(servers, rates)
        servers[1] = server("b", slots=0.1)
        plan_input = input_of(assignment.key_ranges[SERVICE], servers, rates)
        moves = [move for move in plan_moves(plan_input) if move.source.server_id == "b"]
        self.assertEqual(len(moves), 1)
        self.assertGreater(moves[0].load_per_s, 0.3 * self.load(assignment, rates, "b"))

    def test_a_busy_key_stays_where_no_other_server_has_more_room(self):
        servers = [server(name) for name in "abcd"]
        rates = {1030: 35.0, 2000: 3.0, 2100: 3.0}
        assignment, _ = self.apply_plans(servers, rates_of(rates))
        plan_input = input_of(assignment.key_ranges[SERVICE], servers, rates_of(rates))
        self.assertEqual(plan_moves(plan_input), [])

    def test_keys_of_a_removed_server_go_to_several_others(self):
        servers = [server(name) for name in "abcd"]
        rates = rates_of(dict.fromkeys(range(0, 65000, 2000), 1.0))
        assignment, _ = self.apply_plans(servers, rates)
        assignment, moves = self.apply_plans(servers[1:], rates, assignment)
        self.assertGreaterEqual(len({move.target for move in moves}), 2)
        self.assertTrue(
            all(key_range.owner.server_id != "a" for key_range in assignment.key_ranges[SERVICE])
        )

    def test_a_new_server_gets_a_share(self):
        servers = [server(name) for name in "ab"]
        rates = rates_of(dict.fromkeys(range(0, 65000, 2000), 1.0))
        assignment, _ = self.apply_plans(servers, rates)
        assignment, moves = self.apply_plans([*servers, server("new")], rates, assignment)
        self.assertTrue(moves)
        self.assertGreater(self.load(assignment, rates, "new"), 3)
        self.assertEqual(moves[0].reason, REASON_NEW_SERVER)

    def test_a_balanced_load_moves_nothing(self):
        servers = [server(name) for name in "abcd"]
        rates = rates_of(dict.fromkeys(range(0, 65000, 2000), 1.0))
        _, moves = self.apply_plans(servers, rates)
        self.assertEqual(len(moves), 4)

    def test_fast_servers_are_filled_before_slow_ones(self):
        """With 300 requests a second, 10 of 30 servers take 0.13 s for one, the others 0.31 s."""
        fast = [server(f"fast-{n}", 0.13) for n in range(10)]
        slow = [server(f"slow-{n}", 0.31) for n in range(20)]
        rates = rates_of(dict.fromkeys(range(0, 65000, 216), 1.0))
        equal, _ = self.apply_plans(
            [one._replace(service_time_s=0.2) for one in fast + slow], rates
        )
        assignment, _ = self.apply_plans(fast + slow, rates, equal)
        by_slow = sum(self.load(assignment, rates, one.incarnation.server_id) for one in slow)
        self.assertLess(by_slow, 0.4 * 300)
        for one in fast + slow:
            load = self.load(assignment, rates, one.incarnation.server_id)
            self.assertLess(load / one.capacity_per_s, 0.85)

    def test_keys_go_to_neighbours_so_that_key_ranges_stay_few(self):
        """Fast and slow servers own neighbouring keys, so that moves can shift the bounds."""
        servers = [server(f"s{n:02}", 0.13 if n % 3 == 0 else 0.31) for n in range(30)]
        rates = rates_of(dict.fromkeys(range(0, 65000, 433), 1.0))
        alike = [one._replace(service_time_s=0.2) for one in servers]
        equal, _ = self.apply_plans(alike, rates)
        assignment, moves = self.apply_plans(servers, rates, equal)
        self.assertTrue(moves)
        self.assertLessEqual(len(assignment.key_ranges[SERVICE]), 1.5 * len(servers))

    def test_urgent_moves_are_only_those_of_keys_without_a_usable_owner(self):
        servers = [server(f"s{n:02}", 0.13 if n % 3 == 0 else 0.31) for n in range(30)]
        rates = rates_of(dict.fromkeys(range(0, 65000, 433), 1.0))
        alike = [one._replace(service_time_s=0.2) for one in servers]
        assignment, _ = self.apply_plans(alike, rates)
        key_ranges = assignment.key_ranges[SERVICE]
        self.assertTrue(plan_moves(input_of(key_ranges, servers, rates)))
        self.assertEqual(plan_urgent_moves(input_of(key_ranges, servers, rates)), [])
        busy = rates_of(dict.fromkeys(range(1000, 1060), 1.0))
        self.assertEqual(plan_urgent_moves(input_of(key_ranges, servers, busy)), [])
        moves = plan_moves(input_of(key_ranges, servers, busy))
        self.assertEqual(moves[0].source, assignment.find_key_range(SERVICE, 1030).owner)
        moves = plan_urgent_moves(input_of(key_ranges, servers[1:], rates))
        self.assertEqual({move.source for move in moves}, {servers[0].incarnation})

    def test_differences_of_load_by_chance_move_nothing(self):
        """200 servers with 2.5 requests a second each, in 20 s of independent arrivals."""
        servers = [server(f"s{n:03}", 0.58) for n in range(200)]
        assignment, _ = self.apply_plans(servers, rates_of({}))
        chance = random.Random(7)
        current = KeyRates(1.5)
        steady = KeyRates(6.0)
        moved = 0
        for step in range(200):
            for rates in (current, steady):
                rates.decay_to(0.1 * step)
            for _ in range(50):
                key = chance.randrange(LAST_KEY + 1)
                current.add(key, 1)
                steady.add(key, 1)
            if step % 10 or step < 60:
                continue
            for rates in (current, steady):
                rates.build_prefix_sums()
            plan_input = PlanInput(
                assignment.key_ranges[SERVICE],
                LoadEstimate(servers, current),
                LoadEstimate(servers, steady),
            )
            moved += len(plan_moves(plan_input))
        self.assertLessEqual(moved, 2)

    def test_a_sudden_load_is_relieved_before_the_steady_load_shows_it(self):
        """40 requests a second on 40 keys for 1.5 s, at a server with a capacity of 30."""
        servers = [server(name) for name in "abcdef"]
        assignment, _ = self.apply_plans(servers, rates_of({}))
        busy = dict.fromkeys(range(1000, 1040), 1.0)
        plan_input = PlanInput(
            assignment.key_ranges[SERVICE],
            LoadEstimate(servers, rates_of(busy, 1.5)),
            LoadEstimate(servers, rates_of(dict.fromkeys(busy, 0.25), 6.0)),
        )
        moves = plan_moves(plan_input)
        self.assertEqual(moves[0].source, assignment.find_key_range(SERVICE, 1020).owner)
        self.assertGreater(moves[0].load_per_s, 5.0)
        self.assertEqual(moves[0].reason, REASON_OVERLOAD)

    def test_the_end_with_fewer_keys_is_moved(self):
        """The busy keys of the overloaded server are the last ones of its range."""
        servers = [server(name) for name in "ab"]
        assignment, _ = self.apply_plans(servers, rates_of({}))
        last = assignment.key_ranges[SERVICE][0].last
        busy = rates_of(dict.fromkeys(range(last - 29, last + 1), 1.0))
        moves = plan_moves(input_of(assignment.key_ranges[SERVICE], servers, busy))
        self.assertLess(sum(move.last - move.first + 1 for move in moves), 30)
        self.assertGreater(sum(move.load_per_s for move in moves), 8.0)

    def test_settling_keys_move_only_away_from_an_overloaded_server(self):
        servers = [server(f"s{n}", 0.13 if n % 2 == 0 else 0.31) for n in range(6)]
        alike = [one._replace(service_time_s=0.2) for one in servers]
        rates = rates_of(dict.fromkeys(range(0, 65000, 1300), 1.0))
        assignment, _ = self.apply_plans(alike, rates)
        key_ranges = assignment.key_ranges[SERVICE]
        settling = ((0, LAST_KEY),)
        self.assertTrue(plan_moves(input_of(key_ranges, servers, rates)))
        self.assertEqual(plan_moves(input_of(key_ranges, servers, rates, settling=settling)), [])
        busy = rates_of(dict.fromkeys(range(1000, 1060), 1.0))
        self.assertTrue(plan_moves(input_of(key_ranges, servers, busy, settling=settling)))

    def test_a_server_keeps_a_part_of_its_only_key_range(self):
        servers = [server("slow", 2.0), *(server(f"s{n}") for n in range(5))]
        rates = rates_of(dict.fromkeys(range(0, 65000, 650), 1.0))
        assignment, _ = self.apply_plans(servers, rates)
        owners = {key_range.owner.server_id for key_range in assignment.key_ranges[SERVICE]}
        self.assertIn("slow", owners)

    def test_a_server_that_becomes_slow_keeps_few_requests(self):
        servers = [server(f"s{n}") for n in range(6)]
        rates = rates_of(dict.fromkeys(range(0, 65000, 650), 1.0))
        assignment, _ = self.apply_plans(servers, rates)
        slowed = [server("s0", 1.5), *servers[1:]]
        assignment, _ = self.apply_plans(slowed, rates, assignment)
        self.assertLess(self.load(assignment, rates, "s0"), 2.0)
        self.assertTrue(
            any(key_range.owner.server_id == "s0" for key_range in assignment.key_ranges[SERVICE])
        )

    def test_each_of_many_new_servers_gets_requests(self):
        servers = [server(f"s{n}") for n in range(30)]
        rates = rates_of(dict.fromkeys(range(0, 65000, 108), 1.0))
        assignment, _ = self.apply_plans(servers, rates)
        new = [server(f"new-{n}") for n in range(8)]
        assignment, _ = self.apply_plans([*servers, *new], rates, assignment)
        for one in new:
            self.assertGreater(self.load(assignment, rates, one.incarnation.server_id), 4.0)

    def test_each_move_gets_a_fence_above_all_others(self):
        servers = [server(name) for name in "abcd"]
        rates = rates_of(dict.fromkeys(range(1000, 1060), 2.0))
        assignment = EMPTY_ASSIGNMENT
        highest = 0
        for _ in range(10):
            plan_input = input_of(assignment.key_ranges.get(SERVICE, ()), servers, rates)
            assignment = apply_moves(assignment, SERVICE, plan_moves(plan_input))
            fences = [
                key_range.fence for key_range in assignment.key_ranges[SERVICE] if key_range.moving
            ]
            self.assertTrue(all(fence > 0 for fence in fences))
            self.assertGreaterEqual(assignment.last_fence, highest)
            highest = assignment.last_fence
            key_ranges = tuple(
                key_range._replace(source=NO_INCARNATION)
                for key_range in assignment.key_ranges[SERVICE]
            )
            assignment = assignment._replace(key_ranges={SERVICE: key_ranges})


class KeyLoadTests(unittest.TestCase):
    def test_a_report_is_bounded_and_counts_all_requests(self):
        counter = KeyCounter()
        for key in range(5000):
            counter.add(key)
        for _ in range(100):
            counter.add(777)
        report = counter.pop_counts()
        self.assertLessEqual(len(report), 512)
        self.assertEqual(sum(report[1::2]), 5100)
        self.assertEqual(counter.pop_counts(), [])

    def test_rates_decay_and_are_summed_over_key_ranges(self):
        rates = KeyRates(2.0)
        rates.decay_to(0.0)
        rates.add(10, 4)
        rates.add(20, 2)
        rates.build_prefix_sums()
        self.assertAlmostEqual(rates.rate(0, 15), 2.0)
        self.assertAlmostEqual(rates.rate(0, LAST_KEY), 3.0)
        self.assertEqual(rates.prefix_end(0, 100, 2.5), 19)
        rates.decay_to(2.0)
        rates.build_prefix_sums()
        self.assertAlmostEqual(rates.rate(0, LAST_KEY), 3.0 / 2.718, delta=0.01)

    def test_rates_stay_accurate_over_a_long_time(self):
        rates = KeyRates(1.5)
        for step in range(2000):
            rates.decay_to(1_000_000.0 + step * 0.1)
            rates.add(step % 7, 2)
        rates.build_prefix_sums()
        # Each step of 0.1 s adds 2 requests, which makes 20 requests a second.
        self.assertAlmostEqual(rates.rate(0, LAST_KEY), 20.0, delta=1.0)

    def test_keys_without_recent_requests_are_dropped(self):
        rates = KeyRates(1.0)
        rates.decay_to(50.0)
        for key in range(100):
            rates.add(key, 1)
        rates.decay_to(55.0)
        rates.add(500, 1)
        rates.build_prefix_sums()
        self.assertEqual(rates.rate(0, 99), 0.0)
        self.assertAlmostEqual(rates.rate(500, 500), 1.0)
