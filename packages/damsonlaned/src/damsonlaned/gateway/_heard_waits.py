"""What the owners of pools said of their queues."""

from dataclasses import dataclass
from typing import Final

#: Longest wait that is taken at its word, in seconds: a pool whose targets asked one owner for
#: an hour is asked again after this time, since another box may own it then.
LONGEST_WAIT_SECONDS: Final = 5.0


@dataclass(frozen=True, kw_only=True)
class _Wait:
    """What an owner said of its queue."""

    #: Seconds that a piece would have waited for its turn.
    seconds: float
    #: When it said so, by the loop's clock.
    heard_at: float


class HeardWaits:
    """How long pieces wait at each pool, by their rank, as last heard."""

    def __init__(self) -> None:
        self._waits: dict[tuple[str, int], _Wait] = {}

    def note(self, service: str, rank: int, seconds: float, now: float) -> None:
        """Note the time that a piece of a rank would wait now."""
        self._waits[(service, rank)] = _Wait(
            seconds=min(seconds, LONGEST_WAIT_SECONDS), heard_at=now
        )

    def seconds(self, service: str, rank: int, now: float) -> float:
        """Return how long a piece of a rank would still wait; 0 where nothing was heard."""
        known = self._waits.get((service, rank))
        if known is None:
            return 0.0
        age = now - known.heard_at
        return max(0.0, known.seconds - age)

    def has_queue(self, service: str, now: float) -> bool:
        """Tell whether pieces of any rank wait at a pool."""
        return any(
            self.seconds(service, rank, now) > 0.0
            for known, rank in self._waits
            if known == service
        )
