"""Background tasks whose failures are never silent."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

_LOG: Final = logging.getLogger(__name__)

Result = TypeVar("Result")


def start_task(work: Coroutine[Any, Any, Result], name: str) -> asyncio.Task[Result]:
    """Start a task that nobody awaits; a failure inside it is logged with its trace.

    Args:
        work: what the task does.
        name: says in logs which task it is.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_tell_failure)
    return task


def _tell_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error("task failed", extra={"task": task.get_name()}, exc_info=task.exception())
