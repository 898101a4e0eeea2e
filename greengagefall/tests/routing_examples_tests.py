"""Checks the example configurations against the sizes of the deployments they describe."""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

from greengagefall.bench.policies_deployments import HOOKWORKS, KAASIK
from greengagefall.routing.classes import match_class
from greengagefall.routing.parse import empty_config
from greengagefall.routing.patch import Patch, apply_patch

if TYPE_CHECKING:
    from greengagefall.routing.model import BackEnd, RoutingConfig

EXAMPLES_DIR = Path(__file__).parent.parent.parent / "examples"
KEYED_SERVERS = 30
POOLED_SERVERS = 6
CONNECTIONS = 130


def load_example(name: str) -> RoutingConfig:
    """Returns the configuration with the example applied as the first patch."""
    merge = json.loads((EXAMPLES_DIR / f"{name}.json").read_text())
    return apply_patch(empty_config(), Patch(0, "example", merge)).unwrap()


class ExampleTests(unittest.TestCase):
    def check_back_end(self, back_end: BackEnd, kind: str, servers: int, slots: int) -> None:
        self.assertEqual((back_end.kind, len(back_end.servers)), (kind, servers))
        per_zone: dict[str, int] = {}
        for server in back_end.servers.values():
            self.assertEqual((server.slots, server.connections), (slots, CONNECTIONS))
            per_zone[server.zone] = per_zone.get(server.zone, 0) + 1
        self.assertEqual(set(per_zone.values()), {servers // 3})

    def test_examples_have_the_sizes_of_their_deployments(self):
        for deployment, keyed, pooled in [
            (KAASIK, "proofdesk", "benchline"),
            (HOOKWORKS, "catalogue", "orders"),
        ]:
            config = load_example(deployment.name)
            self.assertEqual(tuple(config.zones), deployment.zones)
            slots = deployment.slots
            self.check_back_end(config.back_ends[keyed], "keyed", KEYED_SERVERS, slots)
            self.check_back_end(config.back_ends[pooled], "pooled", POOLED_SERVERS, slots)
            self.assertEqual(config.back_ends[keyed].tuning, deployment.tuning)

    def test_tutorial_example_has_two_servers(self):
        config = load_example("first")
        self.assertEqual(list(config.back_ends["proofdesk"].servers), ["p-01", "p-02"])

    def test_orders_are_not_repeatable(self):
        for name in ("kaasik", "hookworks"):
            for back_end in load_example(name).back_ends.values():
                for method in ("POST", "PUT", "PATCH", "DELETE"):
                    self.assertFalse(match_class(back_end, method, "/orders").repeatable)
                self.assertTrue(match_class(back_end, "GET", "/").repeatable)


if __name__ == "__main__":
    unittest.main()
