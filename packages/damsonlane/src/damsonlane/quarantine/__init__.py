"""Requests that end their targets: which ones they are, by what ended under them.

What enters are ends of targets with the requests that broke off there, and word of requests
that were served; what leaves is the list of requests that no target is to get.
"""

from damsonlane.quarantine._attribution import ENDS_TO_HOLD, ENDS_TO_HOLD_ALIKE
from damsonlane.quarantine._exits import (
    BrokenRun,
    ForgetTargetEnds,
    NoteSurvived,
    NoteTargetEnd,
    ReleaseRequest,
    TargetEnd,
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
from damsonlane.quarantine._served import SERVED_SECONDS, ServedLately

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
    "ServedLately",
    "TargetEnd",
    "find_fingerprint",
]
