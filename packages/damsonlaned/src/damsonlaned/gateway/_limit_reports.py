"""Telling control which targets named rate limits, so that all boxes hear of it."""

import asyncio
import logging
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.errors import UnavailableError
from damsonlane.ratelimit import RateWord
from damsonlane_rpc import ControlClient, PermitRequest
from damsonlaned.gateway._view import FleetView
from damsonlaned.tasks import start_task

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which what is new is gathered into one call.
GATHER_SECONDS: Final = 0.1
#: Seconds for which telling control may take, over all replicas.
TELL_SECONDS: Final = 2.0
#: Seconds between attempts while control can't be reached.
PAUSE_SECONDS: Final = 0.5


class LimitReports:
    """Tells control, for the services that this entry owns, what targets say of their limits.

    Args:
        view: what targets said, to whichever box.
        client: reaches the leader.
    """

    def __init__(self, view: FleetView, client: ControlClient) -> None:
        self._view: Final = view
        self._client: Final = client
        self._waiting: dict[TargetStart, RateWord] = {}
        self._task: asyncio.Task[None] | None = None
        view.limits.on_news(self._note)

    async def stop(self) -> None:
        """Tell control no more."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _note(self, word: RateWord) -> None:
        record = self._view.find_target(word.named.target)
        if record is None or not self._view.limits.is_owned(record.service):
            return
        self._waiting[word.named] = word
        if self._task is None or self._task.done():
            self._task = start_task(self._tell(), "telling control of rate limits")

    async def _tell(self) -> None:
        while self._waiting:
            await asyncio.sleep(GATHER_SECONDS)
            words = tuple(self._waiting.values())
            try:
                await self._client.ask_permits(PermitRequest(words=words), TELL_SECONDS)
            except UnavailableError as error:
                _LOG.info("rate limits not told", extra={"fault": str(error)})
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            told = {word.named: word for word in words}
            self._waiting = {
                named: word for named, word in self._waiting.items() if told.get(named) is not word
            }
