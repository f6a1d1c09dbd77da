"""Fair shares: which work of which organisation goes first while not all work fits."""

from damsonlane.fairness._division import FLOOR_SHARE, Demand, divide_capacity
from damsonlane.fairness._shares import Claim, OrganisationShares, WaitingWork, equal_weight
from damsonlane.fairness._usage import (
    MAX_NAMES,
    OTHERS,
    OrganisationUsage,
    UsageTotals,
    add_totals,
)

__all__ = [
    "FLOOR_SHARE",
    "MAX_NAMES",
    "OTHERS",
    "Claim",
    "Demand",
    "OrganisationShares",
    "OrganisationUsage",
    "UsageTotals",
    "WaitingWork",
    "add_totals",
    "divide_capacity",
    "equal_weight",
]
