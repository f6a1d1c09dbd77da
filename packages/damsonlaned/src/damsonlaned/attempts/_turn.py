"""One attempt at a request, as part of a sequence of attempts."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import Final


def _do_nothing() -> None:
    """Ignore an event."""


class AttemptTurn:
    """Tells when an attempt is silent, and decides whether it may write to the caller.

    Args:
        on_news: called when something of the attempt has changed.
        held: the silent attempt that this one may replace; None where there is none.
    """

    def __init__(self, on_news: Callable[[], None], held: "AttemptTurn | None" = None) -> None:
        self._on_news: Final = on_news
        self._held: Final = held
        self._may_write: Final = asyncio.Event()
        self._may_write.set()
        #: Whether a silence was recorded.
        self._is_silence_recorded = False
        self._silence_timer: asyncio.TimerHandle
        #: Whether nothing has arrived for too long.
        self.is_silent = False
        #: Number of times that something has arrived.
        self.progress_count = 0
        #: Whether something has arrived while another attempt was about to replace this one.
        self.has_spoken = False
        #: Whether the silent attempt writes nothing, since this one is about to be sent.
        self.has_taken = False
        #: Whether the silent attempt is given up for this one.
        self.has_replaced = False
        #: Whether this attempt has ended.
        self.has_ended = False
        #: Whether this attempt is given up for another one.
        self.is_given_up = False
        #: Called when this silent attempt is given up for another one.
        self.on_given_up: Callable[[], None] = _do_nothing
        #: Called when this attempt is given up since the one that it was to replace goes on.
        self.on_withdrawn: Callable[[], None] = _do_nothing
        #: Called when this attempt goes on after another one has failed to replace it.
        self.on_resumed: Callable[[], None] = _do_nothing

    @property
    def is_replacement(self) -> bool:
        """Whether the attempt is to replace a silent one."""
        return self._held is not None

    # The attempt waits for its target.

    @contextlib.contextmanager
    def expect(
        self, find_seconds: Callable[[], float], on_silent: Callable[[], None] = _do_nothing
    ) -> Iterator[None]:
        """Report a silence each time that nothing arrives for some seconds in this context.

        Args:
            find_seconds: returns the seconds.
            on_silent: called at the first silence.
        """
        self._wait_once(find_seconds, on_silent)
        try:
            yield
            self._record_progress()
        finally:
            self._silence_timer.cancel()

    def _wait_once(self, find_seconds: Callable[[], float], on_silent: Callable[[], None]) -> None:
        self._silence_timer = asyncio.get_running_loop().call_later(
            find_seconds(), self._expire, find_seconds, on_silent
        )

    def _expire(self, find_seconds: Callable[[], float], on_silent: Callable[[], None]) -> None:
        self._wait_once(find_seconds, on_silent)
        if not self._is_silence_recorded:
            self._is_silence_recorded = True
            on_silent()
        self.report_silent()

    def report_silent(self) -> None:
        """Report that nothing has arrived, so that another attempt may replace this one."""
        self.is_silent = True
        self._on_news()

    def _record_progress(self) -> None:
        self.progress_count += 1
        if not self._may_write.is_set():
            self.has_spoken = True
            self._on_news()
        elif self.is_silent:
            self.is_silent = False
            self._on_news()

    async def wait(self) -> None:
        """Wait until the attempt may write to the caller: not while another one is being sent."""
        await self._may_write.wait()

    # The attempt replaces a silent one.

    def take(self) -> bool:
        """Stop the silent attempt from writing, before the request is sent again.

        Returns:
            Whether the request may be sent: not if the other attempt is not silent any more.
        """
        if self._held is None:
            return True
        if not self._held.is_silent:
            return False
        self.has_taken = True
        self._held._may_write.clear()
        return True

    def replace(self) -> None:
        """Give up the silent attempt, since the target of this one has accepted the request."""
        if self._held is None or self.has_replaced or self.is_given_up or not self.has_taken:
            return
        self.has_replaced = True
        if not self._held.has_ended:
            self._held.give_up()
        self._on_news()

    def give_up(self) -> None:
        """Give up this attempt, which is silent."""
        self.is_given_up = True
        self.on_given_up()

    def withdraw(self) -> None:
        """Give up this attempt, since the one that it was to replace goes on."""
        self.is_given_up = True
        self.on_withdrawn()

    def end(self) -> None:
        """Let the silent attempt go on, unless it is given up already."""
        if self._held is not None and not self.has_replaced:
            self._held._resume(was_taken=self.has_taken)

    def _resume(self, *, was_taken: bool) -> None:
        self.is_silent = False
        self.has_spoken = False
        if was_taken and not self.has_ended:
            self.on_resumed()
        self._may_write.set()
