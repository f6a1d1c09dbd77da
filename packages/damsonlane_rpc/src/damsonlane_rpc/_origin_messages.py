"""Messages between boxes about the origins of event streams."""

from typing import Final

from damsonlane.records import dataclass
from damsonlane.versions import StreamOrigin
from damsonlane_rpc._methods import unary_method


@dataclass(frozen=True, kw_only=True)
class OriginBatch:
    """Origins of streams that began at the sender, for other boxes and for control replicas."""

    origins: tuple[StreamOrigin, ...]
    #: Seconds for which they are remembered; 0 where the receiver knows it by its routes.
    retention_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class OriginBatchReply:
    """The origins were recorded."""


@dataclass(frozen=True, kw_only=True)
class OriginQuery:
    """Asks where the stream began that an attempt of a caller brought the first event of."""

    #: Id of the attempt.
    attempt: str


@dataclass(frozen=True, kw_only=True)
class OriginReply:
    """The origin, or None if the box does not know it."""

    origin: StreamOrigin | None


RECORD_ORIGINS: Final = unary_method("/damsonlane.Origins/Record", OriginBatch, OriginBatchReply)
FIND_ORIGIN: Final = unary_method("/damsonlane.Origins/Find", OriginQuery, OriginReply)
