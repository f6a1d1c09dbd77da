"""Serves other boxes that tell of the origins of streams or ask for them."""

from collections.abc import Iterable, Mapping
from typing import Final, Protocol

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane.versions import StreamOrigin
from damsonlane_rpc import (
    FIND_ORIGIN,
    RECORD_ORIGINS,
    OriginBatch,
    OriginBatchReply,
    OriginQuery,
    OriginReply,
)


class OriginStore(Protocol):
    """Keeps the origins of streams."""

    def record_told(self, origins: Iterable[StreamOrigin], retention_seconds: float) -> None:
        """Record origins that another box told.

        Args:
            origins: the origins.
            retention_seconds: for how long that box remembers them, in seconds.
        """

    def find_here(self, attempt: str) -> StreamOrigin | None:
        """Return an origin that this box knows, or None."""


class OriginService:
    """Serves the calls of other boxes.

    Args:
        origins: the origins that this box knows.
    """

    def __init__(self, origins: OriginStore) -> None:
        self._origins: Final = origins

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of the calls from other boxes."""
        return {
            RECORD_ORIGINS.path: RECORD_ORIGINS.handler(self._record),
            FIND_ORIGIN.path: FIND_ORIGIN.handler(self._find),
        }

    async def _record(self, stream: Stream[OriginBatch, OriginBatchReply]) -> None:
        batch = await stream.recv_message()
        if batch is not None:
            self._origins.record_told(batch.origins, batch.retention_seconds)
            await stream.send_message(OriginBatchReply())

    async def _find(self, stream: Stream[OriginQuery, OriginReply]) -> None:
        query = await stream.recv_message()
        if query is not None:
            await stream.send_message(OriginReply(origin=self._origins.find_here(query.attempt)))
