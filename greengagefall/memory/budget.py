"""Shares of a host's memory and descriptors that clients may hold."""

from __future__ import annotations

from typing import NamedTuple

# Resident memory of a host without requests, with room for what it knows of the cluster.
BASE_BYTES = 40_000_000
# A third of the rest stays free for copies and for memory that the allocator does not give back.
HELD_SHARE = 2 / 3
# A host whose settings name less memory than it needs still serves small requests.
MIN_BUDGET_BYTES = 4_000_000
# Only small holders may use the last part of the budget.
RESERVE_SHARE = 0.1
FILE_DESCRIPTORS = 200
# The rest is for backend servers, the store and other hosts.
CLIENT_DESCRIPTORS_SHARE = 0.75
MIN_CONNECTIONS = 16
# Objects and buffers of a connection without a request.
CONNECTION_BYTES = 16_384

BODIES = "bodies"
WAITING_BODIES = "waiting_bodies"
SERVER_ANSWERS = "server_answers"
ANSWERS = "answers"
HEADS = "heads"
CONNECTIONS = "connections"
FRAGMENTS = "fragments"
# Largest share of the budget that each part may use. They add up to more than 1, so that a single
# large request may use most of the memory of a host without other load.
PART_SHARES = {
    BODIES: 0.4,
    WAITING_BODIES: 0.3,
    SERVER_ANSWERS: 0.3,
    ANSWERS: 0.4,
    HEADS: 0.1,
    CONNECTIONS: 0.2,
    FRAGMENTS: 0.3,
}


class MemoryBudget(NamedTuple):
    """What clients may hold on one host.

    Attributes:
        total_bytes: Bytes of all parts together.
        parts_bytes: Most bytes of each part.
        connections: Connections of clients that may be open at once.
    """

    total_bytes: int
    parts_bytes: dict[str, int]
    connections: int


def plan_budget(memory_bytes: int, max_descriptors: int) -> MemoryBudget:
    """Returns the budget of a host.

    Args:
        memory_bytes: Memory of the host.
        max_descriptors: Open files and sockets that the process may have.
    """
    held_bytes = max(MIN_BUDGET_BYTES, int((memory_bytes - BASE_BYTES) * HELD_SHARE))
    by_memory = int(held_bytes * PART_SHARES[CONNECTIONS] / CONNECTION_BYTES)
    by_descriptors = int((max_descriptors - FILE_DESCRIPTORS) * CLIENT_DESCRIPTORS_SHARE)
    return MemoryBudget(
        held_bytes,
        {part: int(share * held_bytes) for part, share in PART_SHARES.items()},
        max(MIN_CONNECTIONS, min(by_memory, by_descriptors)),
    )
