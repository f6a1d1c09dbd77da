"""Routing: the choice of a target for a request."""

from damsonlane.routing._partition import EngineLocation, PromptPartition
from damsonlane.routing._policies import (
    POLICIES,
    RoutingPolicy,
    predict_time,
    rank_target,
    routing_policy,
)
from damsonlane.routing._table import (
    HealthSignal,
    LoadReport,
    TargetChoice,
    TargetLocation,
    TargetTable,
)
from damsonlane.routing._views import Origin, TargetView

__all__ = [
    "POLICIES",
    "TargetChoice",
    "HealthSignal",
    "LoadReport",
    "Origin",
    "EngineLocation",
    "PromptPartition",
    "RoutingPolicy",
    "TargetLocation",
    "TargetTable",
    "TargetView",
    "predict_time",
    "rank_target",
    "routing_policy",
]
