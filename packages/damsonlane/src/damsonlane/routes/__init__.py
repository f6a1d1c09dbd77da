"""Routes by host and path prefix, in one versioned routing document."""

from damsonlane.routes._changes import RouteChanges
from damsonlane.routes._checks import check_document
from damsonlane.routes._document import (
    CallerLimits,
    EngineProperties,
    Organisation,
    PoolProperties,
    RetryMode,
    Route,
    RoutingDocument,
    Service,
    Stage,
    WeightedService,
)
from damsonlane.routes._table import RouteTable

__all__ = [
    "CallerLimits",
    "EngineProperties",
    "Organisation",
    "PoolProperties",
    "RetryMode",
    "Route",
    "RouteChanges",
    "RouteTable",
    "RoutingDocument",
    "Service",
    "Stage",
    "WeightedService",
    "check_document",
]
