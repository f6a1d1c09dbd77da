"""Behaviour of a stand-in, which tests change at run time."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, kw_only=True)
class Behaviour:
    """How a stand-in handles requests, with the faults that it injects."""

    #: Fixed duration of a request, in seconds.
    seconds: float = 0.005
    #: Additional seconds for each thousand characters of input.
    seconds_per_thousand: float = 0.001
    #: Requests that run at the same time; others wait for a slot.
    slots: int = 4
    #: Seconds between tokens of an engine.
    token_seconds: float = 0.001
    #: Every n-th request fails after it ran; 0 for none, as below.
    fail_every: int = 0
    #: Every n-th response is truncated.
    truncate_every: int = 0
    #: Every n-th response has the id of another request.
    cross_every: int = 0
    #: Every n-th request runs and then drops the connection without a response.
    hang_up_every: int = 0
    #: Whether every request is rejected without running.
    is_refusing: bool = False
    #: Whether the stand-in is draining: it rejects every request and announces that.
    is_leaving: bool = False

    def with_fields(self, **fields: object) -> "Behaviour":
        """Return a copy with some fields changed."""
        return replace(self, **fields)  # type: ignore[arg-type]


def is_nth(every: int, count: int) -> bool:
    """Return whether ``count`` is a multiple of ``every``; never if ``every`` is 0."""
    return every > 0 and count % every == 0
