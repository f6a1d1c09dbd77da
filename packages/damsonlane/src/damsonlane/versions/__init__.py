"""Software versions of targets, and the version at which each event stream goes on."""

from damsonlane.versions._holders import HolderRanking
from damsonlane.versions._origins import (
    MAX_REPLICA_ORIGINS,
    MAX_RETENTION_SECONDS,
    MIN_RETENTION_SECONDS,
    OriginTable,
    StreamOrigin,
    find_retention_seconds,
)
from damsonlane.versions._replicas import REPLICA_COPIES, ReplicaRanking
from damsonlane.versions._steady import SteadyVersion, SteadyVersions, VersionHistory

__all__ = [
    "MAX_REPLICA_ORIGINS",
    "MAX_RETENTION_SECONDS",
    "MIN_RETENTION_SECONDS",
    "REPLICA_COPIES",
    "HolderRanking",
    "OriginTable",
    "ReplicaRanking",
    "SteadyVersion",
    "SteadyVersions",
    "StreamOrigin",
    "VersionHistory",
    "find_retention_seconds",
]
