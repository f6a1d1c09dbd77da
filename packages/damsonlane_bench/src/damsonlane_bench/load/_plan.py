"""Plan of the load: classes of requests, and arrivals at a rate with a peak."""

import random
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class RequestClass:
    """One class of requests."""

    #: Its name in reports.
    name: str
    #: Share of all requests.
    share: float
    #: Token of the organisation that sends them.
    token: str
    #: Pipeline that they are sent to.
    pipeline: str
    #: Length of the input, in characters.
    length: int
    #: Deadline, in milliseconds.
    deadline_ms: int
    #: Whether they must run at most once.
    is_at_most_once: bool = False


@dataclass(frozen=True, kw_only=True)
class LoadProfile:
    """Request rate over time: the base rate, then the peak rate, then the base rate again."""

    #: Requests per second before and after the peak.
    base_rate: float
    #: Requests per second in the peak.
    peak_rate: float
    #: Seconds before the peak.
    before: float
    #: Seconds of the peak.
    during: float
    #: Seconds after the peak.
    after: float

    def rate_at(self, seconds: float) -> float:
        """Return the requests per second at a time since the start."""
        is_peak = self.before <= seconds < self.before + self.during
        return self.peak_rate if is_peak else self.base_rate

    def length(self) -> float:
        """Return the duration of all three phases, in seconds."""
        return self.before + self.during + self.after


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One planned request."""

    #: When it is sent, in seconds since the start.
    at: float
    #: Its class.
    request_class: RequestClass
    #: Its number, from 0 in order of time.
    number: int


def plan_arrivals(
    profile: LoadProfile, classes: Sequence[RequestClass], seed: int
) -> tuple[Arrival, ...]:
    """Return arrivals of a Poisson process with the rates of a profile, drawn with a seed."""
    randomness = random.Random(seed)
    highest = max(profile.base_rate, profile.peak_rate)
    shares = [request_class.share for request_class in classes]
    arrivals: list[Arrival] = []
    at = 0.0
    while (at := at + randomness.expovariate(highest)) < profile.length():
        # Thinning: candidates arrive at the highest rate and are accepted in proportion to the rate
        # at their time.
        if randomness.random() * highest < profile.rate_at(at):
            request_class = randomness.choices(list(classes), shares)[0]
            arrivals.append(Arrival(at=at, request_class=request_class, number=len(arrivals)))
    return tuple(arrivals)
