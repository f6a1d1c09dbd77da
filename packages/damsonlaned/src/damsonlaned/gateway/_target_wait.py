"""Waiting for a target that takes a request, or ending the request while none does."""

import asyncio
from typing import Final

from damsonlaned.gateway._attempt_history import Tries
from damsonlaned.gateway._attempts import Attempts
from damsonlaned.gateway._call import Call
from damsonlaned.gateway._failed_attempt import Unserved
from damsonlaned.gateway._failure_responder import Endings
from damsonlaned.gateway._final_response import FinalAnswer
from damsonlaned.gateway._limited_places import LEAST_PAUSE_SECONDS, NoPlace
from damsonlaned.gateway._stage_work import StageResults
from damsonlaned.gateway._stages import StageRunner
from damsonlaned.gateway._targets import Chosen


class TargetWait:
    """Looks, for one request, for targets that take it.

    Its caller hears at once when no target does, and when one will again.  What has been made
    for it already is kept for that time if it is in time then.

    Args:
        call: the request.
        attempts: knows the targets.
        stages: makes its stages.
        tries: what it has been through.
        answer: what its caller has of it.
        endings: ends it.
    """

    def __init__(
        self,
        call: Call,
        attempts: Attempts,
        stages: StageRunner,
        tries: Tries,
        answer: FinalAnswer,
        endings: Endings,
    ) -> None:
        self._call: Final = call
        self._attempts: Final = attempts
        self._stages: Final = stages
        self._tries: Final = tries
        self._answer: Final = answer
        self._endings: Final = endings

    async def ends_request(self, made: StageResults | None) -> bool:
        """End the request if it should not be sent or begun now; tell whether it ended.

        Args:
            made: the results of its stages; None where they are not made yet.
        """
        return await self._end_away(made) or await self._end_full(made)

    async def find_place(self, made: StageResults) -> Chosen | NoPlace:
        """Choose a target, and wait for one where that is worth it."""
        while True:
            chosen = await self._attempts.choose(self._call, self._tries.tried, made.places)
            if not isinstance(chosen, NoPlace) or chosen.wait_seconds <= 0:
                return chosen
            if not self._has_work(made) or chosen.wait_seconds >= self._seconds_to_wait():
                return chosen
            await asyncio.sleep(max(LEAST_PAUSE_SECONDS, chosen.wait_seconds))

    async def _end_away(self, made: StageResults | None) -> bool:
        """End a request whose targets all want nothing for a while."""
        away = self._attempts.find_return_seconds(self._call)
        # The time of its stages is reckoned only where it matters: it takes longer than the rest.
        if away <= 0 or away <= self._seconds_ahead(made):
            return False
        if self._has_work(made) and away < self._seconds_to_wait():
            await asyncio.sleep(away)
            return False
        self._endings.end_away(away)
        return True

    async def _end_full(self, made: StageResults | None) -> bool:
        """End a request that should not begin, since its targets have what they take.

        Its stages would be made in vain.
        """
        is_begun = made is not None or self._answer.has_begun()
        if is_begun or not self._stages.has_work(self._call):
            return False
        full = await self._attempts.find_begin_wait(self._call)
        if full is None:
            return False
        self._endings.end_unserved(describe_nowhere(full), full.return_seconds)
        return True

    def _seconds_ahead(self, made: StageResults | None) -> float:
        """Return the time that passes before the request goes to a target: that of its stages."""
        return 0.0 if made is not None else self._stages.expect_seconds(self._call)

    def _has_work(self, made: StageResults | None) -> bool:
        """Tell whether something was made for the request that would be lost with it."""
        return (made is not None and bool(made.inputs)) or self._answer.has_begun()

    def _seconds_to_wait(self) -> float:
        """Return how long targets may be away while what was made is kept for them."""
        if self._answer.has_begun():
            return self._call.remaining()
        return self._call.aim_at - asyncio.get_running_loop().time()


def describe_nowhere(place: NoPlace) -> Unserved:
    """Return what an attempt without a target says."""
    return Unserved(
        detail=place.detail,
        may_have_run=False,
        is_nowhere=True,
        return_seconds=place.return_seconds,
    )
