"""Stand-ins for targets that register themselves: plain services, engines and stage pools."""

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
