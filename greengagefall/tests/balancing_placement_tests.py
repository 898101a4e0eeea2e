"""Tests of placement and zone moves."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from greengagefall.balancing.loads import NO_BACK_END_LOAD, BackEndLoad, ServerLoad
from greengagefall.balancing.moves import Move, apply_moves, count_moved_slices
from greengagefall.balancing.placement import PLACEMENTS
from greengagefall.balancing.zone_moves import ZONE_MOVE_POLICIES
from greengagefall.routing.model import BackendServer
from greengagefall.utils.clock import ManualClock

SLICES = 256
ZONES = ("a", "b", "c")
MAX_PLANS = 60
IDLE_PLANS = 3
TUNING = {"zone_imbalance": 0.26, "zone_settle_imbalance": 0.25}


class Map:
    """The part of a slice map that planners read."""

    def __init__(self, runs):
        self._runs = runs

    def ranges(self):
        return list(self._runs)

    def done(self, moves, fence=2):
        return Map(apply_moves(self._runs, moves, fence))

    def owners(self):
        return {n: run for run in self._runs for n in range(run.first, run.last + 1)}


def make_servers(weights):
    return {
        f"s{n}": BackendServer(f"s{n}", "", ZONES[n % 3], 6, 130, weight, 1, "active")
        for n, weight in enumerate(weights)
    }


def observed(slice_map, servers, hot, slow=(), observed_s=1.0):
    """Loads as dispatchers would see them with one request per second per slice."""
    rates = dict.fromkeys(servers, 0.0)
    for slice_id, run in slice_map.owners().items():
        rates[run.owner] += hot.get(slice_id, 1.0)
    rows = {}
    for name, rate in rates.items():
        speed = servers[name].weight * (0.1 if name in slow else 1.0)
        rows[name] = ServerLoad(min(1.0, rate * 0.05 / speed / 6), rate, rate, True)
    return BackEndLoad(rows, dict(hot), observed_s)


def utilisations(slice_map, servers, hot):
    rates = observed(slice_map, servers, hot).server_loads
    return {name: rates[name].offered_per_s / server.weight for name, server in servers.items()}


class PlacementTests(unittest.TestCase):
    @given(st.lists(st.sampled_from((0.25, 0.5, 1.0, 4.0)), min_size=1, max_size=12))
    def test_initial_runs_cover_all_slices_by_weight_and_at_home(self, weights):
        servers = make_servers(weights)
        for policy in PLACEMENTS.names():
            runs = PLACEMENTS[policy](ManualClock()).initial_ranges(SLICES, servers, {})
            self.assertEqual([run.first for run in runs], [0, *(r.last + 1 for r in runs[:-1])])
            self.assertEqual(runs[-1].last, SLICES - 1)
            self.assertLessEqual(len(runs), len(servers))
            for run in runs:
                self.assertEqual(run.home_zone, servers[run.owner].zone)
                fair = SLICES * servers[run.owner].weight / sum(weights)
                self.assertAlmostEqual(run.last - run.first + 1, fair, delta=1.0)

    def settle(self, slice_map, servers, hot, tuning=None):
        placement = PLACEMENTS["load_aware"](ManualClock(), tuning)
        moved = idle_plans = 0
        for number in range(MAX_PLANS):
            loads = observed(slice_map, servers, hot, observed_s=float(number))
            moves = placement.plan_moves(slice_map, servers, loads, {})
            idle_plans = 0 if moves else idle_plans + 1
            if idle_plans == IDLE_PLANS:
                return slice_map, moved
            moved += count_moved_slices(moves)
            slice_map = slice_map.done(moves)
        return self.fail("planning does not end")

    @given(st.sets(st.integers(0, SLICES - 1), max_size=4))
    def test_load_aware_evens_out_and_leaves_hot_slices(self, hot_slices):
        servers = make_servers([1.0, 4.0, 1.0, 2.0, 1.0, 2.0])
        before = Map(PLACEMENTS["load_aware"](ManualClock()).initial_ranges(SLICES, servers, {}))
        hot = dict.fromkeys(hot_slices, 12.0)
        after, _ = self.settle(before, servers, hot, {"hot_slice_factor": 4.0})
        use = utilisations(after, servers, hot)
        mean = sum(use.values()) / len(use)
        peak_before = max(utilisations(before, servers, hot).values())
        self.assertLessEqual(max(use.values()), max(1.25 * mean, 0.9 * peak_before))
        for slice_id in hot_slices:
            self.assertEqual(after.owners()[slice_id].owner, before.owners()[slice_id].owner)

    def test_a_straggler_counts_only_after_it_lasted(self):
        servers = make_servers([1.0] * 6)
        clock = ManualClock()
        placement = PLACEMENTS["load_aware"](clock, {"straggler_hold_s": 30.0})
        slice_map = Map(placement.initial_ranges(SLICES, servers, {}))
        calm = observed(slice_map, servers, {}, observed_s=-1.0)

        def slowed():
            return observed(slice_map, servers, {}, {"s1"}, clock.now_s())

        self.assertEqual(placement.plan_moves(slice_map, servers, calm, {}), [])
        for _ in range(29):
            self.assertEqual(placement.plan_moves(slice_map, servers, slowed(), {}), [])
            clock.advance(1.0)
        clock.advance(2.0)
        moves = placement.plan_moves(slice_map, servers, slowed(), {})
        self.assertEqual({move.source for move in moves}, {"s1"})

    def test_one_observation_of_excess_inside_a_zone_starts_no_moves(self):
        servers = make_servers([1.0] * 6)
        placement = PLACEMENTS["load_aware"](ManualClock(), {"zone_imbalance": 10.0})
        slice_map = Map(placement.initial_ranges(SLICES, servers, {}))
        hot = dict.fromkeys(range(4), 10.0)
        for observed_s in (1.0, 1.0, 2.0):
            loads = observed(slice_map, servers, hot, observed_s=observed_s)
            moves = placement.plan_moves(slice_map, servers, loads, {})
            self.assertEqual({move.source for move in moves}, {"s0"} if observed_s > 1 else set())

    @given(st.integers(1, 100))
    def test_a_plan_is_bounded(self, bound):
        servers = make_servers([1.0] * 6)
        placement = PLACEMENTS["load_aware"](ManualClock(), {"max_moves_per_plan": bound})
        first_two = {name: servers[name] for name in ("s0", "s1")}
        slice_map = Map(placement.initial_ranges(SLICES, first_two, {}))
        moves = placement.plan_moves(slice_map, servers, NO_BACK_END_LOAD, {})
        self.assertTrue(0 < count_moved_slices(moves) <= bound)


class ZoneMoveTests(unittest.TestCase):
    def setUp(self):
        self.servers = make_servers([1.0, 2.0, 4.0] * 3)
        self.placement = PLACEMENTS["load_aware"](ManualClock(), TUNING)
        self.start = Map(self.placement.initial_ranges(SLICES, self.servers, {}))

    def leave(self, policy, lost=(), zones=None):
        slice_map = self.start
        moved = plans = 0
        planner = ZONE_MOVE_POLICIES[policy](ManualClock())
        while moves := planner.plan(slice_map, self.servers, NO_BACK_END_LOAD, zones or {}, lost):
            moved += count_moved_slices(moves)
            slice_map = slice_map.done(moves)
            plans += 1
        return slice_map, moved, plans

    def test_a_leaving_zone_is_emptied_and_nothing_else_moves(self):
        home = sum(run.home_zone == "b" for run in self.start.owners().values())
        for policy in ZONE_MOVE_POLICIES.names():
            after, moved, plans = self.leave(policy, zones={"b": "out"})
            self.assertEqual(moved, home)
            self.assertEqual(plans > 1, policy == "paced")
            for slice_id, run in after.owners().items():
                self.assertNotEqual(self.servers[run.owner].zone, "b")
                self.assertEqual(run.home_zone, self.start.owners()[slice_id].home_zone)

    def test_a_returning_zone_gets_back_what_balance_needs(self):
        after, moved, _ = self.leave("paced", zones={"b": "out"})
        self.assertEqual(
            ZONE_MOVE_POLICIES["paced"](ManualClock()).plan(
                after, self.servers, NO_BACK_END_LOAD, {}
            ),
            [],
        )
        back = 0
        while moves := self.placement.plan_moves(after, self.servers, NO_BACK_END_LOAD, {}):
            back += count_moved_slices(moves)
            after = after.done(moves)
        self.assertTrue(0 < back <= 0.6 * moved, (back, moved))
        at_once = ZONE_MOVE_POLICIES["all_at_once"](ManualClock())
        home = at_once.plan(
            self.leave("all_at_once", zones={"b": "out"})[0], self.servers, NO_BACK_END_LOAD, {}
        )
        self.assertEqual(count_moved_slices(home), moved)

    def test_slices_of_a_lost_server_are_spread(self):
        after, moved, _ = self.leave("paced", lost=("s2",))
        self.assertGreater(moved, 0)
        self.assertNotIn("s2", {run.owner for run in after.ranges()})


class MovesTests(unittest.TestCase):
    @given(st.lists(st.integers(0, SLICES - 1), min_size=2, max_size=2), st.integers(1, 5))
    def test_applied_moves_change_just_their_slices(self, ends, servers):
        first, last = min(ends), max(ends)
        runs = PLACEMENTS["by_weight"](ManualClock()).initial_ranges(
            SLICES, make_servers([1.0] * servers), {}
        )
        before = Map(runs)
        after = before.done([Move(first, last, "", "new")])
        for slice_id, run in after.owners().items():
            inside = first <= slice_id <= last
            self.assertEqual(run.owner, "new" if inside else before.owners()[slice_id].owner)
        self.assertEqual(len(after.owners()), SLICES)
