"""Checking further kinds of settings in the same way."""

from damsonlane.settings._validation import CLOSED, check_value, locate

__all__ = ["CLOSED", "check_value", "locate"]
