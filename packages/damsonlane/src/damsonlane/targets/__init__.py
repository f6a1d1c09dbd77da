"""Records of targets that register themselves, and the replicated registry."""

from damsonlane.targets._checks import find_record_fault
from damsonlane.targets._records import (
    RegisterTarget,
    RemoveTarget,
    SilenceTargets,
    TargetNoted,
    TargetRecord,
    TargetStanding,
)
from damsonlane.targets._registry import TargetChanges, TargetRegistry, TargetsSnapshot

__all__ = [
    "RegisterTarget",
    "RemoveTarget",
    "SilenceTargets",
    "TargetChanges",
    "TargetNoted",
    "TargetRecord",
    "TargetRegistry",
    "TargetStanding",
    "TargetsSnapshot",
    "find_record_fault",
]
