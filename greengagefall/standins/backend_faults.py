"""Faults that a backend server stand-in can be told to show."""

from __future__ import annotations

from typing import NamedTuple


class BackendFaults(NamedTuple):
    """Faults in force; ``POST /fault`` sets any of them by name.

    Attributes:
        slow_factor: Multiplies each service time.
        late_s: Delay of an answer after its work is done.
        late_answers: Number of coming answers that are late.
        crossed_answers: Number of coming pairs of answers that are swapped.
        load_lag_s: Age of the load that is reported.
        reported_busy: Busy slots reported whatever the truth; -1 for the truth.
        reported_health: Health reported whatever the truth; empty for the truth.
        draining: Whether new requests are refused as ``draining``.
        shedding: Whether new requests are refused as ``shedding``.
    """

    slow_factor: float = 1.0
    late_s: float = 0.0
    late_answers: int = 0
    crossed_answers: int = 0
    load_lag_s: float = 0.0
    reported_busy: int = -1
    reported_health: str = ""
    draining: bool = False
    shedding: bool = False
