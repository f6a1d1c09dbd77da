"""Background tasks whose failures are logged."""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Coroutine
from typing import Any, Final, TypeVar

_LOG: Final = logging.getLogger(__name__)

#: Seconds after which a task that is still running is cancelled again.
CANCEL_SECONDS: Final = 0.5

#: Turns of the event loop within which a result that has arrived reaches the task that awaits it.
RESULT_TURNS: Final = 8

Result = TypeVar("Result")


def start_task(work: Coroutine[Any, Any, Result], name: str) -> asyncio.Task[Result]:
    """Start a task that is not awaited; an exception in it is logged with its traceback.

    Args:
        work: coroutine to run.
        name: name of the task in logs.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error("task failed", extra={"task": task.get_name()}, exc_info=task.exception())


async def stop_task(task: "asyncio.Task[Any]") -> None:
    """Cancel a task and wait until it has ended, whatever it raises.

    A library may replace a cancellation by the error of a connection that fails at the same moment,
    and `asyncio.wait_for` by a result that arrives then.  The task goes on, so it is cancelled
    again.
    """
    while not task.done():
        task.cancel()
        await asyncio.wait({task}, timeout=CANCEL_SECONDS)


@contextlib.asynccontextmanager
async def limit_time(seconds: float) -> AsyncIterator[None]:
    """Limit the time of what is awaited, apart from the delay of the event loop.

    In a late loop a plain time-out expires in the turn in which the result is received, before it
    reaches the task that awaits it.

    Args:
        seconds: the time-out.

    Raises:
        TimeoutError: no result arrived in time.
    """
    async with asyncio.timeout(None) as limit:
        timer = _TurnTimer(seconds, RESULT_TURNS, limit)
        try:
            yield
        finally:
            timer.cancel()


class _TurnTimer:
    """Lets a time-out expire some turns of the event loop after its time.

    Args:
        seconds: the time.
        turns: the turns.
        limit: the time-out.
    """

    def __init__(self, seconds: float, turns: int, limit: asyncio.Timeout) -> None:
        self._loop: Final = asyncio.get_running_loop()
        self._limit: Final = limit
        self._turns = turns
        self._handle: asyncio.Handle = self._loop.call_later(seconds, self._turn)

    def cancel(self) -> None:
        """Let the time-out never expire."""
        self._handle.cancel()

    def _turn(self) -> None:
        if self._turns:
            self._turns -= 1
            self._handle = self._loop.call_soon(self._turn)
        else:
            self._limit.reschedule(self._loop.time())
