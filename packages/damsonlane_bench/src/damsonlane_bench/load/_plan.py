"""What the load tool sends: classes of requests and a rate with a step."""

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
    #: Organisation's token.
    token: str
    #: Pipeline asked for.
    pipeline: str
    #: Length of the text, in characters.
    length: int
    #: Milliseconds that the caller gives it.
    deadline_ms: int
    #: Whether it must run at most once.
    is_marked: bool = False


@dataclass(frozen=True, kw_only=True)
class Wave:
    """Rates over time: calm, then a step at the fixed start, then calm again."""

    #: Requests a second before and after.
    calm_rate: float
    #: Requests a second in the wave.
    wave_rate: float
    #: Seconds of calm before.
    before: float
    #: Seconds of the wave.
    during: float
    #: Seconds of calm after.
    after: float

    def rate_at(self, seconds: float) -> float:
        """Return the rate at a moment."""
        in_wave = self.before <= seconds < self.before + self.during
        return self.wave_rate if in_wave else self.calm_rate

    def length(self) -> float:
        """Return the length of all three parts, in seconds."""
        return self.before + self.during + self.after


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request to be sent at a moment."""

    #: Seconds from the start.
    at: float
    #: Its class.
    request_class: RequestClass
    #: Its number.
    number: int


def plan_arrivals(wave: Wave, classes: Sequence[RequestClass], seed: int) -> tuple[Arrival, ...]:
    """Return Poisson arrivals with the wave's rates; the same seed gives the same ones."""
    randomness = random.Random(seed)
    highest = max(wave.calm_rate, wave.wave_rate)
    shares = [request_class.share for request_class in classes]
    arrivals: list[Arrival] = []
    at = 0.0
    while (at := at + randomness.expovariate(highest)) < wave.length():
        # Thinning: a candidate at the highest rate is kept with the share of the moment's rate.
        if randomness.random() * highest < wave.rate_at(at):
            request_class = randomness.choices(list(classes), shares)[0]
            arrivals.append(Arrival(at=at, request_class=request_class, number=len(arrivals)))
    return tuple(arrivals)
