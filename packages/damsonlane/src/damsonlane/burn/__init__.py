"""Burn rate of error budgets, from durable counts of completed requests."""

from damsonlane.burn._buckets import BurnBuckets
from damsonlane.burn._counts import COARSE_BUCKET_SECONDS, FINE_BUCKET_SECONDS, CompletionCount
from damsonlane.burn._report import Burn, Window, list_windows, measure_burn

__all__ = [
    "COARSE_BUCKET_SECONDS",
    "FINE_BUCKET_SECONDS",
    "Burn",
    "BurnBuckets",
    "CompletionCount",
    "Window",
    "list_windows",
    "measure_burn",
]
