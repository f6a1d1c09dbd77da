"""Divides the turns of the event loop among connections whose requests are in many parts."""

import asyncio
from typing import Final

from damsonlane.turns import EVENTS_PER_GRANT, TurnQueue


class ParseTurns:
    """Grants connections of one listener to parse further events."""

    def __init__(self) -> None:
        self._queue: Final = TurnQueue[asyncio.Future[None]](lambda future: not future.done())
        self._is_scheduled = False

    async def wait(self) -> None:
        """Wait for the next grant."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._queue.join(future)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._grant)
        await future

    def _grant(self) -> None:
        for future in self._queue.take():
            future.set_result(None)
        self._is_scheduled = len(self._queue) > 0
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._grant)


class RequestEvents:
    """Counts the events of one request.

    Args:
        turns: grants further events to a request that has many.
    """

    def __init__(self, turns: ParseTurns) -> None:
        self._turns: Final = turns
        self._left = EVENTS_PER_GRANT

    def begin_request(self) -> None:
        """Let the first events of a request pass at once."""
        self._left = EVENTS_PER_GRANT

    async def wait(self) -> None:
        """Wait for a grant after the events of the last one; call it if `must_wait`."""
        await self._turns.wait()
        self._left = EVENTS_PER_GRANT

    def must_wait(self) -> bool:
        """Count one event; return whether the request has to wait before it."""
        self._left -= 1
        return self._left < 0
