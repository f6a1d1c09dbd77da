"""Fair shares: which work of which organisation goes first while not all work fits."""

from damsonlane.fairness._division import FLOOR_SHARE, Demand, divide_capacity
from damsonlane.fairness._shares import Claim, OrganisationShares, equal_weight
from damsonlane.fairness._usage import OrganisationUsage, UsageTotals

__all__ = [
    "FLOOR_SHARE",
    "Claim",
    "Demand",
    "OrganisationShares",
    "OrganisationUsage",
    "UsageTotals",
    "divide_capacity",
    "equal_weight",
]
