"""A fault soak: real processes under faults drawn from a seed, judged by what callers saw.

A plan enters, and a verdict leaves: every promise that was broken, with the request.
"""

from damsonlane_bench.soak._fleet_size import FleetSize
from damsonlane_bench.soak._guarantees import Breach
from damsonlane_bench.soak._plan import FAULT_KINDS, LIMIT_KINDS, WORD_KINDS, Fault, Plan, draw_plan
from damsonlane_bench.soak._soak_run import Soak, Verdict

__all__ = [
    "FAULT_KINDS",
    "LIMIT_KINDS",
    "WORD_KINDS",
    "Breach",
    "Fault",
    "FleetSize",
    "Plan",
    "Soak",
    "Verdict",
    "draw_plan",
]
