"""Validation functions for settings documents defined in other packages."""

from damsonlane.settings._validation import CLOSED, check_value, locate

__all__ = ["CLOSED", "check_value", "locate"]
