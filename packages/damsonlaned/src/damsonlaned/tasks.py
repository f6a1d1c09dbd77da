"""Background tasks whose failures are logged."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

_LOG: Final = logging.getLogger(__name__)

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
