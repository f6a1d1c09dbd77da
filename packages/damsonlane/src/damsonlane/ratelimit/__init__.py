"""Rate limits that targets announce: requests a second from all boxes together."""

from damsonlane.ratelimit._bucket import RateBucket
from damsonlane.ratelimit._issuer import (
    MIN_RATE,
    SECOND_SHARE,
    PermitIssuer,
)
from damsonlane.ratelimit._permits import Permit, PermitOrder
from damsonlane.ratelimit._registry import (
    NoteRateLimits,
    RateLimitList,
    RateLimitRegistry,
    RateLimitsNoted,
    list_changes,
    list_untold,
)
from damsonlane.ratelimit._report import RateWord
from damsonlane.ratelimit._table import UNLIMITED_RATE, RateLimitBook

__all__ = [
    "MIN_RATE",
    "SECOND_SHARE",
    "UNLIMITED_RATE",
    "NoteRateLimits",
    "Permit",
    "PermitIssuer",
    "PermitOrder",
    "RateBucket",
    "RateLimitBook",
    "RateLimitList",
    "RateLimitRegistry",
    "RateLimitsNoted",
    "RateWord",
    "list_changes",
    "list_untold",
]
