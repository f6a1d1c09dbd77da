"""Quarantine of requests that crash their targets.

Reports of targets that exited, with the requests that were interrupted there, and of requests that
were served determine the list of requests that are sent to no target.
"""

from damsonlane.quarantine._attribution import ENDS_TO_HOLD, ENDS_TO_HOLD_ALIKE
from damsonlane.quarantine._exits import (
    BrokenRun,
    ForgetTargetEnds,
    NoteSurvived,
    NoteTargetEnd,
    ReleaseRequest,
    TargetExit,
)
from damsonlane.quarantine._fingerprint import find_fingerprint
from damsonlane.quarantine._registry import (
    COUNTED_SECONDS,
    MOST_ENDS,
    HeldRequest,
    QuarantineBook,
    QuarantineCommand,
    QuarantineList,
    QuarantineNoted,
    QuarantineSnapshot,
)
from damsonlane.quarantine._served import SERVED_SECONDS, RecentlyServed

__all__ = [
    "COUNTED_SECONDS",
    "ENDS_TO_HOLD",
    "ENDS_TO_HOLD_ALIKE",
    "MOST_ENDS",
    "SERVED_SECONDS",
    "BrokenRun",
    "ForgetTargetEnds",
    "HeldRequest",
    "NoteSurvived",
    "NoteTargetEnd",
    "QuarantineBook",
    "QuarantineCommand",
    "QuarantineList",
    "QuarantineNoted",
    "QuarantineSnapshot",
    "ReleaseRequest",
    "RecentlyServed",
    "TargetExit",
    "find_fingerprint",
]
