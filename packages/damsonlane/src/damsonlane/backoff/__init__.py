"""Back-off: targets that want nothing from this box, for a while or because they leave."""

from damsonlane.backoff._book import LONGEST_BACKOFF_SECONDS, BackoffBook
from damsonlane.backoff._spread import find_spread_seconds
from damsonlane.backoff._start import TargetStart

__all__ = ["LONGEST_BACKOFF_SECONDS", "BackoffBook", "TargetStart", "find_spread_seconds"]
