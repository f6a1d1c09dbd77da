"""Stand-ins for targets, which count what they really ran."""

from damsonlane_bench.standin._behaviour import Behaviour
from damsonlane_bench.standin._execution_counter import Execution, Oracle
from damsonlane_bench.standin._server import HangUpError, StandIn

__all__ = ["Behaviour", "Execution", "HangUpError", "Oracle", "StandIn"]
