"""Usual duration of each class of work at the targets of one service."""

import math
from collections import OrderedDict
from typing import Final

#: Change of the logarithm of the usual duration by each sample.
STEP: Final = 0.03
#: Maximum number of classes; the least recently used are forgotten.
MAX_CLASSES: Final = 256


class WorkBaselines:
    """Tracks the median duration of each class of work.

    Samples are divided by what is known of their target, so that the median does not depend on
    which targets get most of the work.
    """

    def __init__(self) -> None:
        self._logs: OrderedDict[str, float] = OrderedDict()

    def record(self, work: str, seconds: float, factor: float) -> float | None:
        """Record a duration and return it as a multiple of the usual one.

        Args:
            work: the class of work.
            seconds: the duration.
            factor: factor by which such work usually takes longer at the target that did it.

        Returns:
            The ratio to the usual duration before this sample; None for an implausible duration
            and for the first sample of a class.
        """
        if not math.isfinite(seconds) or seconds <= 0 or factor <= 0:
            return None
        known = self._logs.get(work)
        sample = math.log(seconds / factor)
        if known is None:
            self._logs[work] = sample
        else:
            self._logs[work] = known + (STEP if sample > known else -STEP)
        self._logs.move_to_end(work)
        if len(self._logs) > MAX_CLASSES:
            self._logs.popitem(last=False)
        return None if known is None else seconds / math.exp(known)
