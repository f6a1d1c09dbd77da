"""What one start of a target last said of its rate limit."""

from dataclasses import dataclass

from damsonlane.backoff import TargetStart


@dataclass(frozen=True, kw_only=True)
class RateWord:
    """What a target said, as one box tells another."""

    #: The start that said it.
    named: TargetStart
    #: Requests a second that it takes from all boxes together; None where it names no limit.
    rate: float | None
    #: Seconds since it said so.
    age: float = 0.0
