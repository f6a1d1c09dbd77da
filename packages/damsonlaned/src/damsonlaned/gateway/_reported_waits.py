"""The queueing times that the owners of pools reported."""

from typing import Final

from damsonlane.records import dataclass
from damsonlane.targets import Shard

#: Upper bound on a reported wait, in seconds: a pool whose targets back off for an hour is
#: tried again after this time, since another box may own it then.
MAX_WAIT_SECONDS: Final = 5.0


@dataclass(frozen=True, kw_only=True)
class _Wait:
    """A queueing time that an owner reported."""

    #: Queueing time in seconds.
    seconds: float
    #: When the report arrived, by the loop's clock.
    reported_at: float


class ReportedWaits:
    """The last reported queueing time of each shard of a pool and priority."""

    def __init__(self) -> None:
        self._waits: dict[tuple[Shard, int], _Wait] = {}

    def record(self, shard: Shard, priority: int, seconds: float, now: float) -> None:
        """Record the reported queueing time for pieces of a priority."""
        self._waits[(shard, priority)] = _Wait(
            seconds=min(seconds, MAX_WAIT_SECONDS), reported_at=now
        )

    def seconds(self, shard: Shard, priority: int, now: float) -> float:
        """Return the remaining queueing time for a priority in seconds; 0 without a report."""
        known = self._waits.get((shard, priority))
        if known is None:
            return 0.0
        age = now - known.reported_at
        return max(0.0, known.seconds - age)

    def has_queue(self, service: str, now: float) -> bool:
        """Return whether pieces of any priority wait at a pool."""
        return any(
            self.seconds(shard, priority, now) > 0.0
            for shard, priority in self._waits
            if shard.service == service
        )
