"""Targets that are warming up: how many requests a second they may get, and from whom."""

from damsonlane.warmup._changes import WarmupChanges
from damsonlane.warmup._limit import WarmupAllowance, WarmupLimit
from damsonlane.warmup._limiter import WarmupLimiter
from damsonlane.warmup._share import find_entry_share

__all__ = ["WarmupAllowance", "WarmupLimit", "WarmupLimiter", "WarmupChanges", "find_entry_share"]
