"""Forecast of the duration of an answer, by route and by output tokens.

The duration of a stream counts from its first event to its end; that of another answer counts from
sending the request.
"""

import math
from dataclasses import dataclass, field
from typing import Final

#: Share of answers that are shorter than their forecast, unless told otherwise.  A refusal for a
#: forecast that is too long loses the request, while a forecast that is too short only wastes work,
#: so it is low.
QUANTILE: Final = 0.2
#: Durations from which a forecast is first made.
MIN_SAMPLES: Final = 8
#: Limit of the relative change of a forecast by one duration.
STEP: Final = 0.1
#: Time without a duration after which a forecast is halved, in seconds.  Requests that are refused
#: add no durations, so a forecast that refuses all requests must end by itself.
HALF_LIFE_SECONDS: Final = 10.0
#: Routes whose durations are remembered; the one that was used least recently is forgotten.
MAX_ROUTES: Final = 512
#: Output tokens up to which requests are told apart.  Callers may announce any number, which
#: floating-point numbers can't hold.
MAX_TOKENS: Final = 2**32


@dataclass(kw_only=True)
class _Estimate:
    """The forecast for one range of output tokens; mutable."""

    #: Share of answers that are shorter than the forecast.
    quantile: float
    #: Time without a duration after which the forecast is halved, in seconds.
    half_life_seconds: float
    #: Seconds per token.
    pace: float = 0.0
    updated_at: float = 0.0
    #: The first durations, until there are enough for a forecast.
    first_paces: list[float] = field(default_factory=list)

    def is_learned(self) -> bool:
        """Return whether there were enough durations for a forecast."""
        return len(self.first_paces) >= MIN_SAMPLES

    def record(self, pace: float, now: float) -> None:
        """Record the duration of an answer, in seconds per token."""
        self.updated_at = now
        if not self.is_learned():
            self.first_paces.append(pace)
            self.pace = sorted(self.first_paces)[int(self.quantile * len(self.first_paces))]
            return
        # At the quantile, steps up and down cancel out.
        is_longer = pace > self.pace
        self.pace *= 1 + STEP * self.quantile if is_longer else 1 - STEP * (1 - self.quantile)

    def find_pace(self, now: float) -> float:
        """Return the forecast, in seconds per token."""
        age = max(0.0, now - self.updated_at)
        return self.pace * float(0.5 ** (age / self.half_life_seconds))


class AnswerDurations:
    """Durations of recent answers of one box, by route and by ranges of output tokens.

    The state is lost with its process.  Until a route has had `MIN_SAMPLES` answers again, its
    requests have no forecast.

    Args:
        quantile: share of answers that are shorter than their forecast.
        half_life_seconds: time without a duration after which a forecast is halved, in seconds.
    """

    def __init__(
        self, quantile: float = QUANTILE, half_life_seconds: float = HALF_LIFE_SECONDS
    ) -> None:
        self._quantile: Final = quantile
        self._half_life_seconds: Final = half_life_seconds
        self._routes: dict[str, dict[int, _Estimate]] = {}

    def record(self, route: str, tokens: int, seconds: float, now: float) -> None:
        """Record the duration of a complete answer.

        Args:
            route: name of the route.
            tokens: output tokens that the request allowed; 0 if unknown.
            seconds: duration of the answer; implausible ones are ignored.
            now: the monotonic clock, in seconds.
        """
        if not math.isfinite(seconds) or seconds < 0:
            return
        estimates = self._routes.pop(route, {})
        self._routes[route] = estimates
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
        estimate = estimates.setdefault(
            _find_range(tokens),
            _Estimate(quantile=self._quantile, half_life_seconds=self._half_life_seconds),
        )
        estimate.record(seconds / _clamp(tokens), now)

    def find_seconds(self, route: str, tokens: int, now: float) -> float | None:
        """Return the forecast duration of an answer, or None while nothing is learned.

        A range of output tokens without a forecast has that of the shortest answer in the next
        lower range, since an answer that may be longer is not shorter.

        Args:
            route: name of the route.
            tokens: output tokens that the request allows; 0 if unknown.
            now: the monotonic clock, in seconds.
        """
        own = _find_range(tokens)
        learned = {
            index: estimate
            for index, estimate in self._routes.get(route, {}).items()
            if index <= own and estimate.is_learned()
        }
        if not learned:
            return None
        index = max(learned)
        least_tokens = tokens if index == own else 2 ** (index - 1)
        return learned[index].find_pace(now) * _clamp(least_tokens)


def _find_range(tokens: int) -> int:
    """Return the index of a range of output tokens, each twice as wide as the one before."""
    return min(max(0, tokens), MAX_TOKENS).bit_length()


def _clamp(tokens: float) -> float:
    """Return the output tokens by which the duration of an answer is divided."""
    return min(max(1, tokens), MAX_TOKENS)
