"""The parts that decide on the memory of one host's clients, built from its limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.memory.account import MemoryAccount
from greengagefall.memory.budget import MemoryBudget, plan_budget
from greengagefall.memory.decisions import DecisionLog

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock


class HostMemory(NamedTuple):
    """What decides on the memory of a host's clients.

    Attributes:
        budget: What clients may hold.
        account: What they hold.
        decisions: Records whom a shortage costs.
    """

    budget: MemoryBudget
    account: MemoryAccount
    decisions: DecisionLog


def open_host_memory(memory_bytes: int, max_descriptors: int, clock: Clock) -> HostMemory:
    """Returns the memory of a host whose clients hold nothing yet.

    Args:
        memory_bytes: Memory of the host.
        max_descriptors: Open files and sockets that the process may have.
        clock: Clock that counts suspended time.
    """
    budget = plan_budget(memory_bytes, max_descriptors)
    decisions = DecisionLog(clock)
    return HostMemory(budget, MemoryAccount(budget, clock, decisions), decisions)
