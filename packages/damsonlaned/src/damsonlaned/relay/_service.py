"""Serves other entries that do not reach the targets of their callers' requests."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

from grpclib.const import Handler
from grpclib.server import Stream

from damsonlane_rpc import (
    CALL_ERRORS,
    REACH,
    RELAY,
    ReachQuery,
    ReachReply,
    RelayPart,
    RelayRequest,
)
from damsonlaned.relay._messages import RelayedRequest
from damsonlaned.relay._reach_monitor import ReachMonitor
from damsonlaned.relay._writer import RelayWriter

#: Serves a request, and returns why it does not; an empty string if it did.
ServeRelayed = Callable[[RelayedRequest, RelayWriter], Awaitable[str]]


class RelayService:
    """Serves the calls of other entries.

    Args:
        serve: serves a request.
        reach: answers which targets this box reaches.
    """

    def __init__(self, serve: ServeRelayed, reach: ReachMonitor) -> None:
        self._serve: Final = serve
        self._reach: Final = reach
        self._active = 0

    def count_active(self) -> int:
        """Return the number of requests whose responses the other entries don't have yet."""
        return self._active

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of the calls from other entries."""
        return {
            REACH.path: REACH.handler(self._answer),
            RELAY.path: RELAY.handler(self._relay),
        }

    async def _answer(self, stream: Stream[ReachQuery, ReachReply]) -> None:
        query = await stream.recv_message()
        if query is not None:
            await stream.send_message(await self._reach.answer(query))

    async def _relay(self, stream: Stream[RelayRequest, RelayPart]) -> None:
        message = await stream.recv_message()
        if message is None:
            return
        self._active += 1
        try:
            await self._serve_relayed(stream, message)
        finally:
            self._active -= 1

    async def _serve_relayed(
        self, stream: Stream[RelayRequest, RelayPart], message: RelayRequest
    ) -> None:
        writer = RelayWriter()
        push_task = asyncio.create_task(writer.push(stream))
        try:
            declined = await self._serve(RelayedRequest.decode(message), writer)
            if declined:
                writer.decline(declined)
            writer.end()
            await push_task
        finally:
            push_task.cancel()
            with contextlib.suppress(asyncio.CancelledError, *CALL_ERRORS):
                await push_task
