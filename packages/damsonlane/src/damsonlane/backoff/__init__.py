"""Back-off: targets that want nothing from this box, for a while or because they leave."""

from damsonlane.backoff._incarnation import TargetStart
from damsonlane.backoff._jitter import find_spread_seconds
from damsonlane.backoff._table import LONGEST_BACKOFF_SECONDS, BackoffBook

__all__ = ["LONGEST_BACKOFF_SECONDS", "BackoffBook", "TargetStart", "find_spread_seconds"]
