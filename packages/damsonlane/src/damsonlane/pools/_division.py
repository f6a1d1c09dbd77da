"""Decides when the owner of a shard has too much or too little work."""

import math
from collections.abc import Sequence
from typing import Final

from damsonlane.records import dataclass
from damsonlane.targets import DivideService, Shard

#: Share of its time in which a box is busy from which its work is divided.  Load peaks of twice
#: the usual load arrive within a second or two.
DIVIDE_LOAD: Final = 0.4
#: Load of an owner that a division aims for.
DIVIDED_LOAD: Final = 0.25
#: Load below which the last shard of a service is merged with the others.
MERGE_LOAD: Final = 0.05
#: Seconds for which the load must stay below it.
MERGE_SECONDS: Final = 120.0
#: Seconds after a division before the next one, in which its effect shows.
PAUSE_SECONDS: Final = 2.0
#: Least targets of a shard: fewer would be idle more often while pieces wait for others.
MIN_TARGETS: Final = 3
#: Pieces a second below which an owner is not the cause of its box's load.
MIN_PIECES_PER_SECOND: Final = 20.0


@dataclass(frozen=True, kw_only=True)
class OwnedWork:
    """The work of one shard that a box owns."""

    #: The shard.
    shard: Shard
    #: Pieces ordered per second.
    pieces_per_second: float
    #: Number of shards of its service.
    shards: int
    #: Number of targets of its service.
    targets: int

    @property
    def max_shards(self) -> int:
        """Largest number of shards of its service."""
        return max(1, self.targets // MIN_TARGETS)


class DivisionPolicy:
    """Decides for one box when to divide or merge the services that it owns."""

    def __init__(self) -> None:
        self._paused_until = float("-inf")
        self._busy_at: float | None = None

    def decide(self, now: float, load: float, works: Sequence[OwnedWork]) -> DivideService | None:
        """Return the division to request from control, or None.

        Args:
            now: the monotonic clock, in seconds.
            load: share of its time in which the box is busy.
            works: the shards that the box owns.
        """
        if self._busy_at is None or load >= MERGE_LOAD:
            self._busy_at = now
        if now < self._paused_until:
            return None
        command = self._divide(load, works) if load >= DIVIDE_LOAD else self._merge(now, works)
        if command is not None:
            self._paused_until = now + PAUSE_SECONDS
        return command

    def _divide(self, load: float, works: Sequence[OwnedWork]) -> DivideService | None:
        """Divide the service with most work, if it is large enough."""
        divisible = [
            work
            for work in works
            if work.shards < work.max_shards and work.pieces_per_second >= MIN_PIECES_PER_SECOND
        ]
        if not divisible:
            return None
        work = max(divisible, key=lambda work: work.pieces_per_second)
        wanted = max(work.shards + 1, math.ceil(work.shards * load / DIVIDED_LOAD))
        return DivideService(
            service=work.shard.service,
            expected=work.shards,
            shards=min(work.max_shards, wanted),
        )

    def _merge(self, now: float, works: Sequence[OwnedWork]) -> DivideService | None:
        """Merge the last shard of a service, if this box owns it and was idle for long."""
        if self._busy_at is None or now - self._busy_at < MERGE_SECONDS:
            return None
        for work in works:
            if 0 < work.shard.index == work.shards - 1:
                return DivideService(
                    service=work.shard.service, expected=work.shards, shards=work.shards - 1
                )
        return None
