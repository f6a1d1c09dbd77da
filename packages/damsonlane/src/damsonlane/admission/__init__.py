"""Admission control: which requests may enter, decided at once and without a queue."""

from damsonlane.admission._caller_wait import CallerWaitEstimator
from damsonlane.admission._concurrency import ConcurrencyLimit
from damsonlane.admission._first_event import FirstEventForecast
from damsonlane.admission._forecast import (
    ADMISSION_SHARE,
    STAGE_SHARE,
    ServiceMeter,
    WorkClass,
)
from damsonlane.admission._limits import AdmissionRequest, InFlightLimits

__all__ = [
    "ADMISSION_SHARE",
    "STAGE_SHARE",
    "CallerWaitEstimator",
    "ConcurrencyLimit",
    "FirstEventForecast",
    "InFlightLimits",
    "ServiceMeter",
    "AdmissionRequest",
    "WorkClass",
]
