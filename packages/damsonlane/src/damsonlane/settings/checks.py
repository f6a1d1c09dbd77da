"""Validation functions for settings documents defined in other packages."""

from damsonlane.settings._validation import FORBID_UNKNOWN_KEYS, check_value, locate

__all__ = ["FORBID_UNKNOWN_KEYS", "check_value", "locate"]
