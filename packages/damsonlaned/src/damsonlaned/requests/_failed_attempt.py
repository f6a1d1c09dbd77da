"""The outcome of an attempt that produced no response for the caller."""

from damsonlane.records import dataclass
from damsonlaned.dialects import PROMISE_STATUSES, ResponseSignals
from damsonlaned.http import HttpResponse
from damsonlaned.relay import RelayFailure


@dataclass(frozen=True, kw_only=True)
class FailedAttempt:
    """An attempt that produced no response for the caller."""

    #: What went wrong.
    detail: str
    #: Whether the request may have run at the target.
    may_have_run: bool
    #: The target's own failure response, or None.
    response: HttpResponse | None = None
    #: Whether its stage results must be recomputed.
    needs_inputs: bool = False
    #: Whether the target rejected it and announced a back-off or a rate limit.
    is_throttled: bool = False
    #: Whether the request was sent.  Retries of others load no target more than once.
    was_sent: bool = True
    #: Whether the response was lost since its connection broke: the target may have exited.
    is_lost: bool = False
    #: Whether there was no target to send it to.
    has_no_target: bool = False
    #: Seconds after which the caller should come back; 0 where that is not known.
    return_seconds: float = 0.0


def find_failure(
    signals: ResponseSignals,
    response: HttpResponse,
    *,
    has_started: bool,
    runs_once: bool,
) -> FailedAttempt | None:
    """Return why a whole response is not passed to the caller, or None if it is.

    Args:
        signals: signals of the target in its head.
        response: the response.
        has_started: whether the caller has a part of another response.
        runs_once: whether the request must run once, so that its caller repeats it only after a
            promise.
    """
    if signals.has_not_run:
        return FailedAttempt(
            detail=f"the target turned it away with {response.status}",
            may_have_run=False,
            needs_inputs=response.status == 409,
            is_throttled=signals.is_announced_rejection(),
        )
    if runs_once and response.status in PROMISE_STATUSES:
        return FailedAttempt(
            detail=f"the target answered {response.status}, but not that it has not run",
            may_have_run=True,
        )
    if response.status >= 500 or has_started:
        return FailedAttempt(
            detail=f"the target failed with {response.status}",
            may_have_run=True,
            response=response,
        )
    return None


def make_relay_failure(failure: RelayFailure) -> FailedAttempt:
    """Return the failed attempt of a request that no other entry served."""
    return FailedAttempt(
        detail=failure.detail,
        may_have_run=failure.may_have_run,
        has_no_target=not failure.may_have_run,
    )
