"""Crowds of new connections at few entries: ``python -m damsonlane_bench.crowded_entry``."""

from damsonlane_bench.crowded_entry._callers import Answer, Crowd
from damsonlane_bench.crowded_entry._fleet import CrowdedFleet, FleetSize
from damsonlane_bench.crowded_entry._kinds import KINDS, RequestKind

__all__ = ["KINDS", "Answer", "Crowd", "CrowdedFleet", "FleetSize", "RequestKind"]
