"""Back-off: targets that requested no work for a while, or are draining."""

from damsonlane.backoff._incarnation import TargetStart
from damsonlane.backoff._jitter import find_spread_seconds
from damsonlane.backoff._table import LONGEST_BACKOFF_SECONDS, BackoffBook

__all__ = ["LONGEST_BACKOFF_SECONDS", "BackoffBook", "TargetStart", "find_spread_seconds"]
