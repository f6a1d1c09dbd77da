"""Service-level burn, from durable counts of endings."""

from damsonlane.burn._buckets import BurnBook
from damsonlane.burn._counts import COARSE_SECONDS, FINE_SECONDS, EndingCount
from damsonlane.burn._report import Burn, Window, list_windows, measure_burn

__all__ = [
    "COARSE_SECONDS",
    "FINE_SECONDS",
    "Burn",
    "BurnBook",
    "EndingCount",
    "Window",
    "list_windows",
    "measure_burn",
]
