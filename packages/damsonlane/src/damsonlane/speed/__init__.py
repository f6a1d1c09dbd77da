"""Speed of targets: inherent speed, learned from durations, and the slowness that they report.

Both are soft state of one process.  A process that starts learns them again from the next
responses of each target.
"""

from damsonlane.speed._baseline import WorkBaselines
from damsonlane.speed._slowness import (
    MAX_REPORT_AGE_SECONDS,
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    ReportedSlowness,
    is_plausible,
)
from damsonlane.speed._target_speed import MIN_SAMPLES, TargetSpeed

__all__ = [
    "MAX_REPORT_AGE_SECONDS",
    "MAX_SLOWNESS",
    "MIN_SAMPLES",
    "MIN_SLOWNESS",
    "ReportedSlowness",
    "TargetSpeed",
    "WorkBaselines",
    "is_plausible",
]
