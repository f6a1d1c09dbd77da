"""Rate limits that targets announce: requests a second from all boxes together."""

from damsonlane.ratelimit._bucket import RateBucket
from damsonlane.ratelimit._issuer import (
    MIN_RATE,
    NON_OWNER_SHARE,
    PermitIssuer,
)
from damsonlane.ratelimit._permits import Permit, PermitRequest
from damsonlane.ratelimit._registry import (
    RateLimitList,
    RateLimitRegistry,
    RateLimitsRecorded,
    RecordRateLimits,
    list_changes,
    list_unreported,
)
from damsonlane.ratelimit._report import RateLimitReport
from damsonlane.ratelimit._table import UNLIMITED_RATE, RateLimitTable

__all__ = [
    "MIN_RATE",
    "NON_OWNER_SHARE",
    "UNLIMITED_RATE",
    "RecordRateLimits",
    "Permit",
    "PermitIssuer",
    "PermitRequest",
    "RateBucket",
    "RateLimitTable",
    "RateLimitList",
    "RateLimitRegistry",
    "RateLimitsRecorded",
    "RateLimitReport",
    "list_changes",
    "list_unreported",
]
