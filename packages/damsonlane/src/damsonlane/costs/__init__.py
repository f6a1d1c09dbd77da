"""Costs by stage: lines reported by entries, totals in the replicated state."""

from damsonlane.costs._accounts import CostAccounts
from damsonlane.costs._lines import (
    AttemptOutcome,
    CostLine,
    CostsRecorded,
    CostTotal,
    RecordCosts,
    SenderProgress,
)

__all__ = [
    "AttemptOutcome",
    "CostAccounts",
    "CostLine",
    "CostTotal",
    "CostsRecorded",
    "RecordCosts",
    "SenderProgress",
]
