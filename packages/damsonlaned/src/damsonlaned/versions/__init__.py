"""Keeps event streams at targets of the software version that began them."""

from damsonlaned.versions._replica_origins import ReplicaOrigins
from damsonlaned.versions._service import OriginService
from damsonlaned.versions._stream_origins import StreamOrigins
from damsonlaned.versions._target_filter import TargetFilter

__all__ = ["OriginService", "ReplicaOrigins", "StreamOrigins", "TargetFilter"]
