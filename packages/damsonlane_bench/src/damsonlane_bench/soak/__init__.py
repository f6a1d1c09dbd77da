"""Fault soak: runs real processes under random faults and checks what callers observed.

`draw_plan` draws a `Plan` from a seed; `SoakRun` executes it and returns a `SoakResult` with every
violated guarantee and the request concerned.
"""

from damsonlane_bench.soak._fleet_size import FleetSize
from damsonlane_bench.soak._guarantees import Violation
from damsonlane_bench.soak._parts import Parts
from damsonlane_bench.soak._plan import (
    ANNOUNCEMENT_KINDS,
    CROWD_KINDS,
    CUT_KINDS,
    ENTRY_KINDS,
    LOAD_KINDS,
    PROCESS_FAULT_KINDS,
    RATE_LIMIT_KINDS,
    REJECTION_KINDS,
    REPLACEMENT_KINDS,
    SILENCE_KINDS,
    SURGE_KINDS,
    Fault,
    Plan,
    draw_plan,
)
from damsonlane_bench.soak._result import SoakResult
from damsonlane_bench.soak._soak_run import SoakRun

__all__ = [
    "ANNOUNCEMENT_KINDS",
    "CROWD_KINDS",
    "CUT_KINDS",
    "ENTRY_KINDS",
    "LOAD_KINDS",
    "PROCESS_FAULT_KINDS",
    "RATE_LIMIT_KINDS",
    "REJECTION_KINDS",
    "REPLACEMENT_KINDS",
    "SILENCE_KINDS",
    "SURGE_KINDS",
    "Fault",
    "FleetSize",
    "Parts",
    "Plan",
    "SoakResult",
    "SoakRun",
    "Violation",
    "draw_plan",
]
