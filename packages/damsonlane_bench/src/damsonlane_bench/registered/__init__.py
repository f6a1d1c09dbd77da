"""Stand-ins for targets that register themselves: plain services, engines and stage pools."""

from damsonlane_bench.registered._target import Kind, RegisteredTarget

__all__ = ["Kind", "RegisteredTarget"]
