"""The outcome of an attempt that produced no response for the caller."""

from typing import Literal

from damsonlane.records import dataclass
from damsonlaned.http import HttpResponse

#: How a response was lost: its connection broke, or it timed out.
Loss = Literal["broken", "silent"]


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
    #: How the response was lost, if the target may have exited under the request.
    loss: Loss | None = None
    #: Whether there was no target to send it to.
    has_no_target: bool = False
    #: Seconds after which the caller should come back; 0 where that is not known.
    return_seconds: float = 0.0
