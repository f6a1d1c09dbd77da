"""Cold targets: how many requests a second they may get, and from whom."""

from damsonlane.coldness._bound import ColdAllowance, ColdBound
from damsonlane.coldness._gate import ColdGate
from damsonlane.coldness._news import ColdNews
from damsonlane.coldness._share import find_entry_share

__all__ = ["ColdAllowance", "ColdBound", "ColdGate", "ColdNews", "find_entry_share"]
