"""How long each kind of work usually takes, whichever target runs it."""

from typing import Final

#: Weight of a new sample in the usual time.
WEIGHT: Final = 0.05
#: Shortest usual time, in seconds.
LEAST_SECONDS: Final = 0.0005


class Paces:
    """Usual times by kind of work, as moving averages."""

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}

    def measure(self, work: str, seconds: float) -> float:
        """Take a sample and return it as a multiple of the usual time before it."""
        usual = max(LEAST_SECONDS, self._usual.get(work, seconds))
        self._usual[work] = usual + WEIGHT * (seconds - usual)
        return seconds / usual
