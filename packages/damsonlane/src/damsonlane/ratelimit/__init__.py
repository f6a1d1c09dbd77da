"""Rate limits: targets that name how many requests a second they take from all boxes."""

from damsonlane.ratelimit._book import RateLimitBook
from damsonlane.ratelimit._word import RateWord

__all__ = ["RateLimitBook", "RateWord"]
