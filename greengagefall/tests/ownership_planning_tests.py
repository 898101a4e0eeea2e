"""Which server should own which keys, by load."""

from __future__ import annotations

import unittest

from greengagefall.ownership.key_load import KeyCounter, KeyRates
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    LAST_KEY,
    NO_INCARNATION,
    ServerIncarnation,
)
from greengagefall.ownership.planning import (
    PlanInput,
    apply_moves,
    merge_adjacent_ranges,
    plan_moves,
)
from greengagefall.ownership.shares import ServerCapacity

SERVICE = "proofdesk"
ROUNDS = 60


def server(name: str, service_time_s: float = 0.2, slots: int = 6) -> ServerCapacity:
    return ServerCapacity(ServerIncarnation(name, 1), "a", slots, service_time_s, float("inf"))


def rates_of(per_s: dict[int, float]) -> KeyRates:
    rates = KeyRates(1.0)
    rates.decay_to(0.0)
    for key, rate in per_s.items():
        for _ in range(round(rate)):
            rates.add(key, 1)
    rates.build_prefix_sums()
    return rates


class PlanningTests(unittest.TestCase):
    def settle(self, servers, rates, assignment=EMPTY_ASSIGNMENT):
        """Plans and carries out moves until there are none; returns assignment and moves."""
        moved = []
        moves = [None]
        for _ in range(ROUNDS):
            view = PlanInput(assignment.key_ranges.get(SERVICE, ()), servers, rates)
            moves = plan_moves(view)
            if not moves:
                break
            moved.extend(moves)
            assignment = merge_adjacent_ranges(apply_moves(assignment, SERVICE, moves), SERVICE)
            runs = tuple(
                run._replace(source=NO_INCARNATION) for run in assignment.key_ranges[SERVICE]
            )
            assignment = assignment._replace(key_ranges={SERVICE: runs})
            self.check_whole(assignment)
        self.assertFalse(moves, "the plan does not settle")
        return assignment, moved

    def check_whole(self, assignment):
        expected = 0
        for run in assignment.key_ranges[SERVICE]:
            self.assertEqual(run.first, expected)
            expected = run.last + 1
        self.assertEqual(expected, LAST_KEY + 1)

    def load(self, assignment, rates, name):
        return sum(
            rates.rate(run.first, run.last)
            for run in assignment.key_ranges[SERVICE]
            if run.owner.server_id == name
        )

    def test_first_owners_share_all_keys_by_their_slots(self):
        assignment, _ = self.settle([server("a"), server("b", slots=12)], rates_of({}))
        sizes = {run.owner.server_id: run.size for run in assignment.key_ranges[SERVICE]}
        self.assertAlmostEqual(sizes["b"] / sizes["a"], 2, delta=0.01)

    def test_a_busy_stretch_is_cut_over_several_servers(self):
        """60 requests a second on 60 neighbouring keys, twice what one server bears."""
        servers = [server(name) for name in "abcdef"]
        rates = rates_of(dict.fromkeys(range(1000, 1060), 1.0))
        assignment, _ = self.settle(servers, rates)
        loads = [self.load(assignment, rates, name) for name in "abcdef"]
        self.assertLess(max(loads), 0.7 * 30)
        self.assertGreaterEqual(sum(load > 5 for load in loads), 3)

    def test_a_single_busy_key_gets_the_fastest_server_for_itself(self):
        """35 requests a second on one key; the usual server bears 30, the fast one 60."""
        servers = [server("a"), server("b"), server("c"), server("fast", 0.1)]
        rates = rates_of({1030: 35.0, 2000: 3.0, 2100: 3.0})
        assignment, _ = self.settle(servers, rates)
        owner = assignment.find_key_range(SERVICE, 1030).owner
        self.assertEqual(owner.server_id, "fast")
        self.assertEqual(self.load(assignment, rates, "fast"), 35.0)

    def test_keys_of_a_server_that_is_gone_go_to_several_others(self):
        servers = [server(name) for name in "abcd"]
        rates = rates_of(dict.fromkeys(range(0, 65000, 2000), 1.0))
        assignment, _ = self.settle(servers, rates)
        assignment, moves = self.settle(servers[1:], rates, assignment)
        self.assertGreaterEqual(len({move.target for move in moves}), 2)
        self.assertTrue(all(run.owner.server_id != "a" for run in assignment.key_ranges[SERVICE]))

    def test_a_new_server_gets_a_share(self):
        servers = [server(name) for name in "ab"]
        rates = rates_of(dict.fromkeys(range(0, 65000, 2000), 1.0))
        assignment, _ = self.settle(servers, rates)
        assignment, moves = self.settle([*servers, server("new")], rates, assignment)
        self.assertTrue(moves)
        self.assertGreater(self.load(assignment, rates, "new"), 3)

    def test_a_balanced_load_moves_nothing(self):
        servers = [server(name) for name in "abcd"]
        rates = rates_of(dict.fromkeys(range(0, 65000, 2000), 1.0))
        _, moves = self.settle(servers, rates)
        self.assertEqual(len(moves), 4)

    def test_fast_servers_are_filled_before_slow_ones(self):
        """300 requests a second; a third of 30 servers take 0.13 s for one, the others 0.31 s."""
        fast = [server(f"fast-{n}", 0.13) for n in range(10)]
        slow = [server(f"slow-{n}", 0.31) for n in range(20)]
        rates = rates_of(dict.fromkeys(range(0, 65000, 216), 1.0))
        equal, _ = self.settle([one._replace(service_time_s=0.2) for one in fast + slow], rates)
        assignment, _ = self.settle(fast + slow, rates, equal)
        by_slow = sum(self.load(assignment, rates, one.incarnation.server_id) for one in slow)
        self.assertLess(by_slow, 0.4 * 300)
        for one in fast + slow:
            load = self.load(assignment, rates, one.incarnation.server_id)
            self.assertLess(load / one.capacity_per_s, 0.85)

    def test_keys_go_to_neighbours_so_that_runs_stay_few(self):
        """Fast and slow servers own neighbouring keys; the plan moves the borders."""
        servers = [server(f"s{n:02}", 0.13 if n % 3 == 0 else 0.31) for n in range(30)]
        rates = rates_of(dict.fromkeys(range(0, 65000, 433), 1.0))
        alike = [one._replace(service_time_s=0.2) for one in servers]
        equal, _ = self.settle(alike, rates)
        assignment, moves = self.settle(servers, rates, equal)
        self.assertTrue(moves)
        self.assertLessEqual(len(assignment.key_ranges[SERVICE]), 1.5 * len(servers))

    def test_without_spreading_only_full_servers_give_keys_away(self):
        servers = [server(f"s{n:02}", 0.13 if n % 3 == 0 else 0.31) for n in range(30)]
        rates = rates_of(dict.fromkeys(range(0, 65000, 433), 1.0))
        alike = [one._replace(service_time_s=0.2) for one in servers]
        assignment, _ = self.settle(alike, rates)
        runs = assignment.key_ranges[SERVICE]
        self.assertTrue(plan_moves(PlanInput(runs, servers, rates)))
        self.assertEqual(plan_moves(PlanInput(runs, servers, rates), rebalance=False), [])
        busy = rates_of(dict.fromkeys(range(1000, 1060), 1.0))
        moves = plan_moves(PlanInput(runs, servers, busy), rebalance=False)
        self.assertEqual(moves[0].source, assignment.find_key_range(SERVICE, 1030).owner)
        moves = plan_moves(PlanInput(runs, servers[1:], rates), rebalance=False)
        self.assertEqual({move.source for move in moves}, {servers[0].incarnation})

    def test_a_server_that_turns_slow_keeps_few_requests(self):
        servers = [server(f"s{n}") for n in range(6)]
        rates = rates_of(dict.fromkeys(range(0, 65000, 650), 1.0))
        assignment, _ = self.settle(servers, rates)
        slowed = [server("s0", 1.5), *servers[1:]]
        assignment, _ = self.settle(slowed, rates, assignment)
        self.assertLess(self.load(assignment, rates, "s0"), 2.0)
        self.assertTrue(any(run.owner.server_id == "s0" for run in assignment.key_ranges[SERVICE]))

    def test_each_of_many_new_servers_gets_requests(self):
        servers = [server(f"s{n}") for n in range(30)]
        rates = rates_of(dict.fromkeys(range(0, 65000, 108), 1.0))
        assignment, _ = self.settle(servers, rates)
        new = [server(f"new-{n}") for n in range(8)]
        assignment, _ = self.settle([*servers, *new], rates, assignment)
        for one in new:
            self.assertGreater(self.load(assignment, rates, one.incarnation.server_id), 4.0)

    def test_each_move_gets_a_fence_above_all_others(self):
        servers = [server(name) for name in "abcd"]
        rates = rates_of(dict.fromkeys(range(1000, 1060), 2.0))
        assignment = EMPTY_ASSIGNMENT
        highest = 0
        for _ in range(10):
            view = PlanInput(assignment.key_ranges.get(SERVICE, ()), servers, rates)
            assignment = apply_moves(assignment, SERVICE, plan_moves(view))
            fences = [run.fence for run in assignment.key_ranges[SERVICE] if run.moving]
            self.assertTrue(all(fence > 0 for fence in fences))
            self.assertGreaterEqual(assignment.last_fence, highest)
            highest = assignment.last_fence
            runs = tuple(
                run._replace(source=NO_INCARNATION) for run in assignment.key_ranges[SERVICE]
            )
            assignment = assignment._replace(key_ranges={SERVICE: runs})


class KeyLoadTests(unittest.TestCase):
    def test_a_report_is_bounded_and_loses_no_request(self):
        counter = KeyCounter()
        for key in range(5000):
            counter.add(key)
        for _ in range(100):
            counter.add(777)
        figures = counter.pop_counts()
        self.assertLessEqual(len(figures), 512)
        self.assertEqual(sum(figures[1::2]), 5100)
        self.assertEqual(counter.pop_counts(), [])

    def test_rates_fade_and_sum_over_ranges(self):
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

    def test_rates_stay_true_over_a_long_time(self):
        rates = KeyRates(1.5)
        for step in range(2000):
            rates.decay_to(1_000_000.0 + step * 0.1)
            rates.add(step % 7, 2)
        rates.build_prefix_sums()
        # Twenty requests a second, weighted by the age of each step.
        self.assertAlmostEqual(rates.rate(0, LAST_KEY), 20.0, delta=1.0)

    def test_keys_without_requests_are_forgotten(self):
        rates = KeyRates(1.0)
        rates.decay_to(50.0)
        for key in range(100):
            rates.add(key, 1)
        rates.decay_to(55.0)
        rates.add(500, 1)
        rates.build_prefix_sums()
        self.assertEqual(rates.rate(0, 99), 0.0)
        self.assertAlmostEqual(rates.rate(500, 500), 1.0)
