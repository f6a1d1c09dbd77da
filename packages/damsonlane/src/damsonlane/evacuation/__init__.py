"""Evacuating data centres: an agreed state of control beside the settings."""

from damsonlane.evacuation._evacuations import (
    EvacuateDataCentre,
    Evacuation,
    EvacuationList,
    EvacuationNoted,
    Evacuations,
    EvacuationsSnapshot,
    RestoreDataCentre,
)

__all__ = [
    "EvacuateDataCentre",
    "Evacuation",
    "EvacuationList",
    "EvacuationNoted",
    "Evacuations",
    "EvacuationsSnapshot",
    "RestoreDataCentre",
]
