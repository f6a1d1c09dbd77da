"""Back-off: targets that requested no work for a while, or are draining."""

from damsonlane.backoff._incarnation import TargetIncarnation
from damsonlane.backoff._jitter import draw_jitter_seconds
from damsonlane.backoff._table import LONGEST_BACKOFF_SECONDS, BackoffTable

__all__ = ["LONGEST_BACKOFF_SECONDS", "BackoffTable", "TargetIncarnation", "draw_jitter_seconds"]
