"""Stand-ins for targets, which count their executions."""

from damsonlane_bench.standin._behaviour import Behaviour
from damsonlane_bench.standin._execution_counter import Execution, ExecutionCounter
from damsonlane_bench.standin._server import DropConnectionError, StandIn

__all__ = ["Behaviour", "DropConnectionError", "Execution", "ExecutionCounter", "StandIn"]
