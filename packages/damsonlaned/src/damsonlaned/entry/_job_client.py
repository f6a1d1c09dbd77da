"""Job commands on their way to the ledger, together with whatever else is asked at the moment."""

import asyncio
import concurrent.futures
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.cluster import Command, Reply
from damsonlane.errors import UnavailableError
from damsonlane.ledger import JobReply
from damsonlane_rpc import ControlClient


@dataclass(frozen=True, kw_only=True)
class _Asked:
    command: Command
    future: "asyncio.Future[Reply]"


class JobLink:
    """Carries job commands from the callers' threads to control.

    Args:
        client: client of control, used on the running loop.
    """

    def __init__(self, client: ControlClient) -> None:
        self._client: Final = client
        self._loop: Final = asyncio.get_running_loop()
        self._asked: list[_Asked] = []
        self._flushes: set[asyncio.Task[None]] = set()

    def ask(self, command: Command, seconds: float) -> JobReply | None:
        """Have a command committed, from any thread; None when that is not known in time."""
        future = asyncio.run_coroutine_threadsafe(self._ask(command, seconds), self._loop)
        try:
            reply = future.result(timeout=max(0.0, seconds))
        except (concurrent.futures.TimeoutError, UnavailableError):
            future.cancel()
            return None
        return reply if isinstance(reply, JobReply) else None

    async def _ask(self, command: Command, seconds: float) -> Reply:
        future: asyncio.Future[Reply] = self._loop.create_future()
        if not self._asked:
            self._loop.call_soon(self._start_flush, seconds)
        self._asked.append(_Asked(command=command, future=future))
        return await asyncio.wait_for(future, seconds)

    def _start_flush(self, seconds: float) -> None:
        asked = self._asked
        self._asked = []
        task = self._loop.create_task(self._flush(asked, seconds))
        self._flushes.add(task)
        task.add_done_callback(self._flushes.discard)

    async def _flush(self, asked: Sequence[_Asked], seconds: float) -> None:
        try:
            replies = await self._client.submit([item.command for item in asked], seconds)
        except UnavailableError as error:
            for item in asked:
                if not item.future.done():
                    item.future.set_exception(error)
            return
        for item, reply in zip(asked, replies, strict=True):
            if not item.future.done():
                item.future.set_result(reply)
