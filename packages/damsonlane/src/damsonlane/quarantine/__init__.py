"""Requests that end their targets: which ones they are, by what ended under them."""

from damsonlane.quarantine._ends import BrokenRun
from damsonlane.quarantine._fingerprint import find_fingerprint

__all__ = [
    "BrokenRun",
    "find_fingerprint",
]
