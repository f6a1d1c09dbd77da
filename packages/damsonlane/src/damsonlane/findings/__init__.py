"""Findings: faults in a document, each with its place."""

from damsonlane.findings._finding import Finding, Place
from damsonlane.findings._validation import list_findings

__all__ = ["Finding", "Place", "list_findings"]
