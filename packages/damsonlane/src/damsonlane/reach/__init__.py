"""Which services a box reaches: evidence, decisions, and the boxes that can serve in its place."""

from damsonlane.reach._evidence import FailureKind, ReachEvidence
from damsonlane.reach._helpers import HelperCandidate, HelperChoice
from damsonlane.reach._probes import ProbeResult, is_reached_better
from damsonlane.reach._service import ReachState, ServiceReach

__all__ = [
    "FailureKind",
    "HelperCandidate",
    "HelperChoice",
    "ProbeResult",
    "ReachEvidence",
    "ReachState",
    "ServiceReach",
    "is_reached_better",
]
