"""Background tasks whose failures are logged."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

_LOG: Final = logging.getLogger(__name__)

#: Seconds after which a task that is still running is cancelled again.
CANCEL_SECONDS: Final = 0.5

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


async def stop_task(task: "asyncio.Task[None]") -> None:
    """Cancel a task and wait until it has ended, whatever it raises.

    A library may replace a cancellation by the error of a connection that fails at the same moment,
    and `asyncio.wait_for` by a result that arrives then.  The task goes on, so it is cancelled
    again.
    """
    while not task.done():
        task.cancel()
        await asyncio.wait({task}, timeout=CANCEL_SECONDS)
