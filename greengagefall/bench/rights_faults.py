"""Fault rates for runs of the dispatch rights simulation."""

from __future__ import annotations

from typing import NamedTuple


class Faults(NamedTuple):
    """Fault rates and message delays of a run.

    Attributes:
        loss: Share of messages that are lost.
        duplication: Share of messages that arrive twice.
        spike: Share of messages that are delayed by up to ``spike_s``.
        spike_s: Maximum delay of messages with a delay spike.
        normal_s: Maximum delay of all other messages.
        per_s: Total number of process and network faults and resignations injected per second.
    """

    loss: float = 0.05
    duplication: float = 0.05
    spike: float = 0.1
    spike_s: float = 1.6
    normal_s: float = 0.02
    per_s: float = 1.5


HARSH = Faults()
STORM = Faults(loss=0.3, spike=0.05, spike_s=0.8, per_s=4.0)
QUIET = Faults(0.0, 0.0, 0.0, 0.0, 0.002, 0.0)
