"""Software versions of targets, and the version at which each event stream goes on."""

from damsonlane.versions._holders import HolderRanking
from damsonlane.versions._origins import OriginTable, StreamOrigin, find_retention_seconds
from damsonlane.versions._steady import SteadyVersion, SteadyVersions, VersionHistory

__all__ = [
    "HolderRanking",
    "OriginTable",
    "SteadyVersion",
    "SteadyVersions",
    "StreamOrigin",
    "VersionHistory",
    "find_retention_seconds",
]
