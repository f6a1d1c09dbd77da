"""How long a stage will probably take at this moment."""

from collections import deque
from dataclasses import dataclass
from typing import Final

#: Weight of a sample that is shorter than the usual time.
WEIGHT_DOWN: Final = 0.2
#: Weight of a longer one: it may have waited, so it says little of the work itself.
WEIGHT_UP: Final = 0.004
#: Shortest usual time, in seconds.
LEAST_SECONDS: Final = 0.0005
#: Weight of a sample in the recent ratio of times to usual times.
RATIO_WEIGHT: Final = 0.2
#: Seconds in which an unused ratio goes half way back to 1.
RATIO_HALF_LIFE: Final = 1.0
#: Ratio from which on a service counts as queueing.
QUEUEING_RATIO: Final = 1.5
#: Seconds over which endings are counted.
WINDOW_SECONDS: Final = 1.0
#: Share of the remaining time that a forecast may fill at admission.
ADMISSION_SHARE: Final = 0.6
#: Share of the remaining time that a forecast may fill before a later stage.
STAGE_SHARE: Final = 1.0


@dataclass(frozen=True, kw_only=True)
class Work:
    """One kind of work, whose times resemble each other."""

    #: Organisation that asks.
    organisation: str
    #: Its pipeline.
    pipeline: str
    #: Stage of the pipeline.
    stage: str


class ServiceMeter:
    """What one entry sees of one service: its own requests only, never a stale report.

    While times are near the usual ones they are the forecast.  Once the
    service queues, Little's law is: requests in flight divided by endings a
    second.  Each side of it is exact at any moment, so the forecast follows a
    wave without the delay that times themselves have.
    """

    def __init__(self) -> None:
        self._usual: dict[Work, float] = {}
        self._mean_usual = 0.0
        self._in_flight = 0
        self._endings: deque[float] = deque()
        self._ratio = 1.0
        self._ratio_at = 0.0

    def begin(self) -> None:
        """Count a request as sent."""
        self._in_flight += 1

    def finish(self, work: Work, now: float, seconds: float | None) -> float:
        """Count a request as ended.

        Args:
            work: the kind of work.
            now: the clock, in seconds.
            seconds: time it took, or None if it was not answered.

        Returns:
            The time as a multiple of what such work takes at present; 1 if it
            was not answered.
        """
        self._in_flight = max(0, self._in_flight - 1)
        self._endings.append(now)
        self._forget_endings(now)
        if seconds is None:
            return 1.0
        usual = self._learn(work, max(LEAST_SECONDS, seconds))
        ratio = self._recent_ratio(now)
        sample = seconds / usual
        self._ratio = ratio + RATIO_WEIGHT * (sample - ratio)
        self._ratio_at = now
        return sample / max(1.0, ratio)

    def predict(self, work: Work, now: float) -> float:
        """Return the predicted seconds of one more request; 0 while nothing is known."""
        usual = self._usual.get(work, 0.0)
        ratio = self._recent_ratio(now)
        if self._in_flight == 0 or ratio < QUEUEING_RATIO or not self._endings:
            return usual * max(1.0, ratio)
        self._forget_endings(now)
        rate = max(1, len(self._endings)) / WINDOW_SECONDS
        share = usual / self._mean_usual if self._mean_usual else 1.0
        return max(usual, share * (self._in_flight + 1) / rate)

    def _learn(self, work: Work, seconds: float) -> float:
        usual = self._usual.get(work, seconds)
        weight = WEIGHT_DOWN if seconds < usual else WEIGHT_UP
        usual += weight * (seconds - usual)
        self._usual[work] = usual
        mean = self._mean_usual or usual
        self._mean_usual = mean + RATIO_WEIGHT * (usual - mean)
        return usual

    def _recent_ratio(self, now: float) -> float:
        fading = float(0.5 ** (max(0.0, now - self._ratio_at) / RATIO_HALF_LIFE))
        return 1.0 + (self._ratio - 1.0) * fading

    def _forget_endings(self, now: float) -> None:
        while self._endings and self._endings[0] < now - WINDOW_SECONDS:
            self._endings.popleft()
