"""Faults that can be injected into the backend server stand-in."""

from __future__ import annotations

from typing import NamedTuple


class BackendFaults(NamedTuple):
    """Active faults; ``POST /fault`` sets any of them by name.

    Attributes:
        slow_factor: Factor by which each service time is multiplied.
        late_s: Delay of an answer after its request was executed, in seconds.
        late_answers: Number of next answers that are sent late.
        crossed_answers: Number of next pairs of answers that are swapped between their callers.
        load_lag_s: Age of the reported load in seconds.
        reported_busy: Number of busy slots to report instead of the actual one; -1 reports the
            actual one.
        reported_health: Health to report instead of the actual one; empty reports the actual one.
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
