"""Tests which hosts dispatch the backend servers."""

from __future__ import annotations

import unittest
from collections import Counter

from greengagefall.gateway.dispatch_planning import (
    MIN_ZONE_DISPATCHERS,
    SERVERS_PER_DISPATCHER,
    DispatcherCandidate,
    plan_dispatchers,
)
from greengagefall.gateway.model import ServerEntry
from greengagefall.ownership.model import HostIncarnation

ZONES = ("a", "b", "c")
KEYED = ["proofdesk"]
COORDINATOR = HostIncarnation("a-00", 1)


def hosts_of(per_zone: int, strong: int) -> list[DispatcherCandidate]:
    """Returns hosts of three zones, of which the first ``strong`` have three cores."""
    return [
        DispatcherCandidate(
            HostIncarnation(f"{zone}-{number:02}", 1), zone, 3.0 if number < strong else 1.0
        )
        for zone in ZONES
        for number in range(per_zone)
    ]


def servers_of(count: int) -> dict[str, ServerEntry]:
    return {
        f"s{number:03}": ServerEntry(
            f"s{number:03}", KEYED[0], "127.0.0.1:1", ZONES[number % 3], 6, False, 0.0, 1
        )
        for number in range(count)
    }


def plan(hosts, servers, current=None):
    return plan_dispatchers(current or {}, servers, [], hosts, COORDINATOR, KEYED)


class DispatchPlanningTests(unittest.TestCase):
    def test_in_a_large_zone_only_the_strongest_hosts_dispatch(self):
        servers = servers_of(180)
        planned = plan(hosts_of(40, 12), servers)
        counts = Counter(record.dispatcher.host for record in planned.values())
        self.assertLessEqual(len(counts), 3 * 60 / SERVERS_PER_DISPATCHER)
        self.assertTrue(all(int(host[2:]) < 12 for host in counts))
        self.assertLessEqual(max(counts.values()), SERVERS_PER_DISPATCHER + 1)
        for server_id, record in planned.items():
            self.assertEqual(record.dispatcher.host[0], servers[server_id].zone)

    def test_in_a_small_zone_all_hosts_dispatch(self):
        planned = plan(hosts_of(4, 1), servers_of(36))
        hosts = {record.dispatcher.host for record in planned.values()}
        self.assertEqual(len(hosts), 3 * 4 - 1)
        self.assertNotIn(COORDINATOR.host, hosts)

    def test_servers_of_a_lost_dispatcher_are_shared_by_several_hosts(self):
        hosts, servers = hosts_of(40, 3), servers_of(18)
        planned = plan(hosts, servers)
        dispatchers = {record.dispatcher.host for record in planned.values()}
        self.assertGreaterEqual(len(dispatchers), 3 * (MIN_ZONE_DISPATCHERS - 1))
        lost = {"b-00", "b-01", "b-02"}
        left = [host for host in hosts if host.incarnation.host not in lost]
        replanned = plan(left, servers, planned)
        moved = [
            server_id
            for server_id, record in replanned.items()
            if record.dispatcher != planned[server_id].dispatcher
        ]
        self.assertTrue(moved)
        for server_id in moved:
            self.assertIn(planned[server_id].dispatcher.host, lost)
            self.assertEqual(replanned[server_id].dispatcher.host[0], "b")
            self.assertIn(planned[server_id].dispatcher, replanned[server_id].former)

    def test_the_coordinator_dispatches_if_no_other_host_can(self):
        hosts = [host for host in hosts_of(4, 1) if host.incarnation == COORDINATOR]
        planned = plan(hosts, servers_of(3))
        self.assertEqual({record.dispatcher for record in planned.values()}, {COORDINATOR})

    def test_large_answers_do_not_pass_through_hosts_with_slow_links(self):
        hosts = [
            host._replace(link_mbps=200.0 if int(host.incarnation.host[2:]) == 5 else 10.0)
            for host in hosts_of(12, 3)
        ]
        servers = {
            server_id: entry._replace(service="archive")
            for server_id, entry in servers_of(18).items()
        }
        planned = plan_dispatchers({}, servers, [], hosts, COORDINATOR, KEYED, ["archive"])
        for server_id, record in planned.items():
            self.assertEqual(record.dispatcher.host, f"{servers[server_id].zone}-05")

    def test_servers_with_large_answers_are_dispatched_while_no_bandwidth_is_known(self):
        servers = {
            server_id: entry._replace(service="archive")
            for server_id, entry in servers_of(9).items()
        }
        hosts = hosts_of(12, 3)
        planned = plan_dispatchers({}, servers, [], hosts, COORDINATOR, KEYED, ["archive"])
        self.assertEqual(set(planned), set(servers))
        # The strongest hosts then dispatch, as for other services.
        self.assertEqual(planned, plan_dispatchers({}, servers, [], hosts, COORDINATOR, KEYED))

    def test_servers_with_keys_are_spread_over_hosts_of_all_links(self):
        """Guards against few fast hosts that dispatch all servers of a service with keys."""
        hosts = [
            host._replace(link_mbps=200.0 if int(host.incarnation.host[2:]) == 5 else 10.0)
            for host in hosts_of(12, 3)
        ]
        planned = plan_dispatchers({}, servers_of(18), [], hosts, COORDINATOR, KEYED, KEYED)
        self.assertGreater(len({record.dispatcher.host for record in planned.values()}), 6)
