"""Where event streams began, as one box remembers it."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from damsonlane.records import dataclass
from damsonlane.routes import Route

#: Most streams that one box remembers; beyond it the oldest is forgotten.
MAX_ORIGINS: Final = 20_000
#: Most streams that one control replica remembers for the boxes.
MAX_REPLICA_ORIGINS: Final = 100_000
#: Retention of an origin, as a multiple of the longest time-out of a route with event streams:
#: callers resume a stream a few times, each try within the time-out.
RETENTION_FACTOR: Final = 3.0
#: Least and largest retention, in seconds.
MIN_RETENTION_SECONDS: Final = 30.0
MAX_RETENTION_SECONDS: Final = 600.0


@dataclass(frozen=True, kw_only=True)
class StreamOrigin:
    """The service and the software version whose target sent the first event of a stream."""

    #: Id of the caller's attempt that brought the first event.
    attempt: str
    #: Name of the service.
    service: str
    #: Version of the target's software; empty where it reports none.
    version: str
    #: Version of the weights of its model; None if it does not report them.
    weights: int | None = None


def find_retention_seconds(routes: Iterable[Route]) -> float:
    """Return for how long origins are remembered, in seconds."""
    longest = max((route.timeout_seconds for route in routes if route.is_resumable), default=0.0)
    return min(MAX_RETENTION_SECONDS, max(MIN_RETENTION_SECONDS, RETENTION_FACTOR * longest))


class OriginTable:
    """Origins of recent streams, by the attempt that began them.

    Args:
        limit: most origins that are kept.
    """

    def __init__(self, limit: int = MAX_ORIGINS) -> None:
        self._limit: Final = limit
        #: Each origin with the time at which it was recorded, oldest first.
        self._origins: OrderedDict[str, tuple[StreamOrigin, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, origin: StreamOrigin, now: float) -> StreamOrigin | None:
        """Record an origin; the newest one of an attempt counts.

        Args:
            origin: the origin.
            now: the clock, in seconds.

        Returns:
            The different origin that it replaces, if there was one.
        """
        former = self.find(origin.attempt)
        self._origins[origin.attempt] = (origin, now)
        self._origins.move_to_end(origin.attempt)
        if len(self._origins) > self._limit:
            self._origins.popitem(last=False)
        return former if former != origin else None

    def find(self, attempt: str) -> StreamOrigin | None:
        """Return the origin of the stream that an attempt began, or None if it is not known."""
        found = self._origins.get(attempt)
        return found[0] if found is not None else None

    def remove_older(self, before: float) -> None:
        """Forget the origins that were recorded before a time, in seconds of the same clock."""
        while self._origins:
            attempt, (_, recorded_at) = next(iter(self._origins.items()))
            if recorded_at >= before:
                return
            del self._origins[attempt]
