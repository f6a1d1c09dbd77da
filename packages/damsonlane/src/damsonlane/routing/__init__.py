"""Routing: the choice of a target for a request."""

from damsonlane.routing._partition import Place, PromptSides
from damsonlane.routing._policies import (
    POLICIES,
    RoutingPolicy,
    predict_time,
    rank_target,
    routing_policy,
)
from damsonlane.routing._table import Choice, Health, LoadReport, Standing, TargetBook
from damsonlane.routing._views import Origin, TargetView

__all__ = [
    "POLICIES",
    "Choice",
    "Health",
    "LoadReport",
    "Origin",
    "Place",
    "PromptSides",
    "RoutingPolicy",
    "Standing",
    "TargetBook",
    "TargetView",
    "predict_time",
    "rank_target",
    "routing_policy",
]
