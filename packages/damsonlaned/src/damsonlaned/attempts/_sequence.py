"""Runs an attempt at a request, and others beside it while it is silent."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Generic, TypeVar

from damsonlaned.attempts._turn import AttemptTurn
from damsonlaned.tasks import stop_task

Failure = TypeVar("Failure")


class _RunningAttempt(Generic[Failure]):
    """An attempt in a task of its own."""

    def __init__(
        self,
        make: Callable[[AttemptTurn], Awaitable[Failure | None]],
        on_news: Callable[[], None],
        held: AttemptTurn | None = None,
    ) -> None:
        self._make: Final = make
        self._on_news: Final = on_news
        self.turn: Final = AttemptTurn(on_news, held)
        self.task: Final = asyncio.create_task(self._run())

    async def _run(self) -> Failure | None:
        try:
            return await self._make(self.turn)
        finally:
            self.turn.has_ended = True
            # The task is done before whoever awaits the news runs.
            self._on_news()

    async def stop(self) -> None:
        """Cancel the attempt and wait for its end."""
        self.turn.end()
        await stop_task(self.task)
        if not self.task.cancelled():
            # Its outcome does not matter any more.
            self.task.exception()


class AttemptSequence(Generic[Failure]):
    """Runs attempts such that nothing under way is given up before it is replaced.

    A silent attempt is still read while another one is prepared and made beside it.  It ends once
    the target of that one has accepted the request, and goes on if that fails, or if something
    arrives before.

    Args:
        may_replace: returns whether another attempt may be prepared beside a silent one.
        replace: prepares and makes that attempt; returns why it failed, or None.
        record_failure: called with the failure of each attempt but the last one.
    """

    def __init__(
        self,
        may_replace: Callable[[], bool],
        replace: Callable[[AttemptTurn], Awaitable[Failure | None]],
        record_failure: Callable[[Failure], None],
    ) -> None:
        self._may_replace: Final = may_replace
        self._replace: Final = replace
        self._record_failure: Final = record_failure
        self._news: Final = asyncio.Event()
        #: The attempt that may write to the caller.
        self._current: _RunningAttempt[Failure]
        #: The attempt that may replace it.
        self._spare: _RunningAttempt[Failure] | None = None

    async def run(self, make: Callable[[AttemptTurn], Awaitable[Failure | None]]) -> Failure | None:
        """Make an attempt, and others while it is silent; return why the last one failed.

        Args:
            make: makes the first attempt.

        Returns:
            None once the response is complete.
        """
        self._current = _RunningAttempt(make, self._news.set)
        try:
            while not self._has_ended():
                await self._news.wait()
                self._news.clear()
                await self._follow_spare()
                if self._spare is None and self._is_replaceable():
                    held = self._current.turn
                    self._spare = _RunningAttempt(self._replace, self._news.set, held)
            return self._current.task.result()
        finally:
            await self._current.stop()
            if self._spare is not None:
                await self._spare.stop()
                self._spare = None

    def _has_ended(self) -> bool:
        return self._current.task.done() and (self._spare is None or not self._spare.turn.has_taken)

    def _is_replaceable(self) -> bool:
        current = self._current
        return current.turn.is_silent and not current.task.done() and self._may_replace()

    async def _end_current(self) -> None:
        """End an attempt that is replaced; it may have failed just before."""
        current = self._current
        if current.task.done() and (failure := current.task.result()) is not None:
            self._record_failure(failure)
        await current.stop()

    async def _follow_spare(self) -> None:
        """Have a further attempt replace the silent one, or end it."""
        spare = self._spare
        if spare is None:
            return
        if spare.turn.has_replaced:
            await self._end_current()
            self._current, self._spare = spare, None
        elif spare.task.done():
            self._spare = None
            spare.turn.end()
            failure = spare.task.result()
            if failure is not None:
                self._record_failure(failure)
        elif not spare.turn.has_taken:
            if not self._current.turn.is_silent:
                await self._stop_spare(spare)
        elif self._current.turn.has_spoken:
            spare.turn.withdraw()
            await self._stop_spare(spare)
        elif spare.turn.is_silent:
            before = self._current.turn.progress_count
            spare.turn.give_up()
            await self._stop_spare(spare)
            # The silent attempt goes on as soon as the other one has ended.
            if self._current.turn.progress_count == before:
                self._current.turn.report_silent()

    async def _stop_spare(self, spare: _RunningAttempt[Failure]) -> None:
        self._spare = None
        await spare.stop()
