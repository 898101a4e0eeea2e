"""How much goes wrong in a run of the model of dispatch rights."""

from __future__ import annotations

from typing import NamedTuple


class Faults(NamedTuple):
    """How much goes wrong in a run.

    Attributes:
        loss: Share of messages that are lost.
        duplication: Share of messages that arrive twice.
        spike: Share of messages that are delayed by up to ``spike_s``.
        spike_s: Longest delay.
        usual_s: Longest delay of other messages.
        per_s: Rate of pauses, restarts, cuts, kills and give-backs together.
    """

    loss: float = 0.05
    duplication: float = 0.05
    spike: float = 0.1
    spike_s: float = 1.6
    usual_s: float = 0.02
    per_s: float = 1.5


HARSH = Faults()
STORM = Faults(loss=0.3, spike=0.05, spike_s=0.8, per_s=4.0)
QUIET = Faults(0.0, 0.0, 0.0, 0.0, 0.002, 0.0)
