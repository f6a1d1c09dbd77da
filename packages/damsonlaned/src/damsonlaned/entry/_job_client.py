"""Send job commands to the ledger; commands that wait at the same time share a batch."""

import asyncio
import concurrent.futures
from collections.abc import Sequence
from typing import Final

from damsonlane.cluster import Command, Reply
from damsonlane.errors import UnavailableError
from damsonlane.ledger import JobReply
from damsonlane.records import dataclass
from damsonlane_rpc import ControlClient


@dataclass(frozen=True, kw_only=True)
class _PendingCommand:
    command: Command
    future: "asyncio.Future[Reply]"


class JobClient:
    """Sends job commands of callers' threads to control.

    Args:
        client: client of control, used on the running loop.
    """

    def __init__(self, client: ControlClient) -> None:
        self._client: Final = client
        self._loop: Final = asyncio.get_running_loop()
        self._pending: list[_PendingCommand] = []
        self._flushes: set[asyncio.Task[None]] = set()

    def submit(self, command: Command, seconds: float) -> JobReply | None:
        """Have the ledger commit a command, from any thread.

        Args:
            command: the command.
            seconds: time-out.

        Returns:
            The reply; None if it is not known in time whether the command was committed.
        """
        future = asyncio.run_coroutine_threadsafe(self._enqueue(command, seconds), self._loop)
        try:
            reply = future.result(timeout=max(0.0, seconds))
        except (concurrent.futures.TimeoutError, UnavailableError):
            future.cancel()
            return None
        return reply if isinstance(reply, JobReply) else None

    async def _enqueue(self, command: Command, seconds: float) -> Reply:
        future: asyncio.Future[Reply] = self._loop.create_future()
        if not self._pending:
            self._loop.call_soon(self._start_flush, seconds)
        self._pending.append(_PendingCommand(command=command, future=future))
        return await asyncio.wait_for(future, seconds)

    def _start_flush(self, seconds: float) -> None:
        batch = self._pending
        self._pending = []
        task = self._loop.create_task(self._flush(batch, seconds))
        self._flushes.add(task)
        task.add_done_callback(self._flushes.discard)

    async def _flush(self, batch: Sequence[_PendingCommand], seconds: float) -> None:
        try:
            replies = await self._client.submit([item.command for item in batch], seconds)
        except UnavailableError as error:
            for item in batch:
                if not item.future.done():
                    item.future.set_exception(error)
            return
        for item, reply in zip(batch, replies, strict=True):
            if not item.future.done():
                item.future.set_result(reply)
