"""Serves other boxes that tell of the origins of streams or ask for them."""

from collections.abc import Mapping
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane_rpc import (
    FIND_ORIGIN,
    RECORD_ORIGINS,
    OriginBatch,
    OriginBatchReply,
    OriginQuery,
    OriginReply,
)
from damsonlaned.versions._stream_origins import StreamOrigins


class OriginService:
    """Serves the calls of other boxes.

    Args:
        origins: the origins that this box knows.
    """

    def __init__(self, origins: StreamOrigins) -> None:
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
            self._origins.record_told(batch.origins)
            await stream.send_message(OriginBatchReply())

    async def _find(self, stream: Stream[OriginQuery, OriginReply]) -> None:
        query = await stream.recv_message()
        if query is not None:
            await stream.send_message(OriginReply(origin=self._origins.find_here(query.attempt)))
