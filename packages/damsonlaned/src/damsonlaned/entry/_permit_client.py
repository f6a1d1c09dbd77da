"""Permits for requests to limited targets, as the callers' threads ask control for them."""

import asyncio
import concurrent.futures
import logging
from typing import Final

from damsonlane.errors import UnavailableError
from damsonlane.ratelimit import Permit, RateWord
from damsonlane_rpc import ControlClient, PermitRequest
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which a thread waits for control; a leader answers from memory.
ANSWER_SECONDS: Final = 0.2
#: Seconds for which telling control may take, over all replicas.
TELL_SECONDS: Final = 2.0


class ThreadPermits:
    """Carries orders of callers' threads to the loop of the process.

    Args:
        client: used on the running loop.
    """

    def __init__(self, client: ControlClient) -> None:
        self._client: Final = client
        self._loop: Final = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def tell(self, word: RateWord) -> None:
        """Have control told what a target said."""
        self._loop.call_soon_threadsafe(self._start_telling, word)

    def ask(self, request: PermitRequest) -> tuple[Permit, ...] | None:
        """Return the permits that control issues, or None where it does not answer in time."""
        call = self._client.ask_permits(request, ANSWER_SECONDS)
        future = asyncio.run_coroutine_threadsafe(call, self._loop)
        try:
            return future.result(2 * ANSWER_SECONDS)
        except (UnavailableError, concurrent.futures.TimeoutError) as error:
            fields = {"service": request.service, "fault": str(error) or type(error).__name__}
            _LOG.warning("no permit in time", extra=fields)
            return None

    def _start_telling(self, word: RateWord) -> None:
        task = start_task(self._tell(word), "telling control of a rate limit")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell(self, word: RateWord) -> None:
        try:
            await self._client.ask_permits(PermitRequest(words=(word,)), TELL_SECONDS)
        except UnavailableError as error:
            # The next order tells it as well, and the next answer that says so.
            _LOG.info("rate limit not told", extra={"fault": str(error)})
