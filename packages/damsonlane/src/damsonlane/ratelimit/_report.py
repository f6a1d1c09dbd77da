"""The rate limit that one incarnation of a target last announced."""

from damsonlane.backoff import TargetIncarnation
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class RateLimitReport:
    """The limit that a target announced, as one box reports it to another."""

    #: The incarnation that announced it.
    named: TargetIncarnation
    #: Requests a second that it accepts from all boxes together; None where it announces no
    #: limit.
    rate: float | None
    #: Seconds since the target announced it.
    age: float = 0.0
