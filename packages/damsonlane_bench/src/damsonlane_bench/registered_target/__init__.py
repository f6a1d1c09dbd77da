"""Stand-ins for targets that register at control replicas: plain, engine and pool targets."""

from damsonlane_bench.registered_target._target import (
    BACKOFF_SIGNAL,
    DRAINING_SIGNAL,
    RATE_LIMIT_END_SIGNAL,
    RATE_LIMIT_SIGNAL,
    RegisteredTarget,
    TargetKind,
)

__all__ = [
    "BACKOFF_SIGNAL",
    "DRAINING_SIGNAL",
    "RATE_LIMIT_END_SIGNAL",
    "RATE_LIMIT_SIGNAL",
    "RegisteredTarget",
    "TargetKind",
]
