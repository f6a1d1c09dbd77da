"""End a request that no target served: choose the response that its caller gets."""

from typing import Final

from damsonlane.quarantine import QuarantinedRequest
from damsonlaned.dialects import Refusal
from damsonlaned.gateway._stage_runner import StageError
from damsonlaned.quarantine import describe_quarantined, find_retry_seconds
from damsonlaned.requests._attempt_history import AttemptHistory
from damsonlaned.requests._failed_attempt import FailedAttempt
from damsonlaned.requests._final_response import FinalResponse

#: Least Retry-After of a request that failed at all targets without having run, in seconds.
MIN_RETRY_AFTER_SECONDS: Final = 0.5


class FailureResponder:
    """Ends one request with a response that says whether it may have run.

    Args:
        response: the response to the caller.
        history: attempts of the request so far.
    """

    def __init__(self, response: FinalResponse, history: AttemptHistory) -> None:
        self._response: Final = response
        self._history: Final = history

    def end_failed(self, failure: FailedAttempt, backoff_seconds: float = 0.0) -> None:
        """End a request that may not be retried.

        Args:
            failure: the last attempt.
            backoff_seconds: time until the back-off of one target ends, in seconds.
        """
        if self._response.has_started():
            self._response.abort(failure.detail)
        elif failure.response is not None:
            self._response.send_failure(failure.response)
        elif self._history.may_have_run:
            self._refuse(502, failure.detail)
        else:
            seconds = max(MIN_RETRY_AFTER_SECONDS, backoff_seconds)
            self._refuse(503, failure.detail, retry_after_seconds=seconds)

    def end_backed_off(self, seconds: float) -> None:
        """End a request while all targets back off.

        Args:
            seconds: time until the back-off of one target ends, in seconds.
        """
        detail = "all targets of the service asked for back-off"
        if self._history.may_have_run:
            self._refuse(502, detail)
        else:
            self._refuse(503, detail, retry_after_seconds=seconds)

    def end_unstaged(self, error: StageError) -> None:
        """End a request whose stages failed."""
        if self._history.may_have_run:
            # Its stages were recomputed for a retry, so another target had the request before.
            self._refuse(502, str(error))
        else:
            self._refuse(503, str(error), retry_after_seconds=error.retry_seconds)

    def end_quarantined(self, quarantined: QuarantinedRequest, *, is_under_way: bool) -> None:
        """End a quarantined request.

        Args:
            quarantined: its entry in the quarantine.
            is_under_way: whether a target may have it at this moment.
        """
        if is_under_way:
            self._history.may_have_run = True
        detail = describe_quarantined(quarantined)
        if self._history.may_have_run:
            self._refuse(502, detail)
        else:
            self._refuse(503, detail, retry_after_seconds=find_retry_seconds(quarantined))

    def end_timed_out(self) -> None:
        """End a request that reached its deadline."""
        if self._response.has_started():
            self._response.abort("the deadline came in the middle of the answer")
        elif self._history.attempt_count > 0 or self._history.may_have_run:
            # It was sent, so it may have run.
            self._history.may_have_run = True
            self._refuse(504, "no answer before the deadline")
        else:
            self._refuse(503, "its stages were not made before the deadline")

    def end_stopped(self) -> None:
        """End a request whose entry ends."""
        detail = "this entry ends"
        if self._response.has_started():
            self._response.abort(detail)
        elif self._history.attempt_count > 0 or self._history.may_have_run:
            self._history.may_have_run = True
            self._refuse(504, detail)
        else:
            self._refuse(503, detail, retry_after_seconds=MIN_RETRY_AFTER_SECONDS)

    def _refuse(self, status: int, detail: str, retry_after_seconds: float | None = None) -> None:
        self._response.refuse(
            Refusal(
                status=status,
                detail=detail,
                may_have_run=self._history.may_have_run,
                retry_after_seconds=retry_after_seconds,
            )
        )
