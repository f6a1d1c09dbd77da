"""The open-loop load tool: waves of mixed requests with a fixed start."""

from damsonlane_bench.load._plan import Arrival, RequestClass, Wave, plan_arrivals
from damsonlane_bench.load._sender import Outcome, send_arrivals
from damsonlane_bench.load._summary import ClassSummary, summarize

__all__ = [
    "Arrival",
    "ClassSummary",
    "Outcome",
    "RequestClass",
    "Wave",
    "plan_arrivals",
    "send_arrivals",
    "summarize",
]
