"""Forecast of the time that a stage takes at present."""

from collections import deque
from typing import Final

from damsonlane.records import dataclass

#: Weight of a sample shorter than the usual time.
WEIGHT_DOWN: Final = 0.2
#: Weight of a longer sample; it is small, since the sample may include queueing.
WEIGHT_UP: Final = 0.004
#: Lower bound of samples, in seconds.
LEAST_SECONDS: Final = 0.0005
#: Weight of a sample in the moving average of the ratio of times to usual times.
RATIO_WEIGHT: Final = 0.2
#: Half-life of the ratio's deviation from 1 while there are no samples, in seconds.
RATIO_HALF_LIFE: Final = 1.0
#: Ratio from which a service counts as queueing.
QUEUEING_RATIO: Final = 1.5
#: Window over which completions are counted, in seconds.
WINDOW_SECONDS: Final = 1.0
#: Largest forecast at admission, as a share of the remaining time.
ADMISSION_SHARE: Final = 0.6
#: Largest forecast before a later stage, as a share of the remaining time.
STAGE_SHARE: Final = 1.0


@dataclass(frozen=True, kw_only=True)
class WorkClass:
    """A class of work whose requests take similar times."""

    #: Organisation of the requests.
    organisation: str
    #: Pipeline of the organisation.
    pipeline: str
    #: Stage of the pipeline.
    stage: str


class ServiceMeter:
    """Measures one service by the requests of this entry only, so that no report can be stale.

    While the service does not queue, the forecast is the usual time.  Once it queues, the
    forecast follows from Little's law: requests in flight divided by completions per second.
    Both are known exactly at any time, so the forecast follows a load peak without the delay of
    measured times.
    """

    def __init__(self) -> None:
        self._usual: dict[WorkClass, float] = {}
        self._mean_usual = 0.0
        self._in_flight = 0
        self._completions: deque[float] = deque()
        self._ratio = 1.0
        self._ratio_at = 0.0

    def begin(self) -> None:
        """Count a request as sent."""
        self._in_flight += 1

    def finish(self, work: WorkClass, now: float, seconds: float | None) -> float:
        """Count a request as completed.

        Args:
            work: class of the request.
            now: the monotonic clock, in seconds.
            seconds: time that the request took, or None if it was not answered.

        Returns:
            The ratio of its time to the present time of its class; 1 if it was not answered.
        """
        self._in_flight = max(0, self._in_flight - 1)
        self._completions.append(now)
        self._remove_old_completions(now)
        if seconds is None:
            return 1.0
        usual = self._update_usual(work, max(LEAST_SECONDS, seconds))
        ratio = self._recent_ratio(now)
        sample = seconds / usual
        self._ratio = ratio + RATIO_WEIGHT * (sample - ratio)
        self._ratio_at = now
        return sample / max(1.0, ratio)

    def predict(self, work: WorkClass, now: float) -> float:
        """Return the predicted seconds of one more request; 0 before the first sample."""
        usual = self._usual.get(work, 0.0)
        ratio = self._recent_ratio(now)
        if self._in_flight == 0 or ratio < QUEUEING_RATIO or not self._completions:
            return usual * max(1.0, ratio)
        self._remove_old_completions(now)
        rate = max(1, len(self._completions)) / WINDOW_SECONDS
        share = usual / self._mean_usual if self._mean_usual else 1.0
        return max(usual, share * (self._in_flight + 1) / rate)

    def _update_usual(self, work: WorkClass, seconds: float) -> float:
        usual = self._usual.get(work, seconds)
        weight = WEIGHT_DOWN if seconds < usual else WEIGHT_UP
        usual += weight * (seconds - usual)
        self._usual[work] = usual
        mean = self._mean_usual or usual
        self._mean_usual = mean + RATIO_WEIGHT * (usual - mean)
        return usual

    def _recent_ratio(self, now: float) -> float:
        decay = float(0.5 ** (max(0.0, now - self._ratio_at) / RATIO_HALF_LIFE))
        return 1.0 + (self._ratio - 1.0) * decay

    def _remove_old_completions(self, now: float) -> None:
        while self._completions and self._completions[0] < now - WINDOW_SECONDS:
            self._completions.popleft()
