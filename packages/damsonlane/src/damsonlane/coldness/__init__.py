"""Targets that are warming up: how many requests a second they may get, and from whom."""

from damsonlane.coldness._changes import ColdNews
from damsonlane.coldness._limit import ColdAllowance, ColdBound
from damsonlane.coldness._limiter import ColdGate
from damsonlane.coldness._share import find_entry_share

__all__ = ["ColdAllowance", "ColdBound", "ColdGate", "ColdNews", "find_entry_share"]
