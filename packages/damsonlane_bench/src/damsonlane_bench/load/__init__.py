"""Open-loop load generator: a planned mix of requests, with a peak that begins at a fixed time."""

from damsonlane_bench.load._plan import Arrival, LoadProfile, RequestClass, plan_arrivals
from damsonlane_bench.load._sender import Outcome, send_arrivals
from damsonlane_bench.load._summary import ClassSummary, summarize

__all__ = [
    "Arrival",
    "ClassSummary",
    "LoadProfile",
    "Outcome",
    "RequestClass",
    "plan_arrivals",
    "send_arrivals",
    "summarize",
]
