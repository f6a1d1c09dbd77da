"""Limits of the rejections that targets bear, and windows that keep boxes within them."""

from damsonlane.rejections._windows import RejectionWindows, SentWork

__all__ = ["RejectionWindows", "SentWork"]
