"""Records of targets that register themselves, and the replicated registry."""

from damsonlane.targets._checks import find_record_error
from damsonlane.targets._records import (
    MarkTargetsSilent,
    RegisterTarget,
    RemoveTarget,
    ServedModel,
    TargetRecord,
    TargetRecorded,
    TargetStanding,
)
from damsonlane.targets._registry import (
    ServiceVersion,
    TargetChanges,
    TargetRegistry,
    TargetsSnapshot,
)
from damsonlane.targets._shards import DivideService, Shard

__all__ = [
    "DivideService",
    "Shard",
    "RegisterTarget",
    "ServedModel",
    "ServiceVersion",
    "RemoveTarget",
    "MarkTargetsSilent",
    "TargetChanges",
    "TargetRecorded",
    "TargetRecord",
    "TargetRegistry",
    "TargetStanding",
    "TargetsSnapshot",
    "find_record_error",
]
