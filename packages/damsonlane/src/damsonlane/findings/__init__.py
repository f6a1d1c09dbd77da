"""Findings: faults in what someone wrote, each with its place."""

from damsonlane.findings._finding import Finding, Place

__all__ = ["Finding", "Place"]
