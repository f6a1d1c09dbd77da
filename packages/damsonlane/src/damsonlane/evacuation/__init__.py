"""Evacuation of data centres: replicated state of control in addition to the settings."""

from damsonlane.evacuation._evacuations import (
    EvacuateDataCentre,
    Evacuation,
    EvacuationList,
    EvacuationRecorded,
    Evacuations,
    EvacuationsSnapshot,
    RestoreDataCentre,
)

__all__ = [
    "EvacuateDataCentre",
    "Evacuation",
    "EvacuationList",
    "EvacuationRecorded",
    "Evacuations",
    "EvacuationsSnapshot",
    "RestoreDataCentre",
]
