"""Permits to send requests to targets that announced rate limits."""

from damsonlane.backoff import TargetIncarnation
from damsonlane.ratelimit._report import RateLimitReport
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class PermitRequest:
    """A box's request for a permit to send one request to one of several targets."""

    #: Chosen by the sender; repeated in the permit.
    number: int
    #: Targets that could get the request, in order of preference.
    targets: tuple[TargetIncarnation, ...]
    #: Whether no other target could get it, so that without a permit the caller is refused.
    is_last: bool = False
    #: Whether this asks for admission of a request that is sent later, once its stages are
    #: computed.
    is_beginning: bool = False


@dataclass(frozen=True, kw_only=True)
class Permit:
    """The answer to a permit request: what a box may send."""

    #: Number of the request.
    number: int
    #: Name of the target that may get the request now; empty for none.
    target: str = ""
    #: Whether a request that asked for admission is admitted.
    may_begin: bool = False
    #: Seconds until one of the targets may get a request.
    wait_seconds: float = 0.0
    #: Seconds after which the caller should retry, if it is refused.
    return_seconds: float = 0.0
    #: What the owner knows of the target's limit.
    words: tuple[RateLimitReport, ...] = ()
