"""Tests of the failure detectors."""

from __future__ import annotations

import unittest

from greengagefall.coordination.failure_detection import DETECTORS, SUSPECT_AFTER_S
from greengagefall.utils.clock import ManualClock

PEERS = ("a", "b", "c", "d")
QUERY_INTERVAL_S = 0.2


class DetectionTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.number = 0

    def query(self, detector, peers) -> None:
        self.number += 1
        detector.on_query(self.number)
        for peer in peers:
            detector.on_response(peer, self.number)
        self.clock.advance(QUERY_INTERVAL_S)

    def test_every_detector_suspects_the_silent_peer_alone(self) -> None:
        for name, detector_class in DETECTORS.items():
            with self.subTest(detector=name):
                detector = detector_class(self.clock)
                detector.set_peers(PEERS)
                for _ in range(10):
                    self.query(detector, PEERS)
                self.assertEqual(detector.suspects(), set())
                for _ in range(20):
                    self.query(detector, PEERS[:-1])
                self.assertEqual(detector.suspects(), {"d"})
                self.query(detector, PEERS)
                self.assertEqual(detector.suspects(), set())

    def test_pause_of_the_observer(self) -> None:
        expected = {"timeout": set(PEERS), "query_response": {"d"}, "query_round": set()}
        for name, suspects in expected.items():
            with self.subTest(detector=name):
                detector = DETECTORS[name](self.clock)
                detector.set_peers(PEERS)
                self.query(detector, PEERS)
                self.clock.advance(SUSPECT_AFTER_S * 3)
                self.assertEqual(detector.suspects(), suspects)


if __name__ == "__main__":
    unittest.main()
