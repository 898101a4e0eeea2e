"""Tests of the ring and of members records."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from greengagefall.coordination import epochs
from greengagefall.coordination.epochs import HostAnswer
from greengagefall.coordination.model import Member
from greengagefall.coordination.ring import candidates, group_size, neighbours, witness_group

SERVER_KEYS = [f"catalogue/catalogue-{number}" for number in range(400)]
MAX_NEIGHBOURS = 8


def hosts(count: int, incarnation: str = "i1") -> tuple[Member, ...]:
    return tuple(Member(f"entry-{n:03d}", incarnation, "", "", False) for n in range(count))


class RingTests(unittest.TestCase):
    @given(st.integers(3, 120))
    def test_neighbours_are_bounded_and_include_all_groups(self, count: int) -> None:
        members = hosts(count)
        neighbours_by_host = {
            member.host: set(neighbours(members, member.host)) for member in members
        }
        self.assertLessEqual(max(map(len, neighbours_by_host.values())), MAX_NEIGHBOURS)
        for key in SERVER_KEYS[:20]:
            group = witness_group(members, key)
            self.assertEqual(len(set(group)), group_size(count))
            for member in group:
                self.assertLessEqual(set(group) - {member}, neighbours_by_host[member.host])

    def test_restart_changes_only_groups_with_the_host(self) -> None:
        members = hosts(87)
        restarted = (members[0]._replace(incarnation="i2"), *members[1:])
        changed = [
            k for k in SERVER_KEYS if witness_group(members, k) != witness_group(restarted, k)
        ]
        self.assertTrue(all(members[0] in witness_group(members, key) for key in changed))
        self.assertLess(len(changed), 2 * len(SERVER_KEYS) * group_size(87) / 87)

    def test_heads_are_balanced(self) -> None:
        members = hosts(12)
        heads = Counter(witness_group(members, key)[0].host for key in SERVER_KEYS)
        self.assertEqual(len(heads), 12)
        self.assertLess(max(heads.values()), 2 * len(SERVER_KEYS) / 12)

    def test_resigned_member_is_candidate_only_without_others(self) -> None:
        members = hosts(12)
        group = witness_group(members, "orders/orders-1")
        resigned_hosts = {group[0].host, group[1].host}
        changed = tuple(m._replace(resigned=m.host in resigned_hosts) for m in members)
        self.assertFalse(resigned_hosts & {m.host for m in candidates(changed, "orders/orders-1")})
        self.assertEqual(len(candidates(changed, "orders/orders-1")), 3)
        three = tuple(m for m in changed if m in witness_group(changed, "orders/orders-1"))[:3]
        self.assertEqual(len(candidates(three, "orders/orders-1")), 3)


class EpochsTests(unittest.TestCase):
    def test_replaced_incarnation_is_listed_as_ended(self) -> None:
        first = epochs.first_members_record("tanta", hosts(4))
        restarted = first.members[1]._replace(incarnation="i2")
        second = epochs.next_members_record(first, updated=[restarted], map_floors={"catalogue": 7})
        self.assertEqual(second.gone, ("entry-001/i1",))
        self.assertIn(restarted, second.members)
        self.assertEqual((second.epoch, second.previous), (2, first.members))
        third = epochs.next_members_record(
            second, lost_hosts=["entry-002/i1"], removed=["entry-003"]
        )
        self.assertEqual([member.host for member in third.members], ["entry-000", "entry-001"])
        self.assertEqual((third.gone, third.map_floors), (("entry-002/i1",), {"catalogue": 7}))
        self.assertEqual(
            epochs.members_record_from_json(epochs.members_record_to_json(third)).unwrap(), third
        )

    def test_complete_when_majorities_moved_or_ended(self) -> None:
        first = epochs.first_members_record("tanta", hosts(3))
        second = epochs.next_members_record(
            first, updated=[first.members[0]._replace(incarnation="i2")]
        )
        self.assertFalse(epochs.is_epoch_complete(second, {}))
        self.assertFalse(epochs.is_epoch_complete(second, {"entry-001": HostAnswer("i1", 1, "")}))
        self.assertTrue(epochs.is_epoch_complete(second, {"entry-001": HostAnswer("i1", 2, "")}))
        self.assertTrue(epochs.is_epoch_complete(second, {"entry-002": HostAnswer("i2", 0, "")}))
        self.assertTrue(epochs.is_epoch_complete(second, {}, ["entry-002/i1"]))
        elsewhere = {"entry-002": HostAnswer("i2", 0, "another:1")}
        self.assertFalse(epochs.is_epoch_complete(second, elsewhere))

    def test_incarnation_at_another_address_does_not_prove_an_end(self) -> None:
        first = epochs.first_members_record("tanta", hosts(3))
        moved = first.members[0]._replace(incarnation="i2", address="another:1")
        second = epochs.next_members_record(first, updated=[moved])
        self.assertIn(moved, second.members)
        self.assertEqual(second.gone, ())

    def test_windows_without_change_need_not_move(self) -> None:
        first = epochs.first_members_record("tanta", hosts(30))
        restarted = first.members[0]
        second = epochs.next_members_record(first, updated=[restarted._replace(incarnation="i2")])
        neighbour_hosts = {member.host for member in neighbours(first.members, restarted.host)}
        moved = dict.fromkeys(neighbour_hosts, HostAnswer("i1", 2, ""))
        self.assertTrue(epochs.is_epoch_complete(second, moved))
        joined = epochs.next_members_record(
            first, updated=[Member("entry-new", "i1", "", "", False)]
        )
        self.assertFalse(epochs.is_epoch_complete(joined, moved))


if __name__ == "__main__":
    unittest.main()
