"""Admission control: which requests may enter, decided at once and without a queue."""

from damsonlane.admission._caller_wait import CallerAges
from damsonlane.admission._first_event import FirstEventForecast
from damsonlane.admission._forecast import (
    ADMISSION_SHARE,
    STAGE_SHARE,
    ServiceMeter,
    Work,
)
from damsonlane.admission._limits import Entrant, InFlightLimits

__all__ = [
    "ADMISSION_SHARE",
    "STAGE_SHARE",
    "CallerAges",
    "FirstEventForecast",
    "InFlightLimits",
    "ServiceMeter",
    "Entrant",
    "Work",
]
