"""Ending a request that no target served: which answer the caller gets of us."""

from typing import Final

from damsonlane.quarantine import HeldRequest
from damsonlaned.dialects import Refusal
from damsonlaned.gateway._attempt_history import Tries
from damsonlaned.gateway._failed_attempt import Unserved
from damsonlaned.gateway._final_response import FinalAnswer
from damsonlaned.gateway._stages import StageError
from damsonlaned.quarantine import find_retry_seconds

#: Seconds after which a caller that met a full service should come back.
FULL_RETRY_SECONDS: Final = 0.5


class Endings:
    """Ends one request truly: the answer says whether it may have run.

    Args:
        answer: what the caller gets.
        tries: what the request has been through at targets.
    """

    def __init__(self, answer: FinalAnswer, tries: Tries) -> None:
        self._answer: Final = answer
        self._tries: Final = tries

    def end_unserved(self, unserved: Unserved, away_seconds: float = 0.0) -> None:
        """End a request that no further target may get.

        Args:
            unserved: why the last one did not serve it.
            away_seconds: for how long all targets want nothing.
        """
        if self._answer.has_begun():
            self._answer.cut(unserved.detail)
        elif unserved.response is not None:
            self._answer.send_failure(unserved.response)
        elif self._tries.may_have_run:
            self._refuse(502, unserved.detail)
        else:
            seconds = max(FULL_RETRY_SECONDS, away_seconds)
            self._refuse(503, unserved.detail, retry_after_seconds=seconds)

    def end_away(self, seconds: float) -> None:
        """End a request while all targets want nothing for some seconds."""
        detail = "all targets of the service asked for back-off"
        if self._tries.may_have_run:
            self._refuse(502, detail)
        else:
            self._refuse(503, detail, retry_after_seconds=seconds)

    def end_unstaged(self, error: StageError) -> None:
        """End a request whose stages were not made."""
        if self._tries.may_have_run:
            # Its stages were made again for another target, so one had it before.
            self._refuse(502, str(error))
        else:
            self._refuse(503, str(error), retry_after_seconds=error.retry_seconds)

    def end_held(self, held: HeldRequest, *, is_under_way: bool) -> None:
        """End a request that is kept from targets, since some ended under it.

        Args:
            held: what is known of it.
            is_under_way: whether a target may have it at this moment.
        """
        if is_under_way:
            self._tries.may_have_run = True
        detail = f"{held.ends} targets ended while they had this request"
        if self._tries.may_have_run:
            self._refuse(502, detail)
        else:
            self._refuse(503, detail, retry_after_seconds=find_retry_seconds(held))

    def end_late(self) -> None:
        """End a request whose deadline has come."""
        if self._answer.has_begun():
            self._answer.cut("the deadline came in the middle of the answer")
        elif self._tries.offers > 0:
            # Sent and not answered means that it may have run.
            self._tries.may_have_run = True
            self._refuse(504, "no answer before the deadline")
        else:
            self._refuse(503, "its stages were not made before the deadline")

    def _refuse(self, status: int, detail: str, retry_after_seconds: float | None = None) -> None:
        self._answer.refuse(
            Refusal(
                status=status,
                detail=detail,
                may_have_run=self._tries.may_have_run,
                retry_after_seconds=retry_after_seconds,
            )
        )
