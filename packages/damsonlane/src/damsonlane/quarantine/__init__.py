"""Quarantine of requests that crash their targets, and of what such requests share.

Reports of targets that exited, with the requests that were interrupted there, and of requests that
were served determine the list of requests and shared causes that are sent to no target.
"""

from damsonlane.quarantine._attribution import EXITS_TO_QUARANTINE, EXITS_TO_QUARANTINE_TIED
from damsonlane.quarantine._causes import RequestCauses, is_shared, list_shared_causes
from damsonlane.quarantine._exits import (
    ForgetTargetExits,
    InterruptedRequest,
    RecordServed,
    RecordTargetExit,
    ReleaseRequest,
    TargetExit,
)
from damsonlane.quarantine._fingerprint import find_fingerprint
from damsonlane.quarantine._registry import (
    EXIT_WINDOW_SECONDS,
    MAX_EXITS,
    QuarantineCommand,
    QuarantinedRequest,
    QuarantineList,
    QuarantineRecorded,
    QuarantineRegistry,
    QuarantineSnapshot,
)
from damsonlane.quarantine._served import CONFIRMED_SECONDS, SERVED_SECONDS, RecentlyServed

__all__ = [
    "CONFIRMED_SECONDS",
    "EXIT_WINDOW_SECONDS",
    "EXITS_TO_QUARANTINE",
    "EXITS_TO_QUARANTINE_TIED",
    "MAX_EXITS",
    "SERVED_SECONDS",
    "InterruptedRequest",
    "ForgetTargetExits",
    "QuarantinedRequest",
    "RecordServed",
    "RecordTargetExit",
    "QuarantineRegistry",
    "QuarantineCommand",
    "QuarantineList",
    "QuarantineRecorded",
    "QuarantineSnapshot",
    "ReleaseRequest",
    "RequestCauses",
    "RecentlyServed",
    "TargetExit",
    "find_fingerprint",
    "is_shared",
    "list_shared_causes",
]
