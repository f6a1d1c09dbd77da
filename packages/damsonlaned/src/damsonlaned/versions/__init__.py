"""Keeps event streams at targets of the software version that began them."""

from typing import TYPE_CHECKING

from damsonlane.deferred import import_at_use

if TYPE_CHECKING:
    from damsonlaned.versions._replica_origins import ReplicaOrigins
    from damsonlaned.versions._service import OriginService
    from damsonlaned.versions._stream_origins import StreamOrigins
    from damsonlaned.versions._target_filter import TargetFilter
    from damsonlaned.versions._version_reader import VersionReader
else:
    __getattr__ = import_at_use(
        __name__,
        {
            "_replica_origins": ("ReplicaOrigins",),
            "_service": ("OriginService",),
            "_stream_origins": ("StreamOrigins",),
            "_target_filter": ("TargetFilter",),
            "_version_reader": ("VersionReader",),
        },
    )

__all__ = ["OriginService", "ReplicaOrigins", "StreamOrigins", "TargetFilter", "VersionReader"]
