"""Tests of the coordinator's decisions about slices and members."""

from __future__ import annotations

import unittest

from result import Ok

from greengagefall.balancing.loads import NO_BACK_END_LOAD
from greengagefall.coordination.epochs import first_members_record
from greengagefall.coordination.model import SLICE_OWNED, SLICE_RELEASING, Member, SliceRange
from greengagefall.coordination.slice_map import SliceMap
from greengagefall.coordinator import slice_decisions as decisions
from greengagefall.coordinator.contacts import HostObservation
from greengagefall.coordinator.members import REMOVE_AFTER_S, plan_change
from greengagefall.coordinator.slice_decisions import ReleaseProof
from greengagefall.protocol.messages import HostStatus
from greengagefall.routing.parse import parse_config
from greengagefall.tests.coordinator_settings import BACK_END, config_document, servers_of

ZONE_A = "ee-north-a"
ZONE_B = "ee-north-b"
SERVERS = servers_of(ZONE_A, "p1", "p2") | servers_of(ZONE_B, "q1")


def config_of(**changes):
    parsed = parse_config(config_document(1, SERVERS, **changes))
    assert isinstance(parsed, Ok), parsed
    return parsed.ok_value


def map_of(*slice_ranges: SliceRange) -> SliceMap:
    return SliceMap(BACK_END, 64, 9, slice_ranges)


def report(server: str, state: str, host: str = "a0") -> HostStatus:
    row = [f"{BACK_END}/{server}", state, 1.0, 0.0, 6, 0.0, 0.0]
    return HostStatus(0, host, "1", 1, False, [row], {}, {})


class SliceDecisionTests(unittest.TestCase):
    def setUp(self):
        self.back_end = config_of().back_ends[BACK_END]
        self.map = map_of(
            SliceRange(0, 31, SLICE_RELEASING, "p1", 5, ZONE_A),
            SliceRange(32, 63, SLICE_OWNED, "q1", 1, ZONE_B),
        )

    def assignable(self, proofs: dict[int, ReleaseProof]) -> list[tuple[int, int]]:
        slice_ranges = decisions.assignable_ranges(self.map, self.back_end, {ZONE_A}, proofs, False)
        return [(slice_range.first, slice_range.last) for slice_range in slice_ranges]

    def test_proof_of_an_earlier_assignment_or_owner_does_not_count(self):
        self.assertEqual(self.assignable({}), [])
        self.assertEqual(self.assignable({3: ReleaseProof("p1", 4), 4: ReleaseProof("p2", 5)}), [])
        proofs = {number: ReleaseProof("p1", 5) for number in (3, 4, 5, 31, 32)}
        self.assertEqual(self.assignable(proofs), [(3, 5), (31, 31)])

    def test_released_slices_of_other_zones_are_not_assigned(self):
        proofs = {number: ReleaseProof("p1", 5) for number in range(32)}
        slice_ranges = decisions.assignable_ranges(self.map, self.back_end, {ZONE_B}, proofs, False)
        self.assertEqual(slice_ranges, [])

    def test_best_state_counts_when_several_hosts_report_a_server(self):
        statuses = [report("p1", "down"), report("p1", "up", "a1"), report("p1", "down", "a2")]
        self.assertEqual(decisions.server_reports(statuses, BACK_END)["p1"].state, "up")

    def test_planned_owner_is_replaced_when_it_is_down(self):
        reports = decisions.server_reports([report("p1", "up"), report("p2", "down")], BACK_END)
        loads = decisions.collect_loads(reports, [], BACK_END, 0.0)
        slice_ranges = [SliceRange(0, 31, SLICE_RELEASING, "p1", 5, ZONE_A)]
        zones = {ZONE_A: "in", ZONE_B: "in"}
        planned_owners = dict.fromkeys(range(32), "p2")
        moves = decisions.choose_owners(
            slice_ranges, self.map, self.back_end, loads, zones, planned_owners
        )
        self.assertEqual({move.target for move in moves}, {"p1"})
        moves = decisions.choose_owners(
            slice_ranges, self.map, self.back_end, NO_BACK_END_LOAD, zones, planned_owners
        )
        self.assertEqual([move[:4] for move in moves], [(0, 31, "p1", "p2")])

    def test_lost_zone_is_managed_by_the_first_zone_that_is_in(self):
        zones = {ZONE_A: {"state": "in"}, ZONE_B: {"state": "in"}, "x": {"state": "lost"}}
        config = config_of(zones=zones)
        managed = [
            decisions.managed_zones(config, ZONE_A, {"x": 0.0}, 2.0),
            decisions.managed_zones(config, ZONE_B, {"x": 0.0}, 2.0),
            decisions.managed_zones(config, ZONE_B, {"x": 2.0}, 2.0),
            decisions.managed_zones(config, "x", {"x": 9.0}, 2.0),
        ]
        self.assertEqual(managed, [{ZONE_A, "x"}, {ZONE_B}, {ZONE_B, "x"}, {"x"}])


class MembersDecisionTests(unittest.TestCase):
    def setUp(self):
        members = [Member(name, "1", name, "", False) for name in ("a0", "a1", "a2")]
        self.record = first_members_record(ZONE_A, members)
        self.observations = {
            name: HostObservation(name, "1", name, "", 1, False) for name in ("a0", "a1")
        }

    def plan(self, listed_states, silent_s=REMOVE_AFTER_S, lost_hosts=()):
        return plan_change(
            self.record, self.observations, {"a2": silent_s}, listed_states, lost_hosts
        )

    def test_silent_host_is_removed_only_if_the_host_list_agrees(self):
        self.assertTrue(self.plan(None).is_empty)
        self.assertTrue(self.plan({"a2": "live"}).is_empty)
        self.assertTrue(self.plan({"a2": "leaving"}, silent_s=0.0).is_empty)
        self.assertEqual(self.plan({"a2": "leaving"}).removed, ("a2",))
        self.assertEqual(self.plan({}).removed, ("a2",))

    def test_incarnation_attested_as_lost_is_recorded_and_its_answers_are_ignored(self):
        self.assertEqual(self.plan(None, lost_hosts=("a2/1", "b/1")).lost_hosts, ("a2/1",))
        change = self.plan(None, lost_hosts=("a0/1",))
        self.assertEqual((change.updated, change.lost_hosts), ((), ("a0/1",)))

    def test_resigning_host_that_is_not_a_member_does_not_join(self):
        self.observations["a9"] = HostObservation("a9", "1", "a9", "", 0, True)
        self.assertTrue(self.plan(None).is_empty)
        self.observations["a9"] = self.observations["a9"]._replace(resigning=False)
        self.assertEqual([member.host for member in self.plan(None).updated], ["a9"])
