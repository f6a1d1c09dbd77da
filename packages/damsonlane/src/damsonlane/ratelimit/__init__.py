"""Rate limits: targets that name how many requests a second they take from all boxes."""

from damsonlane.ratelimit._bucket import RateBucket
from damsonlane.ratelimit._issuer import (
    LEAST_RATE,
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
from damsonlane.ratelimit._table import UNBOUND_RATE, RateLimitBook

__all__ = [
    "LEAST_RATE",
    "SECOND_SHARE",
    "UNBOUND_RATE",
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
