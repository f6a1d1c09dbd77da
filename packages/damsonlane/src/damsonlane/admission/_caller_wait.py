"""How long a caller had waited before its request arrived.

Answers callers that come back after a refusal.  Their aim counts from their first try, so
what was refused once and comes back with a new id is late from the start: taken for a new
request it pushes out one that can still be in time.  The caller says nothing of earlier
tries, but its deadline is that much shorter than what others on its route give.
"""

from collections import Counter, deque
from typing import Final

#: Deadlines of a route that are remembered: a second of one entry at high load, so that a
#: changed deadline is known soon.
REMEMBERED: Final = 64
#: Steps in which deadlines are compared, in seconds; callers round to milliseconds.
STEP_SECONDS: Final = 0.01
#: Share of the remembered deadlines that must agree before one is taken for the usual one.
#: Each caller that comes back once adds one that differs, so about half agree at worst.
AGREEING_SHARE: Final = 0.4
#: Fewer deadlines than this tell nothing.
LEAST_SEEN: Final = 8


class CallerAges:
    """The usual deadline of each route, and who has waited already."""

    def __init__(self) -> None:
        self._seen: dict[str, deque[int]] = {}

    def find_waited(self, route: str, deadline_seconds: float | None) -> float:
        """Return the seconds for which a caller has probably waited; 0 where unknown.

        Args:
            route: name of the route.
            deadline_seconds: what the request gives; None if nothing.
        """
        if deadline_seconds is None:
            return 0.0
        seen = self._seen.setdefault(route, deque(maxlen=REMEMBERED))
        seen.append(round(deadline_seconds / STEP_SECONDS))
        usual = _find_usual(seen)
        if usual is None:
            return 0.0
        return max(0.0, usual * STEP_SECONDS - deadline_seconds - STEP_SECONDS)


def _find_usual(seen: deque[int]) -> int | None:
    """Return the deadline that most agree on, or None where too few do."""
    if len(seen) < LEAST_SEEN:
        return None
    value, count = Counter(seen).most_common(1)[0]
    return value if count >= AGREEING_SHARE * len(seen) else None
