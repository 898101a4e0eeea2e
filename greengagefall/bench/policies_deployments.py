"""Sizes of both simulated deployments, and the policies of baseline and variant."""

from __future__ import annotations

import logging
from typing import NamedTuple

from greengagefall.routing.model import BackendServer

log = logging.getLogger(__name__)

ENTRY_HOSTS = 12
KEYED_SERVERS = 30
POOLED_SERVERS = 6
SLICES = 4096
SPEEDS = (0.5, 1.0, 2.0)
COLD_SLOTS = 1
QUEUE_LIMIT = 32
TIMEOUT_S = 2.0
ORDINARY_SERVICE_S = 0.05
SAME_ZONE_HOP_S = 0.0002

BASELINE = {
    "limit": "fixed",
    "queue": "fifo",
    "pick": "round_robin",
    "hedge": "off",
    "ejection": "off",
    "placement": "by_weight",
    "zone_move": "all_at_once",
}
VARIANT = {
    "limit": "adaptive",
    "queue": "deadline_fair",
    "pick": "two_choices",
    "hedge": "after_p95",
    "ejection": "outlier",
    "placement": "load_aware",
    "zone_move": "paced",
}


class Deployment(NamedTuple):
    """Sizes and settings of a customer's deployment.

    Attributes:
        name: Name of the customer.
        zones: Availability zones.
        slots: Maximum number of concurrent requests of each backend server.
        zone_hop_s: One-way delay between availability zones.
        tuning: Settings of the variant's policies.
    """

    name: str
    zones: tuple[str, ...]
    slots: int
    zone_hop_s: float
    tuning: dict[str, float]


KAASIK = Deployment(
    "kaasik",
    ("ee-north-a", "ee-north-b", "ee-north-c"),
    6,
    0.0015,
    {
        "min_imbalance": 0.10,
        "settle_imbalance": 0.05,
        "zone_imbalance": 0.33,
        "zone_settle_imbalance": 0.3,
        "churn_cost": 0.3,
    },
)
HOOKWORKS = Deployment(
    "hookworks",
    ("tanta", "mansoura", "zagazig"),
    3,
    0.0005,
    {
        "min_imbalance": 0.08,
        "settle_imbalance": 0.03,
        "zone_imbalance": 0.08,
        "zone_settle_imbalance": 0.03,
        "churn_cost": 0.1,
        "max_moves_per_plan": 256,
    },
)
DEPLOYMENTS = (KAASIK, HOOKWORKS)


def make_servers(deployment: Deployment, count: int) -> dict[str, BackendServer]:
    """Returns servers with speeds 1:2:4, with servers of each speed in each zone."""
    servers = {}
    for number in range(count):
        name = f"server-{number:02d}"
        zone = deployment.zones[number % len(deployment.zones)]
        weight = SPEEDS[(number // len(deployment.zones)) % len(SPEEDS)]
        servers[name] = BackendServer(
            name, "", zone, deployment.slots, 130, weight, COLD_SLOTS, "active"
        )
    return servers


def capacity_per_s(servers: dict[str, BackendServer]) -> float:
    """Returns the requests per second that all servers can answer together."""
    work = sum(server.weight * server.slots for server in servers.values())
    return work / ORDINARY_SERVICE_S
