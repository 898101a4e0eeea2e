"""Tests of placement and of zone moves."""

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


class FixedSliceMap:
    """The part of a slice map that planners read."""

    def __init__(self, ranges):
        self._ranges = ranges

    def ranges(self):
        return list(self._ranges)

    def after_moves(self, moves, fence=2):
        return FixedSliceMap(apply_moves(self._ranges, moves, fence))

    def owners(self):
        return {
            n: slice_range
            for slice_range in self._ranges
            for n in range(slice_range.first, slice_range.last + 1)
        }


def make_servers(weights):
    return {
        f"s{n}": BackendServer(f"s{n}", "", ZONES[n % 3], 6, 130, weight, 1, "active")
        for n, weight in enumerate(weights)
    }


def observed(slice_map, servers, hot, slow=(), observed_s=1.0):
    """Returns the load that dispatchers observe.

    Each slice gets one request per second unless ``hot`` has its rate. Servers in ``slow`` are
    ten times slower than their weight.
    """
    rates = dict.fromkeys(servers, 0.0)
    for slice_id, slice_range in slice_map.owners().items():
        rates[slice_range.owner] += hot.get(slice_id, 1.0)
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
    def test_initial_ranges_cover_all_slices_by_weight_in_home_zones(self, weights):
        servers = make_servers(weights)
        for policy in PLACEMENTS.names():
            ranges = PLACEMENTS[policy](ManualClock()).initial_ranges(SLICES, servers, {})
            self.assertEqual(
                [slice_range.first for slice_range in ranges],
                [0, *(r.last + 1 for r in ranges[:-1])],
            )
            self.assertEqual(ranges[-1].last, SLICES - 1)
            self.assertLessEqual(len(ranges), len(servers))
            for slice_range in ranges:
                self.assertEqual(slice_range.home_zone, servers[slice_range.owner].zone)
                fair = SLICES * servers[slice_range.owner].weight / sum(weights)
                self.assertAlmostEqual(slice_range.last - slice_range.first + 1, fair, delta=1.0)

    def plan_until_idle(self, slice_map, servers, hot, tuning=None):
        placement = PLACEMENTS["load_aware"](ManualClock(), tuning)
        moved = idle_plans = 0
        for number in range(MAX_PLANS):
            loads = observed(slice_map, servers, hot, observed_s=float(number))
            moves = placement.plan_moves(slice_map, servers, loads, {})
            idle_plans = 0 if moves else idle_plans + 1
            if idle_plans == IDLE_PLANS:
                return slice_map, moved
            moved += count_moved_slices(moves)
            slice_map = slice_map.after_moves(moves)
        return self.fail("planning does not become idle")

    @given(st.sets(st.integers(0, SLICES - 1), max_size=4))
    def test_load_aware_balances_and_does_not_move_hot_slices(self, hot_slices):
        servers = make_servers([1.0, 4.0, 1.0, 2.0, 1.0, 2.0])
        before = FixedSliceMap(
            PLACEMENTS["load_aware"](ManualClock()).initial_ranges(SLICES, servers, {})
        )
        hot = dict.fromkeys(hot_slices, 12.0)
        after, _ = self.plan_until_idle(before, servers, hot, {"hot_slice_factor": 4.0})
        use = utilisations(after, servers, hot)
        mean = sum(use.values()) / len(use)
        peak_before = max(utilisations(before, servers, hot).values())
        self.assertLessEqual(max(use.values()), max(1.25 * mean, 0.9 * peak_before))
        for slice_id in hot_slices:
            self.assertEqual(after.owners()[slice_id].owner, before.owners()[slice_id].owner)

    def test_a_straggler_loses_slices_only_after_the_hold_time(self):
        servers = make_servers([1.0] * 6)
        clock = ManualClock()
        placement = PLACEMENTS["load_aware"](clock, {"straggler_hold_s": 30.0})
        slice_map = FixedSliceMap(placement.initial_ranges(SLICES, servers, {}))
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
        slice_map = FixedSliceMap(placement.initial_ranges(SLICES, servers, {}))
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
        slice_map = FixedSliceMap(placement.initial_ranges(SLICES, first_two, {}))
        moves = placement.plan_moves(slice_map, servers, NO_BACK_END_LOAD, {})
        self.assertTrue(0 < count_moved_slices(moves) <= bound)


class ZoneMoveTests(unittest.TestCase):
    def setUp(self):
        self.servers = make_servers([1.0, 2.0, 4.0] * 3)
        self.placement = PLACEMENTS["load_aware"](ManualClock(), TUNING)
        self.start = FixedSliceMap(self.placement.initial_ranges(SLICES, self.servers, {}))

    def evacuate(self, policy, lost=(), zones=None):
        slice_map = self.start
        moved = plans = 0
        planner = ZONE_MOVE_POLICIES[policy](ManualClock())
        while moves := planner.plan(slice_map, self.servers, NO_BACK_END_LOAD, zones or {}, lost):
            moved += count_moved_slices(moves)
            slice_map = slice_map.after_moves(moves)
            plans += 1
        return slice_map, moved, plans

    def test_an_evacuated_zone_is_emptied_and_nothing_else_moves(self):
        home = sum(slice_range.home_zone == "b" for slice_range in self.start.owners().values())
        for policy in ZONE_MOVE_POLICIES.names():
            after, moved, plans = self.evacuate(policy, zones={"b": "out"})
            self.assertEqual(moved, home)
            self.assertEqual(plans > 1, policy == "paced")
            for slice_id, slice_range in after.owners().items():
                self.assertNotEqual(self.servers[slice_range.owner].zone, "b")
                self.assertEqual(slice_range.home_zone, self.start.owners()[slice_id].home_zone)

    def test_a_returning_zone_gets_back_the_slices_that_balance_requires(self):
        after, moved, _ = self.evacuate("paced", zones={"b": "out"})
        self.assertEqual(
            ZONE_MOVE_POLICIES["paced"](ManualClock()).plan(
                after, self.servers, NO_BACK_END_LOAD, {}
            ),
            [],
        )
        back = 0
        while moves := self.placement.plan_moves(after, self.servers, NO_BACK_END_LOAD, {}):
            back += count_moved_slices(moves)
            after = after.after_moves(moves)
        self.assertTrue(0 < back <= 0.6 * moved, (back, moved))
        at_once = ZONE_MOVE_POLICIES["all_at_once"](ManualClock())
        home = at_once.plan(
            self.evacuate("all_at_once", zones={"b": "out"})[0], self.servers, NO_BACK_END_LOAD, {}
        )
        self.assertEqual(count_moved_slices(home), moved)

    def test_slices_of_a_lost_server_move_to_other_servers(self):
        after, moved, _ = self.evacuate("paced", lost=("s2",))
        self.assertGreater(moved, 0)
        self.assertNotIn("s2", {slice_range.owner for slice_range in after.ranges()})


class MovesTests(unittest.TestCase):
    @given(st.lists(st.integers(0, SLICES - 1), min_size=2, max_size=2), st.integers(1, 5))
    def test_applied_moves_change_only_their_slices(self, ends, servers):
        first, last = min(ends), max(ends)
        ranges = PLACEMENTS["by_weight"](ManualClock()).initial_ranges(
            SLICES, make_servers([1.0] * servers), {}
        )
        before = FixedSliceMap(ranges)
        after = before.after_moves([Move(first, last, "", "new")])
        for slice_id, slice_range in after.owners().items():
            inside = first <= slice_id <= last
            self.assertEqual(
                slice_range.owner, "new" if inside else before.owners()[slice_id].owner
            )
        self.assertEqual(len(after.owners()), SLICES)
