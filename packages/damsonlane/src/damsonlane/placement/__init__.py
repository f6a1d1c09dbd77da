"""Placement: which engine prefills a prompt, decided by one owner for the whole fleet."""

from damsonlane.placement._engine_shares import EngineShares
from damsonlane.placement._engine_table import EngineTable
from damsonlane.placement._prompts import (
    InputLocation,
    Placement,
    PlacementRequest,
    PromptOutcome,
    PromptSegment,
)
from damsonlane.placement._speed_summary import SpeedSummary

__all__ = [
    "EngineShares",
    "EngineTable",
    "InputLocation",
    "Placement",
    "PlacementRequest",
    "PromptSegment",
    "PromptOutcome",
    "SpeedSummary",
]
