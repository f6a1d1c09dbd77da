"""Report cost lines and counts of completed requests to control, which counts each once."""

import asyncio
import itertools
import threading
import time
from collections.abc import Sequence
from typing import Final

from damsonlane.burn import FINE_BUCKET_SECONDS, CompletionCount
from damsonlane.costs import CostLine, CostsRecorded, RecordCosts
from damsonlane.errors import UnavailableError
from damsonlane_rpc import ControlClient

#: Seconds between batches.
BATCH_SECONDS: Final = 0.5
#: Largest number of cost lines in one batch.
LINES_PER_BATCH: Final = 2_000
#: Seconds before a batch is sent again.
RETRY_SECONDS: Final = 0.2
#: Time-out of sending a batch once, in seconds.
SUBMIT_TIMEOUT_SECONDS: Final = 5.0


class UsageReporter:
    """Collects costs and counts from callers' threads and sends them in batches, in order.

    Args:
        client: client of control, used on the running loop.
        sender: name of this process, never used by another one.
    """

    def __init__(self, client: ControlClient, sender: str) -> None:
        self._client: Final = client
        self._sender: Final = sender
        self._lines: list[CostLine] = []
        self._completions: dict[str, CompletionCount] = {}
        self._lock: Final = threading.Lock()
        self._batches: Final = itertools.count(1)
        self._is_stopping = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sending."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Send what is left, within the time-out of one submission, and stop."""
        self._is_stopping = True
        if self._task is not None:
            done, _ = await asyncio.wait([self._task], timeout=SUBMIT_TIMEOUT_SECONDS)
            if not done:
                self._task.cancel()

    def add_costs(self, lines: Sequence[CostLine]) -> None:
        """Queue cost lines."""
        with self._lock:
            self._lines.extend(lines)

    def count_completion(self, organisation: str, pipeline: str, *, is_attained: bool) -> None:
        """Count a completed request."""
        now = int(time.time())
        count = CompletionCount(
            organisation=organisation,
            pipeline=pipeline,
            start=now - now % FINE_BUCKET_SECONDS,
            length=FINE_BUCKET_SECONDS,
            attained=int(is_attained),
            total=1,
        )
        name = f"{organisation}/{pipeline}/{count.start}"
        with self._lock:
            known = self._completions.get(name)
            self._completions[name] = known.combined_with(count) if known else count

    async def _run(self) -> None:
        while True:
            is_last = self._is_stopping
            command = self._pop_batch()
            if command is not None:
                await self._send(command)
            elif is_last:
                return
            else:
                await asyncio.sleep(BATCH_SECONDS)

    def _pop_batch(self) -> RecordCosts | None:
        with self._lock:
            lines = tuple(self._lines[:LINES_PER_BATCH])
            del self._lines[:LINES_PER_BATCH]
            completions = tuple(self._completions.values())
            self._completions.clear()
        if not lines and not completions:
            return None
        return RecordCosts(
            sender=self._sender, batch=next(self._batches), lines=lines, endings=completions
        )

    async def _send(self, command: RecordCosts) -> None:
        """Send a batch repeatedly until control has recorded it."""
        while True:
            try:
                replies = await self._client.submit([command], SUBMIT_TIMEOUT_SECONDS)
            except UnavailableError:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if isinstance(replies[0], CostsRecorded) and replies[0].batch >= command.batch:
                return
