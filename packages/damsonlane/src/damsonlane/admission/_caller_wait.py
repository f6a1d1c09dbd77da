"""Estimates how long a caller had waited before its request arrived.

The latency objective of a retried request counts from its first attempt, so a retry with a new
id is late from the start.  Treated as a new request, it would displace one that can still be in
time.  Callers do not report earlier attempts, but the deadline of a retry is shorter than the
usual deadline on its route by the time since the first attempt.
"""

from collections import Counter, deque
from typing import Final

#: Number of recent deadlines considered per route: those of a second at one entry under high load,
#: so that a changed deadline is learned soon.
WINDOW_SIZE: Final = 64
#: Resolution at which deadlines are compared, in seconds; callers round to milliseconds.
STEP_SECONDS: Final = 0.01
#: Share of the recent deadlines that must agree on the usual one.  Each retry adds one that
#: differs, so if every caller retries once, only about half of them agree.
AGREEING_SHARE: Final = 0.4
#: Minimum number of deadlines for an estimate.
MIN_SEEN: Final = 8


class CallerWaitEstimator:
    """Recent deadlines of each route, from which earlier waits of callers are estimated."""

    def __init__(self) -> None:
        self._deadlines: dict[str, deque[int]] = {}

    def estimate_seconds(self, route: str, deadline_seconds: float | None) -> float:
        """Return the estimated seconds since the first attempt of a caller; 0 if unknown.

        Args:
            route: name of the route.
            deadline_seconds: deadline given by the request; None if there is none.
        """
        if deadline_seconds is None:
            return 0.0
        deadlines = self._deadlines.setdefault(route, deque(maxlen=WINDOW_SIZE))
        deadlines.append(round(deadline_seconds / STEP_SECONDS))
        usual = _find_usual(deadlines)
        if usual is None:
            return 0.0
        return max(0.0, usual * STEP_SECONDS - deadline_seconds - STEP_SECONDS)


def _find_usual(deadlines: deque[int]) -> int | None:
    """Return the most frequent deadline, in steps, or None if too few agree."""
    if len(deadlines) < MIN_SEEN:
        return None
    value, count = Counter(deadlines).most_common(1)[0]
    return value if count >= AGREEING_SHARE * len(deadlines) else None
