"""Stand-ins for targets that register at control replicas: plain, engine and pool targets."""

from damsonlane_bench.registered_target._senders import CutForm, write_senders
from damsonlane_bench.registered_target._signals import (
    BACKOFF_SIGNAL,
    DRAINING_SIGNAL,
    IMPLAUSIBLE_LOAD_END_SIGNAL,
    IMPLAUSIBLE_LOAD_SIGNAL,
    RATE_LIMIT_END_SIGNAL,
    RATE_LIMIT_SIGNAL,
    REJECTION_LIMIT_END_SIGNAL,
    REJECTION_LIMIT_SIGNAL,
    SILENCE_END_SIGNAL,
    SILENCE_SIGNAL,
    SLOW_END_SIGNAL,
    SLOW_SIGNAL,
)
from damsonlane_bench.registered_target._target import RegisteredTarget, TargetKind

__all__ = [
    "BACKOFF_SIGNAL",
    "CutForm",
    "DRAINING_SIGNAL",
    "IMPLAUSIBLE_LOAD_END_SIGNAL",
    "IMPLAUSIBLE_LOAD_SIGNAL",
    "RATE_LIMIT_END_SIGNAL",
    "RATE_LIMIT_SIGNAL",
    "REJECTION_LIMIT_END_SIGNAL",
    "REJECTION_LIMIT_SIGNAL",
    "SILENCE_END_SIGNAL",
    "SILENCE_SIGNAL",
    "SLOW_END_SIGNAL",
    "SLOW_SIGNAL",
    "RegisteredTarget",
    "TargetKind",
    "write_senders",
]
