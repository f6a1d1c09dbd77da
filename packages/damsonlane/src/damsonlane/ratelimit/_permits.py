"""Asking for permits to send requests to targets that named rate limits."""

from dataclasses import dataclass

from damsonlane.backoff import TargetStart
from damsonlane.ratelimit._report import RateWord


@dataclass(frozen=True, kw_only=True)
class PermitOrder:
    """A box asks to send one request to one of some targets."""

    #: Chosen by the sender; the permit carries it back.
    number: int
    #: Targets that could get the request, the best one first.
    targets: tuple[TargetStart, ...]
    #: Whether no other target could get it, so that its caller is refused without a permit.
    is_last: bool = False
    #: Whether the request only begins now and is sent later: it is asked whether it should
    #: begin, since so many may as are sent in the end.
    is_beginning: bool = False


@dataclass(frozen=True, kw_only=True)
class Permit:
    """What a box may send."""

    #: Number of the order.
    number: int
    #: Name of the target that may get the request now; empty for none.
    target: str = ""
    #: Whether a request that only begins may do so.
    may_begin: bool = False
    #: Seconds until one of the targets may get a request.
    wait_seconds: float = 0.0
    #: Seconds after which the caller should come back, if it is refused.
    return_seconds: float = 0.0
    #: What the owner knows of the target, if it is newer there.
    words: tuple[RateWord, ...] = ()
