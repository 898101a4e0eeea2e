"""Tests of what the oracle reads from the store's data file."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from greengagefall.bench.configuration_log import (
    ConfigurationRow,
    accepted_versions,
    out_intervals,
    read_configurations,
    readable_everywhere_s,
)
from greengagefall.bench.server_logs import ServerInfo
from greengagefall.standins.kv_state import DeleteOp, KvState, PutOp

BOUND_S = 5.0


def document(zone_state="in", server_state="active"):
    servers = {"a": {"state": server_state}, "b": {}}
    return {"zones": {"z1": {"state": zone_state}}, "back_ends": {"be": {"servers": servers}}}


class ConfigurationLogTests(unittest.TestCase):
    def setUp(self):
        self.servers = [ServerInfo("a", "be", "z1", True), ServerInfo("b", "be", "z2", True)]

    def test_store_keeps_writes_and_their_times_across_a_restart(self):
        with tempfile.TemporaryDirectory() as folder:
            data_file = str(Path(folder) / "data")
            state = KvState(data_file)
            lease = state.grant_lease(60)
            state.write([PutOp(b"config/0000000001", b'{"n": 1}', 0), PutOp(b"x", b"{}", 0)])
            state.write([PutOp(b"held", b"{}", lease.lease_id), DeleteOp(b"x", b"")])
            state.close()
            reopened = KvState(data_file)
            self.assertEqual(reopened.key_values, state.key_values)
            self.assertEqual(reopened.revision, state.revision)
            self.assertEqual(reopened.keep_lease(lease.lease_id), 60)
            self.assertEqual(len(reopened.events_since(1, b"\0", b"\0")), 4)
            reopened.close()
            rows = read_configurations(data_file)
        self.assertEqual([(row.version, row.document) for row in rows], [(1, {"n": 1})])
        self.assertGreater(rows[0].at_s, 0)

    def test_out_intervals_of_zones_and_servers(self):
        rows = [
            ConfigurationRow(1, 0.0, document()),
            ConfigurationRow(2, 10.0, document("out")),
            ConfigurationRow(3, 12.0, document("out", "draining")),
            ConfigurationRow(4, 30.0, document()),
            ConfigurationRow(5, 40.0, document(server_state="draining")),
        ]
        outs = out_intervals(rows, self.servers, [], BOUND_S)
        expected = [("a", 10.0, 30.0, "zone_out"), ("a", 40.0, float("inf"), "draining")]
        self.assertEqual([tuple(out) for out in outs], expected)

    def test_short_intervals_are_left_out(self):
        rows = [ConfigurationRow(1, 0.0, document("out")), ConfigurationRow(2, 4.0, document())]
        self.assertEqual(out_intervals(rows, self.servers, [], BOUND_S), [])

    def test_propagation_faults_delay_when_hosts_can_read(self):
        faults = [
            (1.0, 9.0, "store_outage", ""),
            (12.0, 20.0, "cut_host", ""),
            (3.0, 50.0, "kill_server", ""),
            (26.0, 60.0, "kill_store", ""),
        ]
        self.assertEqual(readable_everywhere_s(0.5, faults, BOUND_S), 20.0)
        self.assertEqual(readable_everywhere_s(21.0, faults, BOUND_S), 21.0)
        rows = [ConfigurationRow(3, 0.5, document())]
        self.assertEqual(accepted_versions(rows, faults, BOUND_S)[0], (3, 20.0))
