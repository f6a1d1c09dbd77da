"""Stand-ins for targets that register at control replicas: plain, engine and pool targets."""

from damsonlane_bench.registered._target import (
    LEAVING_SIGNAL,
    LIMIT_END_SIGNAL,
    LIMIT_SIGNAL,
    REST_SIGNAL,
    Kind,
    RegisteredTarget,
)

__all__ = [
    "LEAVING_SIGNAL",
    "LIMIT_END_SIGNAL",
    "LIMIT_SIGNAL",
    "REST_SIGNAL",
    "Kind",
    "RegisteredTarget",
]
